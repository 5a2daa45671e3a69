/**
 * What is believed of upstreams that weren't checked, from those that were: what lies in one zone, or belongs to one service, is often lost
 * together, and a router may have lost its path to all.
 */
import type { MonotonicMillis, ServiceName } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** So many upstreams of a group that fail alike, and none that works, stand for all of it. */
const FAILED_ALIKE = 3;
/** A belief lapses if nothing has failed for this long. */
const LIFETIME_MILLIS = 3000;

/** How upstreams fail: over the direct path only, or over all paths. */
export type ReachFailure = 'lost-path' | 'out-of-reach';

interface Failures {
  readonly upstreams: Set<UpstreamState>;
  readonly services: Set<ServiceName>;
}

interface Group {
  readonly failed: Record<ReachFailure, Failures>;
  readonly since: MonotonicMillis;
  lastAt: MonotonicMillis;
}

export class ReachBeliefs {
  readonly #groups = new Map<string, Group>();

  /** Records that an upstream failed. */
  recordFailure(upstream: UpstreamState, how: ReachFailure, now: MonotonicMillis): void {
    for (const name of groupsOf(upstream)) {
      const known = this.#groups.get(name);
      const isCurrent = known !== undefined && now - known.lastAt < LIFETIME_MILLIS;
      const group = isCurrent ? known : newGroup(now);
      group.failed[how].upstreams.add(upstream);
      group.failed[how].services.add(upstream.service);
      group.lastAt = now;
      this.#groups.set(name, group);
    }
  }

  /** Records that an upstream was reached, or heard, over the direct path: the groups that it belongs to don't fail alike. */
  recordReached(upstream: UpstreamState): void {
    if (this.#groups.size > 0) {
      for (const name of groupsOf(upstream)) {
        this.#groups.delete(name);
      }
    }
  }

  /** Whether an upstream that wasn't heard since others failed, one of its service among them, is taken to fail like them. */
  isAssumed(upstream: UpstreamState, how: ReachFailure, now: MonotonicMillis): boolean {
    if (this.#groups.size === 0) {
      return false;
    }
    return groupsOf(upstream).some((name) => {
      const group = this.#groups.get(name);
      return (
        group !== undefined &&
        now - group.lastAt < LIFETIME_MILLIS &&
        group.failed[how].upstreams.size >= FAILED_ALIKE &&
        group.failed[how].services.has(upstream.service) &&
        (upstream.heardAt ?? Number.NEGATIVE_INFINITY) < group.since
      );
    });
  }
}

function newGroup(now: MonotonicMillis): Group {
  const failed = { 'lost-path': noFailures(), 'out-of-reach': noFailures() };
  return { failed, since: now, lastAt: now };
}

function noFailures(): Failures {
  return { upstreams: new Set(), services: new Set() };
}

function groupsOf({ service, zone }: UpstreamState): readonly string[] {
  return ['all', `service ${service}`, `zone ${zone}`];
}
