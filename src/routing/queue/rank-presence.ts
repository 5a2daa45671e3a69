/**
 * On which ranks and targets requests come to one service. A few requests of another kind don't compete with the others: room that is
 * left for them would only stay free.
 */
import type { RequestTerms } from '../request-terms.js';

/** Older requests count for less: a router that meets one request of a kind in ten seconds still knows of it. */
const MEMORY_MILLIS = 20_000;
/** A kind whose requests are a smaller share of the service's than this doesn't compete with the others. */
const LEAST_SHARE = 0.05;
/** Fewer requests of a kind say nothing of its share: two lately, the older one counting for less. */
const LEAST_REQUESTS = 1.5;
/** Kinds are looked at anew after this. */
const LOOK_MILLIS = 250;

type PresentTerms = Pick<RequestTerms, 'route' | 'priority' | 'targetMillis'>;

interface Present extends PresentTerms {
  /** Requests, older ones counting for less, as of `at`. */
  count: number;
  at: number;
}

export class RankPresence {
  /** One for each route, and one for requests addressed to the service. */
  readonly #present = new Map<string | null, Present>();
  #ranks: readonly number[] = [];
  #isMixed = false;
  #lookedAt = Number.NEGATIVE_INFINITY;

  /** `isOn`: whether ranks are to compete at all. */
  constructor(private readonly isOn: boolean) {}

  /** A request came. */
  note({ route, priority, targetMillis }: PresentTerms, now: number): void {
    const known = this.#present.get(route);
    if (known !== undefined && isAlike(known, { route, priority, targetMillis })) {
      const before = countOf(known, now);
      known.count = before + 1;
      known.at = now;
      if (before < LEAST_REQUESTS && known.count >= LEAST_REQUESTS) {
        this.#lookedAt = Number.NEGATIVE_INFINITY;
      }
    } else {
      this.#present.set(route, { route, priority, targetMillis, count: 1, at: now });
    }
  }

  /** A route has other terms now, or is gone (`null`). */
  routeChanged(route: string, terms: PresentTerms | null): void {
    const known = this.#present.get(route);
    if (known !== undefined && (terms === null || !isAlike(known, terms))) {
      this.#present.delete(route);
      this.#lookedAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Whether requests on several ranks or targets compete. */
  isMixed(now: number): boolean {
    this.#look(now);
    return this.isOn && this.#isMixed;
  }

  /** How many ranks above one compete with it. */
  countAbove(rank: number, now: number): number {
    this.#look(now);
    return this.isOn && this.#isMixed ? this.#ranks.filter((other) => other < rank).length : 0;
  }

  #look(now: number): void {
    if (now < this.#lookedAt + LOOK_MILLIS) {
      return;
    }
    this.#lookedAt = now;
    let total = 0;
    for (const [route, present] of this.#present) {
      const count = countOf(present, now);
      total += count;
      if (count < LEAST_REQUESTS * LEAST_SHARE) {
        this.#present.delete(route);
      }
    }
    const competing = this.#competing(total, now);
    this.#ranks = [...new Set(competing.map(({ priority }) => priority))];
    this.#isMixed =
      new Set(competing.map(({ priority, targetMillis }) => `${priority} ${targetMillis}`)).size > 1;
  }

  /** Kinds with a share of all requests that counts; routes of like terms are one kind. */
  #competing(total: number, now: number): PresentTerms[] {
    const kinds = new Map<string, PresentTerms & { count: number }>();
    for (const present of this.#present.values()) {
      const { priority, targetMillis } = present;
      const name = `${priority} ${targetMillis}`;
      const kind = kinds.get(name) ?? { route: null, priority, targetMillis, count: 0 };
      kind.count += countOf(present, now);
      kinds.set(name, kind);
    }
    return [...kinds.values()].filter(({ count }) => count >= Math.max(LEAST_REQUESTS, total * LEAST_SHARE));
  }
}

function countOf({ count, at }: Present, now: number): number {
  return count * Math.exp((at - now) / MEMORY_MILLIS);
}

function isAlike(one: PresentTerms, other: PresentTerms): boolean {
  return one.priority === other.priority && one.targetMillis === other.targetMillis;
}
