/** Tracks the share of each rank's requests that a router has started recently, so that no rank is starved. */

/** Time constant with which counts decay. It spans minutes, so that capacity goes to the more important ranks during a short burst. */
const DECAY_MILLIS = 300_000;
/** A rank is starved below this part of the share over all ranks: a quarter, plus a margin for requests that are sent but not served. */
const MIN_RELATIVE_SHARE = 0.27;

interface Counts {
  arrived: number;
  started: number;
}

export class ServedShares {
  readonly #byRank = new Map<number, Counts>();
  readonly #total: Counts = { arrived: 0, started: 0 };
  #decayedAt = Number.NEGATIVE_INFINITY;

  /** Records the first arrival of a request. */
  onArrival(rank: number, now: number): void {
    this.#decay(now);
    this.#countsOf(rank).arrived += 1;
    this.#total.arrived += 1;
  }

  /** Records that a request was sent for the first time. */
  onStart(rank: number, now: number): void {
    this.#decay(now);
    this.#countsOf(rank).started += 1;
    this.#total.started += 1;
  }

  /** Whether a rank gets less than its minimum share. */
  isStarved(rank: number): boolean {
    return shareOf(this.#countsOf(rank)) < MIN_RELATIVE_SHARE * shareOf(this.#total);
  }

  #countsOf(rank: number): Counts {
    let counts = this.#byRank.get(rank);
    if (counts === undefined) {
      counts = { arrived: 0, started: 0 };
      this.#byRank.set(rank, counts);
    }
    return counts;
  }

  #decay(now: number): void {
    const decay = Math.exp((this.#decayedAt - now) / DECAY_MILLIS);
    this.#decayedAt = now;
    for (const counts of [this.#total, ...this.#byRank.values()]) {
      counts.arrived *= decay;
      counts.started *= decay;
    }
  }
}

function shareOf({ arrived, started }: Counts): number {
  return arrived > 0 ? Math.min(1, started / arrived) : 1;
}
