/** Which share of the requests of each rank a router started lately, so that no rank is starved. */

/** Older requests count for less: what a rank is owed is owed over minutes, so that a short rush is left to the more important. */
const MEMORY_MILLIS = 300_000;
/** A rank is owed this part of the share that all ranks together have: a quarter, with a margin for what is sent and not served. */
const OWED_PART = 0.27;

interface Counts {
  came: number;
  started: number;
}

export class ServedShares {
  readonly #ofRank = new Map<number, Counts>();
  readonly #ofAll: Counts = { came: 0, started: 0 };
  #at = Number.NEGATIVE_INFINITY;

  /** Somebody asked for the first time. */
  came(rank: number, now: number): void {
    this.#decay(now);
    this.#countsOf(rank).came += 1;
    this.#ofAll.came += 1;
  }

  /** A request was sent for the first time. */
  started(rank: number, now: number): void {
    this.#decay(now);
    this.#countsOf(rank).started += 1;
    this.#ofAll.started += 1;
  }

  /** Whether a rank got less than it is owed. */
  isStarved(rank: number): boolean {
    return shareOf(this.#countsOf(rank)) < OWED_PART * shareOf(this.#ofAll);
  }

  #countsOf(rank: number): Counts {
    let counts = this.#ofRank.get(rank);
    if (counts === undefined) {
      counts = { came: 0, started: 0 };
      this.#ofRank.set(rank, counts);
    }
    return counts;
  }

  #decay(now: number): void {
    const kept = Math.exp((this.#at - now) / MEMORY_MILLIS);
    this.#at = now;
    for (const counts of [this.#ofAll, ...this.#ofRank.values()]) {
      counts.came *= kept;
      counts.started *= kept;
    }
  }
}

function shareOf({ came, started }: Counts): number {
  return came > 0 ? Math.min(1, started / came) : 1;
}
