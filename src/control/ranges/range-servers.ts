/** Tracks the upstreams of one service that may be assigned keys, and whether enough have joined to divide all keys. */
import type { MonotonicMillis, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { CapacityLimit } from '../../placement/ranges/capacity-limit.js';
import { capacityOf, type RangeServer } from '../../placement/ranges/owner-loads.js';
import type { OwnerSpeeds } from '../../placement/ranges/owner-speeds.js';
import type { Registry } from '../../registry/types.js';

/** Keys are first assigned once no further upstream joined for this long, or after the longest wait. */
const GATHER_MILLIS = 1500;
const MAX_GATHER_MILLIS = 4000;
/** An upstream silent for this many heartbeat intervals gets no further keys. */
const SILENT_HEARTBEATS = 3;

/** Assumed work of a request until one was measured. */
const DEFAULT_WORK_MILLIS = 10;
/** Maximum number of ranges per upstream: a response to its heartbeat names them all, and each costs a renewal by call. */
const MAX_RANGES_PER_UPSTREAM = 48;

/** Evidence of the upstreams' state. */
export interface HolderEvidence {
  /** Time of the last sign of life, or the start of this leadership. */
  lastSeenAt(upstream: UpstreamId): MonotonicMillis;
  /** Returns whether a call would fail now. */
  isUnreachable(upstream: UpstreamId, now: MonotonicMillis): boolean;
}

export interface RangeServersParts {
  readonly service: ServiceName;
  readonly registry: () => Registry;
  readonly evidence: HolderEvidence;
  /** Load limits of constrained upstreams. */
  readonly loadLimits: () => ReadonlyMap<UpstreamId, CapacityLimit>;
  /** Usual time between two heartbeats of an upstream. */
  readonly heartbeatMillis: number;
}

export class RangeServers {
  #servers: readonly RangeServer[] = [];
  /** Time at which their number last changed. */
  #changedAt: MonotonicMillis;

  /** `since` is the start of this leadership. */
  constructor(
    private readonly parts: RangeServersParts,
    private readonly since: MonotonicMillis,
    private readonly speeds: OwnerSpeeds,
  ) {
    this.#changedAt = since;
  }

  get list(): readonly RangeServer[] {
    return this.#servers;
  }

  /** Updates the list from the registry and the heartbeats. */
  update(now: MonotonicMillis): void {
    const servers: RangeServer[] = [];
    const limited = new Set<UpstreamId>();
    const counts = countRanges(this.parts.registry().ranges(this.parts.service));
    const registry = this.parts.registry();
    const loadLimits = this.parts.loadLimits();
    const meanMillis = this.speeds.meanMillis ?? DEFAULT_WORK_MILLIS;
    const limitsCold = registry.services().get(this.parts.service)?.definition.warmup !== undefined;
    for (const { definition } of registry.upstreams().values()) {
      const { id, service, announced } = definition;
      const isOfService = service === this.parts.service && announced !== undefined;
      if (isOfService && !registry.isLeaving(definition) && this.#isUsable(id, now)) {
        const loadLimit = loadLimits.get(id);
        const isFull = (counts.get(id) ?? 0) >= MAX_RANGES_PER_UPSTREAM;
        if (loadLimit !== undefined || (limitsCold && announced.warmupMillis > 0)) {
          limited.add(id);
        }
        const server: RangeServer = {
          upstream: id,
          slots: announced.slots,
          speed: this.speeds.speedOf(id),
          isExcludedAsTarget: isFull,
        };
        servers.push(loadLimit === undefined ? server : withLoadLimit(server, loadLimit, meanMillis));
      }
    }
    if (servers.length !== this.#servers.length) {
      this.#changedAt = now;
    }
    this.#servers =
      limited.size < servers.length ? servers.map((server) => markFull(server, limited)) : servers;
  }

  has(upstream: UpstreamId): boolean {
    return this.#servers.some((server) => server.upstream === upstream);
  }

  /** Returns whether all upstreams that start together can be assumed to have joined. */
  hasGathered(now: MonotonicMillis): boolean {
    return now - this.#changedAt >= GATHER_MILLIS || now - this.since >= MAX_GATHER_MILLIS;
  }

  #isUsable(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const { evidence, heartbeatMillis } = this.parts;
    const isRecent = now - evidence.lastSeenAt(upstream) < heartbeatMillis * SILENT_HEARTBEATS;
    return isRecent && !evidence.isUnreachable(upstream, now);
  }
}

/**
 * A cold or constrained upstream is marked as full while others can take keys. All requests of a key go to its owner,
 * so callers would be limited to its reduced capacity. A constrained upstream keeps the load it can take, and a cold
 * one is warm within seconds. When such upstreams got keys on joining, 16 requests a second reached owners that could
 * take 4 (on trouble days with 98 owners, 106 times in a day).
 */
function markFull(server: RangeServer, limited: ReadonlySet<UpstreamId>): RangeServer {
  return limited.has(server.upstream) ? { ...server, isExcludedAsTarget: true } : server;
}

/** Limits the load of a constrained server. `meanMillis` is the time a request takes at the mean upstream. */
function withLoadLimit(
  server: RangeServer,
  { perSecond, share = 1 }: CapacityLimit,
  meanMillis: number,
): RangeServer {
  const byLimit = perSecond === undefined ? Number.POSITIVE_INFINITY : perSecond * meanMillis;
  return { ...server, maxLoad: Math.min(byLimit, capacityOf(server) * share) };
}

function countRanges(ranges: readonly KeyRange[]): Map<UpstreamId, number> {
  const counts = new Map<UpstreamId, number>();
  for (const { owner } of ranges) {
    if (owner !== null) {
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
  }
  return counts;
}
