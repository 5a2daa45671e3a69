/** Which share of the requests of each rank a router started lately, so that no rank is starved. */

/** Older requests count for less: long enough for a router that meets one request of a rank in a few seconds. */
const MEMORY_MILLIS = 30_000;
/**
 * Below this part of the share that all ranks together have, a rank goes before what is left free for others. It is owed a quarter; what its
 * lines let through comes on top.
 */
const OWED_PART = 0.2;

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
