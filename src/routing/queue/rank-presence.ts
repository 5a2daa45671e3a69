/** On which ranks and targets requests came to one service lately. */
import type { RequestTerms } from '../request-terms.js';

/** Terms on which nothing came for so long are absent: a router that meets one request of a kind in ten seconds still knows of it. */
const PRESENT_MILLIS = 60_000;

type PresentTerms = Pick<RequestTerms, 'route' | 'priority' | 'targetMillis'>;

interface Present extends PresentTerms {
  at: number;
}

export class RankPresence {
  /** One for each route, and one for requests addressed to the service. */
  readonly #present = new Map<string | null, Present>();
  #isMixedUntil = Number.NEGATIVE_INFINITY;

  /** A request came. */
  note({ route, priority, targetMillis }: PresentTerms, now: number): void {
    const known = this.#present.get(route);
    if (known !== undefined && isAlike(known, { route, priority, targetMillis })) {
      known.at = now;
    } else {
      this.#present.set(route, { route, priority, targetMillis, at: now });
    }
    if (this.#present.size > 1) {
      this.#look(now);
    }
  }

  /** A route has other terms now, or is gone (`null`). */
  routeChanged(route: string, terms: PresentTerms | null): void {
    const known = this.#present.get(route);
    if (known !== undefined && (terms === null || !isAlike(known, terms))) {
      this.#present.delete(route);
      this.#look(known.at);
    }
  }

  /** Whether requests on several ranks or targets came. */
  isMixed(now: number): boolean {
    return now < this.#isMixedUntil;
  }

  /** How many ranks above one have had requests. */
  countAbove(rank: number, now: number): number {
    if (!this.isMixed(now)) {
      return 0;
    }
    const above = [...this.#present.values()].filter(
      ({ priority, at }) => priority < rank && now < at + PRESENT_MILLIS,
    );
    return above.length < 2 ? above.length : new Set(above.map(({ priority }) => priority)).size;
  }

  /** Finds until when terms that differ from the latest are present. */
  #look(now: number): void {
    let latest: Present | null = null;
    for (const [route, present] of this.#present) {
      if (now >= present.at + PRESENT_MILLIS) {
        this.#present.delete(route);
      } else if (latest === null || present.at >= latest.at) {
        latest = present;
      }
    }
    let until = Number.NEGATIVE_INFINITY;
    for (const present of this.#present.values()) {
      if (latest !== null && !isAlike(present, latest)) {
        until = Math.max(until, present.at + PRESENT_MILLIS);
      }
    }
    this.#isMixedUntil = until;
  }
}

function isAlike(one: PresentTerms, other: PresentTerms): boolean {
  return one.priority === other.priority && one.targetMillis === other.targetMillis;
}
