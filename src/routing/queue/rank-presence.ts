/** On which ranks and targets requests came to one service lately. */
import type { RequestTerms } from '../request-terms.js';

/** Terms on which nothing came for so long are absent: a router that meets one request of a kind in ten seconds still knows of it. */
const PRESENT_MILLIS = 60_000;

interface Present {
  readonly rank: number;
  readonly targetMillis: number | null;
  at: number;
}

export class RankPresence {
  readonly #present: Present[] = [];
  #isMixedUntil = Number.NEGATIVE_INFINITY;

  /** A request came. */
  note({ priority, targetMillis }: RequestTerms, now: number): void {
    const known = this.#present.find(
      (present) => present.rank === priority && present.targetMillis === targetMillis,
    );
    if (known === undefined) {
      this.#present.push({ rank: priority, targetMillis, at: now });
    } else {
      known.at = now;
    }
    if (this.#present.length > 1) {
      this.#forgetAbsent(now);
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
    const above = this.#present.filter((present) => present.rank < rank && isRecent(present, now));
    return new Set(above.map((present) => present.rank)).size;
  }

  #forgetAbsent(now: number): void {
    for (let index = this.#present.length - 1; index >= 0; index -= 1) {
      if (!isRecent(this.#present[index] as Present, now)) {
        this.#present.splice(index, 1);
      }
    }
    const latest = this.#present.map(({ at }) => at).sort((one, other) => other - one);
    this.#isMixedUntil = (latest[1] ?? Number.NEGATIVE_INFINITY) + PRESENT_MILLIS;
  }
}

function isRecent({ at }: Present, now: number): boolean {
  return now < at + PRESENT_MILLIS;
}
