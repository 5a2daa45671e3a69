/** The routers of one zone that can carry connections, in the order of a hash of their names. */
import type { MonotonicMillis, RouterId, Zone } from '../model/identifiers.js';
import type { RelayPeer } from '../model/relay.js';
import { affinityOf } from '../routing/upstream/affinity.js';

export interface KnownRelay {
  readonly peer: RelayPeer;
  /** Whether it reaches some upstreams only through others itself. */
  isBlind: boolean;
  reportedAt: MonotonicMillis;
}

interface Place {
  readonly position: number;
  readonly relay: KnownRelay;
}

export class RelayRing {
  readonly #zone: Zone;
  /** Sorted by position. */
  readonly #places: Place[] = [];

  constructor(zone: Zone) {
    this.#zone = zone;
  }

  get isEmpty(): boolean {
    return this.#places.length === 0;
  }

  add(relay: KnownRelay): void {
    const position = this.#positionOf(relay.peer.router);
    this.#places.splice(this.#indexOf(position), 0, { position, relay });
  }

  delete(relay: KnownRelay): void {
    const index = this.#places.findIndex((place) => place.relay === relay);
    if (index !== -1) {
      this.#places.splice(index, 1);
    }
  }

  /** The first `count` relays after an asker's own position that are accepted; each asker begins elsewhere, so that all relays get a like number. */
  after(asker: RouterId, count: number, accepts: (relay: KnownRelay) => boolean): RelayPeer[] {
    const start = this.#indexOf(this.#positionOf(asker));
    const found: RelayPeer[] = [];
    for (let step = 0; step < this.#places.length && found.length < count; step += 1) {
      const { relay } = this.#places[(start + step) % this.#places.length] as Place;
      if (relay.peer.router !== asker && accepts(relay)) {
        found.push(relay.peer);
      }
    }
    return found;
  }

  #positionOf(router: RouterId): number {
    return affinityOf(this.#zone, router);
  }

  /** Index of the first place at a position or after it. */
  #indexOf(position: number): number {
    let low = 0;
    let high = this.#places.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#places[middle] as Place).position < position) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
