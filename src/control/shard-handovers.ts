/**
 * The orders about the shards of one service, and the handovers under way: when a target is warm enough for the source
 * to stop, and which grants their holders have given up.
 */
import type { LeaseGranter } from '../lease/lease-granter.js';
import {
  type Epoch,
  type MonotonicMillis,
  parseShardId,
  type ShardId,
  type UpstreamId,
} from '../model/identifiers.js';
import type { Registry, ServiceRecord, ShardRecord } from '../registry/types.js';
import { MoveTracker } from './move-tracker.js';
import type { ShardRelease } from './placement-proposals.js';
import { currentOrders, OrderBook, retiringOrders } from './shard-orders.js';

export interface ShardHandoversParts {
  readonly granter: LeaseGranter;
  readonly registry: () => Registry;
  /** Longest wait of a move for its target to warm; the default if left out. */
  readonly warmTimeoutMillis?: number | undefined;
  /** A holder gave a grant up for good; may be told more than once. */
  readonly givenUp: (shard: ShardId, epoch: Epoch, now: MonotonicMillis) => void;
}

export class ShardHandovers {
  readonly #parts: ShardHandoversParts;
  readonly #orders: OrderBook;
  #moves: MoveTracker;
  /** Grants that their holders gave up while the registry still has them, by their epochs. */
  readonly #released = new Map<ShardId, Epoch>();
  #service: ServiceRecord;

  constructor(parts: ShardHandoversParts, service: ServiceRecord) {
    this.#parts = parts;
    this.#service = service;
    this.#orders = new OrderBook(parts.granter);
    this.#moves = new MoveTracker(parts.warmTimeoutMillis);
  }

  setService(service: ServiceRecord): void {
    if (service.generation !== this.#service.generation) {
      this.#moves = new MoveTracker(this.#parts.warmTimeoutMillis);
    }
    this.#service = service;
  }

  /** Takes the record of a shard of the current key map as it is now. */
  update(record: ShardRecord, now: MonotonicMillis): void {
    this.#moves.update(record, now);
    this.#dropOldRelease(record.shard, record);
    this.#giveOrders(record, now);
  }

  /** Takes the record of a shard of an older key map: its owner, if there is one, gives it up. */
  retire(shard: ShardId, record: ShardRecord | undefined, now: MonotonicMillis): void {
    this.#moves.forget(shard);
    this.#dropOldRelease(shard, record);
    this.#orders.set(shard, retiringOrders(record, this.#service), now);
  }

  /** An upstream answered or failed to. */
  sessionChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#noteGivenUp(upstream, now);
    for (const shard of this.#parts.registry().shardsMovingTo(upstream)) {
      this.#noteTarget(shard, now);
    }
  }

  /** Looks at moves whose targets had time enough to warm. */
  run(now: MonotonicMillis): void {
    for (const shard of this.#moves.takeTimedOut(now)) {
      this.#noteTarget(shard, now);
    }
  }

  /** Grants that their holders gave up for good and that the registry still has. */
  releases(): ShardRelease[] {
    return [...this.#released].map(([shard, epoch]) => ({ shard, epoch }));
  }

  nextDeadline(): MonotonicMillis {
    return this.#moves.nextDeadline();
  }

  /** A release counts for the very grant that the holder gave up, and never for a later one. */
  #dropOldRelease(shard: ShardId, record: ShardRecord | undefined): void {
    if (record === undefined || record.owner === null || record.epoch !== this.#released.get(shard)) {
      this.#released.delete(shard);
    }
  }

  /** Looks for shards that the upstream's last answer says it doesn't serve, though the registry says it owns them. */
  #noteGivenUp(upstream: UpstreamId, now: MonotonicMillis): void {
    const answer = this.#parts.granter.view(upstream)?.answer;
    for (const { shard } of answer?.draining ?? []) {
      this.#noteStopped(shard, upstream, now);
    }
    for (const { shard, revision } of answer?.released ?? []) {
      const epoch = this.#parts.registry().shards().get(shard)?.epoch ?? 0;
      if (revision > epoch && this.#noteStopped(shard, upstream, now)) {
        this.#released.set(shard, epoch);
        this.#parts.givenUp(shard, epoch, now);
      }
    }
  }

  /** Returns whether the registry has this shard as owned by this very run of the upstream. */
  #noteStopped(shard: ShardId, upstream: UpstreamId, now: MonotonicMillis): boolean {
    const record = this.#parts.registry().shards().get(shard);
    const incarnation = this.#parts.granter.view(upstream)?.incarnation;
    if (record === undefined || record.owner !== upstream || record.incarnation !== incarnation) {
      return false;
    }
    this.#moves.noteStopped(record);
    this.#giveOrders(record, now);
    return true;
  }

  #noteTarget(shard: ShardId, now: MonotonicMillis): void {
    const record = this.#parts.registry().shards().get(shard);
    if (record !== undefined) {
      this.#moves.noteTarget(record, this.#parts.granter.view(record.movingTo ?? ''), now);
      this.#giveOrders(record, now);
    }
  }

  #giveOrders(record: ShardRecord, now: MonotonicMillis): void {
    if (parseShardId(record.shard)?.generation === this.#service.generation) {
      const orders = currentOrders(record, this.#service, this.#moves.isRevoked(record));
      this.#orders.set(record.shard, orders, now);
    }
  }
}
