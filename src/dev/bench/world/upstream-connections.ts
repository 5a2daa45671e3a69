/** The connections from one router to upstreams. A connection serves one request at a time. */
import type { ModelUpstream } from './model-upstream.js';

interface Link {
  /** Run of the server that the connections belong to; connections to an earlier run are broken. */
  incarnation: string;
  idle: number;
  total: number;
}

export class UpstreamConnections {
  private readonly links = new Map<ModelUpstream, Link>();

  /** Takes an idle connection; returns `false` if there is none. */
  takeIdle(upstream: ModelUpstream): boolean {
    const link = this.linkOf(upstream);
    if (upstream.state === 'dead' || link.idle === 0) {
      return false;
    }
    link.idle -= 1;
    return true;
  }

  /** Opens a connection; returns `false` if the server is at its connection limit. */
  open(upstream: ModelUpstream): boolean {
    const link = this.linkOf(upstream);
    if (upstream.connectionCount >= upstream.traits.connections) {
      return false;
    }
    link.total += 1;
    upstream.connectionCount += 1;
    return true;
  }

  /** Keeps or closes the connection of a finished request. */
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
