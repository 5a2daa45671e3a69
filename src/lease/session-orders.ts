/** The orders that are in force for one session, and how much of them the holder was told and has followed. */
import type { ShardId } from '../model/identifiers.js';
import type { SessionAnswer, ShardOrder } from './types.js';

export class SessionOrders {
  readonly #orders = new Map<ShardId, ShardOrder>();
  /** Orders that weren't sent in their present form. */
  readonly #unsent = new Set<ShardId>();
  /** Orders that no answer showed to be followed in their present form. */
  readonly #unacknowledged = new Set<ShardId>();
  /** Revokes that were sent and that an answer didn't show to be followed. */
  readonly #ignoredRevokes = new Set<ShardId>();
  /** Revokes and orders to warm: each request repeats them, as answers speak only of shards that are named. */
  readonly #standing = new Set<ShardId>();
  /** Shards that the holder is to warm. */
  readonly #warming = new Set<ShardId>();

  /** Puts an order in force, in place of an earlier one about the same shard. */
  set(order: ShardOrder): void {
    const { shard } = order;
    const before = this.#orders.get(shard);
    if (before !== undefined && isSame(before, order)) {
      return;
    }
    this.#orders.set(shard, order);
    this.#unsent.add(shard);
    this.#unacknowledged.add(shard);
    setMembership(this.#warming, shard, order.type === 'warm');
    setMembership(this.#standing, shard, order.type !== 'grant');
  }

  delete(shard: ShardId): void {
    this.#orders.delete(shard);
    this.#unsent.delete(shard);
    this.#unacknowledged.delete(shard);
    this.#ignoredRevokes.delete(shard);
    this.#warming.delete(shard);
    this.#standing.delete(shard);
  }

  /** Nothing is known any more of what the holder was told. */
  startOver(): void {
    this.#ignoredRevokes.clear();
    for (const shard of this.#orders.keys()) {
      this.#unsent.add(shard);
      this.#unacknowledged.add(shard);
    }
  }

  hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /** Whether a holder was told to give a shard up and didn't say that it follows. */
  hasIgnoredRevoke(): boolean {
    return this.#ignoredRevokes.size > 0;
  }

  /** Whether a shard that is to be warmed isn't among those that the holder has warmed. */
  isWarming(warmed: readonly ShardId[]): boolean {
    if (this.#warming.size === 0) {
      return false;
    }
    const done = new Set(warmed);
    return [...this.#warming].some((shard) => !done.has(shard));
  }

  /** Orders to send now: all of them for a complete list, else those not acknowledged and those that are repeated. */
  take(complete: boolean): ShardOrder[] {
    const due = complete
      ? [...this.#orders.values()]
      : this.#of(new Set([...this.#unacknowledged, ...this.#standing]));
    this.#unsent.clear();
    return due;
  }

  /** What `sent` said is to be said again. */
  forget(sent: readonly ShardOrder[]): void {
    for (const { shard } of sent) {
      if (this.#orders.has(shard)) {
        this.#unsent.add(shard);
      }
    }
  }

  /** Notes which of the orders `sent` the answer shows to be followed. */
  acknowledge(sent: readonly ShardOrder[], answer: SessionAnswer): void {
    if (sent.length === 0) {
      return;
    }
    const facts = new AnswerFacts(answer);
    for (const order of sent) {
      const current = this.#orders.get(order.shard);
      const isFollowed = facts.shows(order);
      if (isFollowed && current !== undefined && isSame(current, order)) {
        this.#unacknowledged.delete(order.shard);
      }
      if (order.type === 'revoke' && !isFollowed && current !== undefined) {
        this.#ignoredRevokes.add(order.shard);
      } else {
        this.#ignoredRevokes.delete(order.shard);
      }
    }
  }

  #of(shards: Iterable<ShardId>): ShardOrder[] {
    return [...shards].flatMap((shard) => this.#orders.get(shard) ?? []);
  }
}

function setMembership(shards: Set<ShardId>, shard: ShardId, isMember: boolean): void {
  if (isMember) {
    shards.add(shard);
  } else {
    shards.delete(shard);
  }
}

/** What an answer says of single shards. */
class AnswerFacts {
  readonly #heldEpochs: ReadonlyMap<ShardId, number>;
  readonly #draining: ReadonlySet<ShardId>;
  readonly #releasedAt: ReadonlyMap<ShardId, number>;

  constructor({ held, draining, released }: SessionAnswer) {
    this.#heldEpochs = new Map(held.map(({ shard, epoch }) => [shard, epoch]));
    this.#draining = new Set(draining.map(({ shard }) => shard));
    this.#releasedAt = new Map(released.map(({ shard, revision }) => [shard, revision]));
  }

  /** Whether the holder follows an order. */
  shows(order: ShardOrder): boolean {
    switch (order.type) {
      case 'grant':
        return this.#heldEpochs.get(order.shard) === order.epoch;
      case 'revoke':
        return this.#draining.has(order.shard) || (this.#releasedAt.get(order.shard) ?? -1) >= order.revision;
      case 'warm':
        return true;
    }
  }
}

function isSame(one: ShardOrder, other: ShardOrder): boolean {
  return one.type === other.type && one.revision === other.revision;
}
