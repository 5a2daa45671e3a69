/**
 * Follows ranges of services that are gone or have no ranges any more, while the declared document still has them: commands for single
 * services delete and replace services and leave the ranges. No leader sends grants of them, so once the longest grant has ended they
 * name no holder any more.
 */
import type { RangeTimings } from '../../lease/range-timings.js';
import { longestGrantMillis } from '../../lease/timed-grants.js';
import type { MonotonicMillis, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { RangeUpdate, Registry } from '../../registry/types.js';
import type { LogRangeEvent } from './range-service.js';
import { spanUpdate } from './range-updates.js';

export interface UnservedRangesParts {
  readonly registry: () => Registry;
  readonly timings: RangeTimings;
  /** Whether the leader may grant ranges of a service. */
  readonly isServed: (service: ServiceName) => boolean;
  /** Proposes changes of ranges; a service with an open proposal doesn't start. */
  readonly propose: (service: ServiceName, updates: readonly RangeUpdate[]) => void;
  readonly log: LogRangeEvent;
}

export class UnservedRanges {
  readonly #parts: UnservedRangesParts;
  /** When this leader first found the ranges of a service unserved. */
  readonly #since = new Map<ServiceName, MonotonicMillis>();

  constructor(parts: UnservedRangesParts) {
    this.#parts = parts;
  }

  /** Returns whether an upstream may hold keys of a service that isn't served. */
  mayHold(upstream: UpstreamId): boolean {
    const { registry } = this.#parts;
    return [...this.#since.keys()].some((service) =>
      registry()
        .ranges(service)
        .some(({ owner, former }) => owner === upstream || former === upstream),
    );
  }

  /** Begins to follow services that ceased to be served, and gives up the holders of those whose grants have all ended. */
  update(now: MonotonicMillis): void {
    const unserved = this.#unserved();
    for (const [service, since] of this.#since) {
      if (!unserved.has(service)) {
        this.#since.delete(service);
        this.#logEnd(service, since, now);
      }
    }
    for (const [service, held] of unserved) {
      const since = this.#since.get(service) ?? this.#follow(service, held, now);
      if (now - since >= longestGrantMillis(this.#parts.timings)) {
        this.#parts.propose(service, withoutHolders(held));
      }
    }
  }

  /** Returns the ranges that name an upstream, by service that isn't served. */
  #unserved(): Map<ServiceName, readonly KeyRange[]> {
    const { registry, isServed } = this.#parts;
    const unserved = new Map<ServiceName, readonly KeyRange[]>();
    for (const service of registry().rangedServices()) {
      const held = isServed(service) ? [] : registry().ranges(service).filter(isNamed);
      if (held.length > 0) {
        unserved.set(service, held);
      }
    }
    return unserved;
  }

  #follow(service: ServiceName, held: readonly KeyRange[], now: MonotonicMillis): MonotonicMillis {
    this.#since.set(service, now);
    const holders = new Set(held.map(({ owner, former }) => owner ?? former));
    const freeAfterMillis = longestGrantMillis(this.#parts.timings);
    const fields = { service, ranges: held.length, holders: holders.size, freeAfterMillis };
    this.#parts.log('ranges-unserved', fields);
    return now;
  }

  #logEnd(service: ServiceName, since: MonotonicMillis, now: MonotonicMillis): void {
    const outcome = this.#parts.isServed(service) ? UNSERVED_OUTCOMES.resumed : UNSERVED_OUTCOMES.freed;
    const unservedMillis = Math.round(now - since);
    this.#parts.log('ranges-unserved-end', { service, outcome, unservedMillis });
  }
}

function isNamed({ owner, former }: KeyRange): boolean {
  return owner !== null || former !== null;
}

function withoutHolders(ranges: readonly KeyRange[]): RangeUpdate[] {
  return ranges.map((range) => spanUpdate(range, range, null, null));
}

/** What became of ranges that weren't served. */
const UNSERVED_OUTCOMES = {
  /** The service has ranges again, and its owners keep their keys. */
  resumed: 'resumed',
  /** They name no upstream any more. */
  freed: 'freed',
} as const;
