/**
 * Follows services whose ranges are retired, until the longest grant since has ended: this leader sends no grants of a removed
 * service, so none of its upstreams holds keys afterwards. A service that comes back sooner finds its owners.
 */
import type { RangeTimings } from '../../lease/range-timings.js';
import { longestGrantMillis } from '../../lease/timed-grants.js';
import type { MonotonicMillis, Revision, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { Registry, RetiredRanges } from '../../registry/types.js';
import type { ProposeCommand } from '../propose-command.js';
import type { LogRangeEvent } from './range-service.js';

/** A service as this leader found it, removed or back. */
interface Followed {
  readonly retired: RetiredRanges;
  /** When this leader first found it removed. */
  readonly since: MonotonicMillis;
}

export interface RetiredServicesParts {
  readonly registry: () => Registry;
  readonly timings: RangeTimings;
  readonly propose: ProposeCommand;
  readonly log: LogRangeEvent;
}

export class RetiredServices {
  readonly #parts: RetiredServicesParts;
  readonly #followed = new Map<ServiceName, Followed>();
  /** Services with an open proposal. */
  readonly #proposing = new Set<ServiceName>();

  constructor(parts: RetiredServicesParts) {
    this.#parts = parts;
  }

  /** Returns whether an upstream may hold keys of a removed service. */
  mayHold(upstream: UpstreamId): boolean {
    return [...this.#parts.registry().retiredRanges().values()].some(({ ranges }) =>
      ranges.some(({ owner, former }) => owner === upstream || former === upstream),
    );
  }

  /** Begins to follow services that were removed, and forgets those whose grants have all ended. */
  update(now: MonotonicMillis): void {
    const retired = this.#parts.registry().retiredRanges();
    for (const [service, followed] of this.#followed) {
      if (retired.get(service)?.revision !== followed.retired.revision) {
        this.#followed.delete(service);
        this.#logEnd(followed, now);
      }
    }
    for (const [service, ranges] of retired) {
      const followed = this.#followed.get(service) ?? this.#follow(ranges, now);
      if (now - followed.since >= longestGrantMillis(this.#parts.timings)) {
        this.#forget(service, followed.retired.revision);
      }
    }
  }

  #follow(retired: RetiredRanges, now: MonotonicMillis): Followed {
    const { service, revision, grants, ranges } = retired;
    const followed = { retired, since: now };
    this.#followed.set(service, followed);
    const holders = new Set(ranges.flatMap(({ owner, former }) => owner ?? former ?? []));
    const forgetAfterMillis = longestGrantMillis(this.#parts.timings);
    const fields = { service, revision, ...grants, ranges: ranges.length, holders: holders.size };
    this.#parts.log('ranges-retired', { ...fields, forgetAfterMillis });
    return followed;
  }

  #forget(service: ServiceName, retiredAt: Revision): void {
    if (this.#proposing.has(service)) {
      return;
    }
    this.#proposing.add(service);
    this.#parts.propose({ type: 'ranges-forget', service, retiredAt }, () => {
      this.#proposing.delete(service);
    });
  }

  #logEnd({ retired: { service, revision }, since }: Followed, now: MonotonicMillis): void {
    const registry = this.#parts.registry();
    const isBack = registry.ranges(service).length > 0 || registry.retiredRanges().has(service);
    const outcome = isBack ? RETIRED_OUTCOMES.resumed : RETIRED_OUTCOMES.forgotten;
    const retiredMillis = Math.round(now - since);
    this.#parts.log('ranges-retired-end', { service, revision, outcome, retiredMillis });
  }
}

/** What became of retired ranges. */
const RETIRED_OUTCOMES = {
  /** The service came back and its owners keep their keys. */
  resumed: 'resumed',
  /** No upstream can hold the ranges any more. */
  forgotten: 'forgotten',
} as const;
