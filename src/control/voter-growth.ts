/** When spares become additional voters, and which. */
import type { Membership } from '../consensus/types.js';
import type { MonotonicMillis, ReplicaId } from '../model/identifiers.js';

/** How long a sole voter waits for a second spare once it has one, before it grows to two voters. */
export const SECOND_SPARE_MILLIS = 10_000;

const NONE: readonly ReplicaId[] = [];

/**
 * With two voters the loss of either leaves no majority, so a sole voter grows to three in one change if it may. Further voters are added
 * one at a time.
 */
export class VoterGrowth {
  /** Since when a sole voter has had a spare that may vote; `null`: it has none, or isn't alone. */
  #spareSince: MonotonicMillis | null = null;

  /** `maxVoters`: the number of voters up to which spares become voters. */
  constructor(private readonly maxVoters: number) {}

  onRoleChange(): void {
    this.#spareSince = null;
  }

  /** Returns the spares that are to become voters in one change. `spares`: those that may vote now. */
  next({ voters }: Membership, spares: readonly ReplicaId[], now: MonotonicMillis): readonly ReplicaId[] {
    if (spares.length === 0 || voters.length > 1) {
      this.#spareSince = null;
    }
    if (spares.length === 0 || voters.length >= this.maxVoters) {
      return NONE;
    }
    if (voters.length > 1 || this.maxVoters === 2) {
      return spares.slice(0, 1);
    }
    this.#spareSince ??= now;
    const isOverdue = now - this.#spareSince >= SECOND_SPARE_MILLIS;
    return spares.length > 1 || isOverdue ? spares.slice(0, 2) : NONE;
  }
}
