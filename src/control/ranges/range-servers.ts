/** The upstreams of one service that may be given keys now, and whether enough of them came to divide all keys. */
import type { MonotonicMillis, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { RangeServer } from '../../placement/ranges/owner-loads.js';
import type { Registry } from '../../registry/types.js';
import type { HolderTable } from './holder-table.js';

/** Keys are given out for the first time once no further upstream came for this long, or after the longest wait. */
const GATHER_MILLIS = 1500;
const LONGEST_GATHER_MILLIS = 4000;
/** An upstream that wasn't heard for this many heartbeats gets no further keys. */
const SILENT_HEARTBEATS = 3;

export interface RangeServersParts {
  readonly service: ServiceName;
  readonly registry: () => Registry;
  readonly holders: HolderTable;
  /** Usual time between two heartbeats of an upstream. */
  readonly heartbeatMillis: number;
}

/** Speed of an upstream, as a factor on the mean one. */
export type SpeedOf = (upstream: UpstreamId) => number;

export class RangeServers {
  #servers: readonly RangeServer[] = [];
  /** Since when their number is what it is. */
  #changedAt: MonotonicMillis;

  /** `since`: when this leadership began. */
  constructor(
    private readonly parts: RangeServersParts,
    private readonly since: MonotonicMillis,
    private readonly speedOf: SpeedOf,
  ) {
    this.#changedAt = since;
  }

  get list(): readonly RangeServer[] {
    return this.#servers;
  }

  /** Takes in what the registry and the heartbeats say now. */
  look(now: MonotonicMillis): void {
    const servers: RangeServer[] = [];
    for (const { definition } of this.parts.registry().upstreams().values()) {
      const { id, service, leaving, announced } = definition;
      if (service === this.parts.service && !leaving && announced !== undefined && this.#isWell(id, now)) {
        servers.push({ upstream: id, slots: announced.slots, speed: this.speedOf(id) });
      }
    }
    if (servers.length !== this.#servers.length) {
      this.#changedAt = now;
    }
    this.#servers = servers;
  }

  has(upstream: UpstreamId): boolean {
    return this.#servers.some((server) => server.upstream === upstream);
  }

  /** Whether those that start together can be taken to be all here. */
  isGathered(now: MonotonicMillis): boolean {
    return now - this.#changedAt >= GATHER_MILLIS || now - this.since >= LONGEST_GATHER_MILLIS;
  }

  #isWell(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const { holders, heartbeatMillis } = this.parts;
    const isHeard = now - holders.heardAt(upstream) < heartbeatMillis * SILENT_HEARTBEATS;
    return isHeard && !holders.hasEnded(upstream);
  }
}
