/** Owns the connections to upstreams. A connection carries one request at a time. */
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
 * Idle timeout of a connection whose upstream sends no `Keep-Alive` timeout. Common servers keep idle connections for 10 s and more; at
 * 8 requests a second over 200 upstreams, with 4 s most requests opened a new connection.
 */
const KEEP_ALIVE_MILLIS = 9000;
/**
 * How long before the `Keep-Alive` timeout of its upstream a connection is closed: longer than the transit times of an answer and a
 * request together, so that no request crosses with the upstream's close.
 */
const KEEP_ALIVE_MARGIN_MILLIS = 1000;

export class UpstreamPools {
  private readonly pools = new Map<Address, Pool>();
  /** Detects answers truncated by a reset. */
  readonly resets = new ConnectionResets();

  constructor(private readonly options: UpstreamPoolOptions) {}

  /** Returns the pool of an upstream, which it creates if needed. */
  poolFor(address: Address): Pool {
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
      // The core cancels attempts at their deadline, which no longer applies to streamed answers.
      headersTimeout: 0,
      bodyTimeout: this.options.streamStallMillis,
      connect: this.resets.connector({ timeout: connectMillis }),
      ...(localAddress && { localAddress }),
    });
    this.pools.set(address, pool);
    return pool;
  }

  /** Closes the pools of addresses that no upstream has any more, once their requests are finished. */
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
