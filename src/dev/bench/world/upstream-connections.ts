/** The connections from one router to upstreams. A connection serves one request at a time. */
import type { ModelUpstream } from './model-upstream.js';

interface ConnectionPool {
  /** Run of the server that the connections belong to; connections to an earlier run are broken. */
  incarnation: string;
  idle: number;
  total: number;
}

export class UpstreamConnections {
  private readonly pools = new Map<ModelUpstream, ConnectionPool>();

  /** Takes an idle connection; returns `false` if there is none. */
  takeIdle(upstream: ModelUpstream): boolean {
    const pool = this.poolOf(upstream);
    if (upstream.state === 'dead' || pool.idle === 0) {
      return false;
    }
    pool.idle -= 1;
    return true;
  }

  /** Opens a connection; returns `false` if the server is at its connection limit. */
  open(upstream: ModelUpstream): boolean {
    const pool = this.poolOf(upstream);
    if (upstream.connectionCount >= upstream.traits.connections) {
      return false;
    }
    pool.total += 1;
    upstream.connectionCount += 1;
    return true;
  }

  /** Keeps or closes the connection of a finished request. */
  release(upstream: ModelUpstream, keepAlive: boolean): void {
    const pool = this.poolOf(upstream);
    if (keepAlive) {
      pool.idle += 1;
    } else if (pool.total > pool.idle) {
      pool.total -= 1;
      upstream.connectionCount -= 1;
    }
  }

  private poolOf(upstream: ModelUpstream): ConnectionPool {
    const existing = this.pools.get(upstream);
    if (existing !== undefined && existing.incarnation === upstream.incarnation) {
      return existing;
    }
    const pool: ConnectionPool = { incarnation: upstream.incarnation, idle: 0, total: 0 };
    this.pools.set(upstream, pool);
    return pool;
  }
}
