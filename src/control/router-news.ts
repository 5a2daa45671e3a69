/**
 * Tells connected routers of changes as soon as a member has applied them: small ones whole, so that a router needs no
 * fetch before it follows a shard to its new owner; of larger ones only that there is something to fetch. Neither renews
 * a configuration lease, which takes a quorum.
 */
import type { Address, Revision } from '../model/identifiers.js';
import type { Registry, RoutingDelta } from '../registry/types.js';
import type { ControlToRouter } from './messages.js';
import type { ConnectionId } from './types.js';

/** Changes that are sent whole; more of them are fetched, many commits at a time. */
const MOST_CHANGES = 64;
/** Stamp of a message that answers no request. */
const NO_STAMP = -1;

/** One message to one router. */
export interface RouterNewsItem {
  readonly connection: ConnectionId;
  readonly message: ControlToRouter;
}

export class RouterNews {
  /** Revision that each router holds once all that was sent to it has arrived. */
  readonly #told = new Map<ConnectionId, Revision>();

  /** A router said which revision it holds; 0: none. */
  holds(connection: ConnectionId, revision: Revision): void {
    this.#told.set(connection, revision);
  }

  /** A router was sent all changes up to a revision. */
  sent(connection: ConnectionId, revision: Revision): void {
    const told = this.#told.get(connection) ?? 0;
    this.#told.set(connection, Math.max(told, revision));
  }

  gone(connection: ConnectionId): void {
    this.#told.delete(connection);
  }

  /** What is to be sent now that the registry holds more. */
  take(registry: Registry, leader: Address | null): RouterNewsItem[] {
    const { revision } = registry;
    const deltas = new Map<Revision, RoutingDelta | null>();
    const items: RouterNewsItem[] = [];
    for (const [connection, told] of this.#told) {
      const known = deltas.get(told);
      const delta = known === undefined ? smallDelta(registry, told) : known;
      deltas.set(told, delta);
      items.push({ connection, message: messageOf(revision, delta, leader) });
      if (delta !== null) {
        this.#told.set(connection, revision);
      }
    }
    return items;
  }
}

function smallDelta(registry: Registry, from: Revision): RoutingDelta | null {
  const delta = from > 0 ? registry.routingDelta(from) : undefined;
  return delta !== undefined && delta.changes.length <= MOST_CHANGES ? delta : null;
}

function messageOf(revision: Revision, delta: RoutingDelta | null, leader: Address | null): ControlToRouter {
  if (delta === null) {
    return { type: 'change-notice', revision };
  }
  return {
    type: 'sync-response',
    stamp: NO_STAMP,
    confirmed: false,
    revision,
    snapshot: null,
    delta,
    leader,
  };
}
