/** Owns the connections to upstreams, one pool for each path to each upstream. A connection carries one request at a time. */
import { Pool } from 'undici';
import type { Address, RouterId, UpstreamId } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import type { RelayDialer } from '../relay/relay-dialer.js';
import { ResettableClient } from './resettable-client.js';
import { type Connector, createSettledConnector } from './settled-connector.js';

export interface UpstreamPoolOptions {
  readonly connectionsPerUpstream: number;
  readonly connectMillis: number;
  readonly localAddress?: string | undefined;
  /** Opens connections over other routers. */
  readonly dialer: RelayDialer;
  /** Called when the HTTP client of a connection failed by an error of its own. */
  readonly onClientFailed: (address: Address, error: Error) => void;
}

/** An upstream, and the path over which it is reached. */
export interface PathToUpstream {
  readonly upstream: UpstreamId;
  readonly address: Address;
  /** `null`: the path is direct. */
  readonly via: RelayPeer | null;
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

interface PathPool {
  readonly pool: Pool;
  readonly address: Address;
  readonly via: RouterId | null;
}

export class UpstreamPools {
  private readonly pools = new Map<string, PathPool>();
  /** Time that the latest direct connection to each address took to open. */
  private readonly connectMillis = new Map<Address, number>();

  constructor(private readonly options: UpstreamPoolOptions) {}

  /** Returns the pool of a path, which it creates if needed. */
  poolFor(path: PathToUpstream): Pool {
    const { upstream, address, via } = path;
    // Upstreams of several services may share an address, and with it the pool.
    const key = via === null ? address : `${address} ${via.router} ${upstream}`;
    const known = this.pools.get(key);
    if (known !== undefined) {
      return known.pool;
    }
    const { localAddress, onClientFailed } = this.options;
    const pool = new Pool(`http://${address}`, {
      connections: this.options.connectionsPerUpstream,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLIS,
      // The core cancels attempts at their deadline, which no longer applies to streamed answers.
      headersTimeout: 0,
      // Attempts bound the time without a part of a body, which doesn't count while reading is held.
      bodyTimeout: 0,
      connect: this.connectorFor(path),
      factory: (origin, options) =>
        new ResettableClient(origin, options, (error) => onClientFailed(address, error)),
      ...(localAddress && { localAddress }),
    });
    this.pools.set(key, { pool, address, via: via?.router ?? null });
    return pool;
  }

  /** Time that the latest direct connection to an address took to open; `undefined`: there was none. */
  usualConnectMillis(address: Address): number | undefined {
    return this.connectMillis.get(address);
  }

  /** Closes the idle connections of a path now, and those in use once they are idle. */
  closePath(address: Address, via: RouterId | null): void {
    this.closeWhere((pool) => pool.address === address && pool.via === via);
  }

  /** Closes the pools of addresses that no upstream has any more, once their requests are finished. */
  keepOnly(addresses: ReadonlySet<Address>): void {
    this.closeWhere(({ address }) => !addresses.has(address));
    for (const address of this.connectMillis.keys()) {
      if (!addresses.has(address)) {
        this.connectMillis.delete(address);
      }
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.pools.values()].map(({ pool }) => pool.destroy()));
  }

  private closeWhere(matches: (pool: PathPool) => boolean): void {
    for (const [key, pool] of this.pools) {
      if (matches(pool)) {
        this.pools.delete(key);
        void pool.pool.close();
      }
    }
  }

  private connectorFor({ upstream, address, via }: PathToUpstream): Connector {
    const { connectMillis, dialer } = this.options;
    if (via !== null) {
      return (_target, callback) =>
        dialer.open({ peer: via, upstream, timeoutMillis: connectMillis }, (error, stream) =>
          // The HTTP client uses nothing of a socket that other streams lack.
          error === null ? callback(null, stream as never) : callback(error, null),
        );
    }
    const connect = createSettledConnector({ timeout: connectMillis });
    return (target, callback) => {
      const startedAt = performance.now();
      connect(target, (...result) => {
        if (result[0] === null) {
          this.connectMillis.set(address, performance.now() - startedAt);
        }
        callback(...result);
      });
    };
  }
}
