/**
 * Upstreams that rejected requests and requested back-off, as reported by routers to the leader. A single router in back-off is a passing matter; an
 * upstream that half of the routers back off from serves next to nothing, so its keys are better owned elsewhere.
 */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { ConnectionId } from '../types.js';

/** Share of the routers in back-off at which an upstream counts as serving no requests. */
const NOTHING_SERVED_SHARE = 0.5;
const MIN_SHARE = 0.02;
/** Lower bound of the assumed number of routers: a member that few routers are connected to can't count the others. */
const MIN_ROUTERS = 4;
/** A back-off still counts for this long after its end, so that repeated back-offs don't cause keys to move back and forth. */
const RECOVERY_MILLIS = 5000;

export class UpstreamBackoffs {
  /** The end of each router's back-off, by upstream. */
  readonly #backoffs = new Map<UpstreamId, Map<ConnectionId, MonotonicMillis>>();

  /** Records a router's back-off; returns `true` if the upstream had no other. */
  recordBackoff(
    upstream: UpstreamId,
    router: ConnectionId,
    restMillis: number,
    now: MonotonicMillis,
  ): boolean {
    const backoffs = this.#backoffs.get(upstream) ?? new Map<ConnectionId, MonotonicMillis>();
    const isFirst = !this.#backoffs.has(upstream);
    this.#backoffs.set(upstream, backoffs);
    backoffs.set(router, Math.max(now + restMillis, backoffs.get(router) ?? now));
    return isFirst;
  }

  /** Usable share of the capacity of each upstream with back-offs; all others have their full capacity. `routers`: the number of routers. */
  capacityShares(routers: number): ReadonlyMap<UpstreamId, number> {
    const shares = new Map<UpstreamId, number>();
    for (const [upstream, { size }] of this.#backoffs) {
      const backingOff = size / Math.max(size, routers, MIN_ROUTERS);
      shares.set(upstream, Math.max(MIN_SHARE, 1 - backingOff / NOTHING_SERVED_SHARE));
    }
    return shares;
  }

  /** Removes back-offs that ended at least `RECOVERY_MILLIS` ago. */
  removeExpired(now: MonotonicMillis): void {
    for (const [upstream, backoffs] of this.#backoffs) {
      for (const [router, until] of backoffs) {
        if (now >= until + RECOVERY_MILLIS) {
          backoffs.delete(router);
        }
      }
      if (backoffs.size === 0) {
        this.#backoffs.delete(upstream);
      }
    }
  }

  get size(): number {
    return this.#backoffs.size;
  }

  /** Upstreams with back-offs that haven't ended, and the number of routers in back-off. */
  list(now: MonotonicMillis): { readonly upstream: UpstreamId; readonly routers: number }[] {
    const counts = [...this.#backoffs].map(([upstream, backoffs]) => ({
      upstream,
      routers: [...backoffs.values()].filter((until) => until > now).length,
    }));
    return counts.filter(({ routers }) => routers > 0);
  }
}
