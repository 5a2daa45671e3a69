/** The connections that one router keeps to upstreams. A connection carries one request at a time. */
import type { ModelUpstream } from './model-upstream.js';

interface Link {
  /** Run of the server that the connections lead to; those to an earlier run are broken. */
  incarnation: string;
  idle: number;
  total: number;
}

export class UpstreamConnections {
  private readonly links = new Map<ModelUpstream, Link>();

  /** Takes an idle connection, if there is one. */
  takeIdle(upstream: ModelUpstream): boolean {
    const link = this.linkOf(upstream);
    if (upstream.state === 'dead' || link.idle === 0) {
      return false;
    }
    link.idle -= 1;
    return true;
  }

  /** Opens a connection; `false` if the server takes no more. */
  open(upstream: ModelUpstream): boolean {
    const link = this.linkOf(upstream);
    if (upstream.connectionCount >= upstream.traits.connections) {
      return false;
    }
    link.total += 1;
    upstream.connectionCount += 1;
    return true;
  }

  /** A request is over: its connection is kept or closed. */
  release(upstream: ModelUpstream, keeps: boolean): void {
    const link = this.linkOf(upstream);
    if (keeps) {
      link.idle += 1;
    } else if (link.total > link.idle) {
      link.total -= 1;
      upstream.connectionCount -= 1;
    }
  }

  private linkOf(upstream: ModelUpstream): Link {
    const known = this.links.get(upstream);
    if (known !== undefined && known.incarnation === upstream.incarnation) {
      return known;
    }
    const link: Link = { incarnation: upstream.incarnation, idle: 0, total: 0 };
    this.links.set(upstream, link);
    return link;
  }
}
