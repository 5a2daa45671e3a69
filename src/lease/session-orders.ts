/** The orders in force for one session, and which of them were sent to the holder and acknowledged. */
import type { ShardId } from '../model/identifiers.js';
import type { SessionAnswer, ShardOrder } from './types.js';

export class SessionOrders {
  readonly #orders = new Map<ShardId, ShardOrder>();
  /** Orders that weren't sent in their current form. */
  readonly #unsent = new Set<ShardId>();
  /** Orders that no answer acknowledged in their current form. */
  readonly #unacknowledged = new Set<ShardId>();
  /** Revokes that were sent and that an answer didn't acknowledge. */
  readonly #unacknowledgedRevokes = new Set<ShardId>();
  /** Revokes and orders to warm: each request repeats them, since answers cover only the shards named. */
  readonly #repeated = new Set<ShardId>();
  /** Shards with an order to warm. */
  readonly #warming = new Set<ShardId>();

  /** Sets an order, replacing an earlier one about the same shard. */
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
    setMembership(this.#repeated, shard, order.type !== 'grant');
  }

  delete(shard: ShardId): void {
    this.#orders.delete(shard);
    this.#unsent.delete(shard);
    this.#unacknowledged.delete(shard);
    this.#unacknowledgedRevokes.delete(shard);
    this.#warming.delete(shard);
    this.#repeated.delete(shard);
  }

  /** Marks all orders as unsent and unacknowledged. */
  markAllUnsent(): void {
    this.#unacknowledgedRevokes.clear();
    for (const shard of this.#orders.keys()) {
      this.#unsent.add(shard);
      this.#unacknowledged.add(shard);
    }
  }

  hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /** Returns whether the holder received a revoke and didn't acknowledge it. */
  hasUnacknowledgedRevoke(): boolean {
    return this.#unacknowledgedRevokes.size > 0;
  }

  /** Returns whether a shard with an order to warm isn't among the shards that the holder has warmed. */
  isWarming(warmed: readonly ShardId[]): boolean {
    if (this.#warming.size === 0) {
      return false;
    }
    const done = new Set(warmed);
    return [...this.#warming].some((shard) => !done.has(shard));
  }

  /** Returns the orders to send now: all for a complete list, otherwise the unacknowledged and the repeated ones. */
  ordersToSend(complete: boolean): ShardOrder[] {
    const due = complete
      ? [...this.#orders.values()]
      : this.#ordersOf(new Set([...this.#unacknowledged, ...this.#repeated]));
    this.#unsent.clear();
    return due;
  }

  /** Marks sent orders as unsent. */
  markUnsent(sent: readonly ShardOrder[]): void {
    for (const { shard } of sent) {
      if (this.#orders.has(shard)) {
        this.#unsent.add(shard);
      }
    }
  }

  /** Records which of the orders `sent` the answer acknowledges. */
  acknowledge(sent: readonly ShardOrder[], answer: SessionAnswer): void {
    if (sent.length === 0) {
      return;
    }
    const index = new AnswerIndex(answer);
    for (const order of sent) {
      const current = this.#orders.get(order.shard);
      const isAcknowledged = index.acknowledges(order);
      if (isAcknowledged && current !== undefined && isSame(current, order)) {
        this.#unacknowledged.delete(order.shard);
      }
      if (order.type === 'revoke' && !isAcknowledged && current !== undefined) {
        this.#unacknowledgedRevokes.add(order.shard);
      } else {
        this.#unacknowledgedRevokes.delete(order.shard);
      }
    }
  }

  #ordersOf(shards: Iterable<ShardId>): ShardOrder[] {
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

/** Index of an answer by shard. */
class AnswerIndex {
  readonly #heldEpochs: ReadonlyMap<ShardId, number>;
  readonly #draining: ReadonlySet<ShardId>;
  readonly #releasedAt: ReadonlyMap<ShardId, number>;

  constructor({ held, draining, released }: SessionAnswer) {
    this.#heldEpochs = new Map(held.map(({ shard, epoch }) => [shard, epoch]));
    this.#draining = new Set(draining.map(({ shard }) => shard));
    this.#releasedAt = new Map(released.map(({ shard, revision }) => [shard, revision]));
  }

  /** Returns whether the answer acknowledges an order. */
  acknowledges(order: ShardOrder): boolean {
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
