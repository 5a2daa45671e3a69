/** Task that owns the connections to upstreams. A connection carries one request at a time. */
import { Pool } from 'undici';
import type { Address } from '../../model/identifiers.js';
import { ConnectionResets } from './connection-resets.js';

export interface UpstreamPoolOptions {
  readonly connectionsPerUpstream: number;
  readonly connectMillis: number;
  readonly streamStallMillis: number;
  readonly localAddress?: string | undefined;
}

/**
 * How long a connection rests where its upstream doesn't say how long it keeps one. Common servers keep theirs for 10 s and more; at
 * 8 requests a second over 200 upstreams a rest of 4 s had most requests open a new connection.
 */
const KEEP_ALIVE_MILLIS = 9000;
/**
 * How long before the time that its upstream names a connection is given up: longer than an answer's way and a request's together, so
 * that no request meets the end of its connection on the way.
 */
const KEEP_ALIVE_MARGIN_MILLIS = 1000;

export class UpstreamPools {
  private readonly pools = new Map<Address, Pool>();
  /** Whether an answer that ends now was cut off. */
  readonly resets = new ConnectionResets();

  constructor(private readonly options: UpstreamPoolOptions) {}

  /** The pool for an upstream. */
  of(address: Address): Pool {
    const known = this.pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const { connectMillis, localAddress } = this.options;
    const pool = new Pool(`http://${address}`, {
      connections: this.options.connectionsPerUpstream,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLIS,
      // The core cancels attempts at their deadline; answers that are streamed are past it.
      headersTimeout: 0,
      bodyTimeout: this.options.streamStallMillis,
      connect: this.resets.connector({ timeout: connectMillis }),
      ...(localAddress && { localAddress }),
    });
    this.pools.set(address, pool);
    return pool;
  }

  /** Lets go of pools to addresses that no upstream has any more, once their requests are done. */
  keepOnly(addresses: ReadonlySet<Address>): void {
    for (const [address, pool] of this.pools) {
      if (!addresses.has(address)) {
        this.pools.delete(address);
        void pool.close();
      }
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }
}
