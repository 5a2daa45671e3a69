/** Upstreams that may own ranges of keys, and their utilisation by the load of these keys. */
import type { UpstreamId } from '../../model/identifiers.js';
import { type KeyRange, type KeySpan, MAX_KEY, spanLength } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';

/** An upstream that may own ranges. */
export interface RangeServer {
  readonly upstream: UpstreamId;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Speed as a factor on the mean of its service. */
  readonly speed: number;
  /** Maximum load in milliseconds of the mean upstream's work per second; absent if only its slots limit it. */
  readonly maxLoad?: number;
  /** Whether it must not get further ranges, because it owns many, is cold, or has a reduced capacity. */
  readonly isExcludedAsTarget?: boolean;
}

const MILLIS_PER_SECOND = 1000;
/** Load attributed to all idle keys together, as a share of the capacity of one slot. */
const IDLE_LOAD_SHARE = 0.05;

/** Minimum capacity in milliseconds of work per second, which avoids a division by 0. */
const MIN_CAPACITY = 1;

/** Load attributed to each key even if it is idle, so that idle keys are spread too. */
const IDLE_KEY_LOAD = (IDLE_LOAD_SHARE * MILLIS_PER_SECOND) / (MAX_KEY + 1);

/** Returns the load attributed to the keys of a span as idle keys, in milliseconds of work per second. */
export function idleLoad(span: KeySpan): number {
  return spanLength(span) * IDLE_KEY_LOAD;
}

/** Returns the capacity of a server in milliseconds of the mean upstream's work per second. */
export function capacityOf({
  slots,
  speed,
  maxLoad: mostLoad = Number.POSITIVE_INFINITY,
}: RangeServer): number {
  return Math.max(MIN_CAPACITY, Math.min(mostLoad, slots * speed * MILLIS_PER_SECOND));
}

/** Loads by owner, in milliseconds of work per second. */
export class OwnerLoads {
  readonly #loads = new Map<UpstreamId, number>();
  readonly #ids: ReadonlySet<UpstreamId>;
  /** Capacity and load of all servers, without the loads of other owners. */
  readonly #capacity: number;
  #serverLoad = 0;

  constructor(
    private readonly servers: readonly RangeServer[],
    ranges: readonly KeyRange[],
    private readonly loads: KeyLoads,
  ) {
    this.#ids = new Set(servers.map(({ upstream }) => upstream));
    this.#capacity = servers.reduce((sum, server) => sum + capacityOf(server), 0);
    for (const range of ranges) {
      if (range.owner !== null) {
        this.addSpan(range.owner, range);
      }
    }
  }

  addSpan(upstream: UpstreamId, span: KeySpan): void {
    this.addLoad(upstream, this.loads.loadOfSpan(span) + idleLoad(span));
  }

  addLoad(upstream: UpstreamId, load: number): void {
    this.#loads.set(upstream, (this.#loads.get(upstream) ?? 0) + load);
    this.#serverLoad += this.#ids.has(upstream) ? load : 0;
  }

  loadOf(upstream: UpstreamId): number {
    return this.#loads.get(upstream) ?? 0;
  }

  /** Returns the load of a span, including the load attributed to idle keys. */
  loadOfSpan(span: KeySpan): number {
    return this.loads.loadOfSpan(span) + idleLoad(span);
  }

  /** Returns a server's load as a share of its capacity. */
  utilisationOf(server: RangeServer): number {
    return this.loadOf(server.upstream) / capacityOf(server);
  }

  /** Returns the least utilised server other than `except`; `undefined` if there is none. */
  leastUtilised(except: UpstreamId | null): RangeServer | undefined {
    return this.leastUtilisedWhere(({ upstream }) => upstream !== except);
  }

  /** Returns the least utilised server that satisfies `fits` and may get ranges; `undefined` if there is none. */
  leastUtilisedWhere(fits: (server: RangeServer) => boolean): RangeServer | undefined {
    let best: RangeServer | undefined;
    for (const server of this.servers) {
      const isCandidate = server.isExcludedAsTarget !== true && fits(server);
      if (isCandidate && (best === undefined || this.utilisationOf(server) < this.utilisationOf(best))) {
        best = server;
      }
    }
    return best;
  }

  /** Returns the server with the largest capacity that satisfies `fits` and may get ranges; `undefined` if there is none. */
  largest(fits: (server: RangeServer) => boolean): RangeServer | undefined {
    let best: RangeServer | undefined;
    for (const server of this.servers) {
      const isCandidate = server.isExcludedAsTarget !== true && fits(server);
      if (isCandidate && (best === undefined || capacityOf(server) > capacityOf(best))) {
        best = server;
      }
    }
    return best;
  }

  /** Returns the servers with a utilisation above `threshold`, in descending order. */
  busiest(threshold: number): RangeServer[] {
    const busy = this.servers.filter((server) => this.utilisationOf(server) > threshold);
    return busy.sort((one, other) => this.utilisationOf(other) - this.utilisationOf(one));
  }

  /** Returns the load of all servers as a share of their capacity. */
  meanUtilisation(): number {
    return this.#serverLoad / Math.max(1, this.#capacity);
  }
}
