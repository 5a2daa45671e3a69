/** On which ranks and targets requests came to one service lately. */
import type { RequestTerms } from '../request-terms.js';

/** Terms on which nothing came for so long are absent: longer than the pauses of a kind that is asked for now and then. */
const PRESENT_MILLIS = 10_000;

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

  /** Whether more important requests came than those of a rank. */
  hasAbove(rank: number, now: number): boolean {
    return (
      this.isMixed(now) && this.#present.some((present) => present.rank < rank && isRecent(present, now))
    );
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
