/** Decides when a replica requests to join the cluster, and to which addresses it sends the request. */
import type { RaftStatus } from '../consensus/types.js';
import type { Address } from '../model/identifiers.js';

/**
 * A replica that was removed while it was partitioned off can't see this in its own log, which ends before the removal. It remains a
 * voter of an outdated membership, gets no messages of a leader and no answers to its pre-votes. So a member, too, requests to join if
 * it has had no leader at two checks in a row; an election takes less than the time between them. The leader ignores join requests
 * of members.
 */
export class JoinWatch {
  #hadLeader = true;
  #shouldRequestJoin = false;

  get shouldRequestJoin(): boolean {
    return this.#shouldRequestJoin;
  }

  /** Checks the status of this replica; called about once a second. */
  look({ self, leader, membership }: RaftStatus): void {
    const hasLeader = leader !== null;
    const isMember = membership.addresses[self] !== undefined;
    this.#shouldRequestJoin = !isMember || !(hasLeader || this.#hadLeader);
    this.#hadLeader = hasLeader;
  }

  /**
   * Addresses for the join request: the configured ones, since members of an old log may no longer exist, and those of the other
   * members in this replica's log. If this replica lost its disk, that log may list its predecessor at this replica's own address.
   */
  addresses(configured: readonly Address[], { self, membership }: RaftStatus): Address[] {
    const own = membership.addresses[self];
    const others = Object.values(membership.addresses).filter((address) => address !== own);
    return [...new Set([...configured, ...others])];
  }
}
