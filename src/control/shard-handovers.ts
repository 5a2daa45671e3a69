/**
 * Maintains the orders about the shards of one service, and the handovers under way: when a target is warm enough for the source
 * to stop, and which grants their holders have released.
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
  /** Maximum wait of a move for its target to warm; the default if omitted. */
  readonly warmTimeoutMillis?: number | undefined;
  /** Called when a holder has released a grant permanently; may be called more than once for the same grant. */
  readonly onReleased: (shard: ShardId, epoch: Epoch, now: MonotonicMillis) => void;
}

export class ShardHandovers {
  readonly #parts: ShardHandoversParts;
  readonly #orders: OrderBook;
  #moves: MoveTracker;
  /** Epochs of grants that their holders have released and that are still in the registry. */
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

  /** Applies the current record of a shard of the current key map. */
  update(record: ShardRecord, now: MonotonicMillis): void {
    this.#moves.update(record, now);
    this.#dropStaleRelease(record.shard, record);
    this.#setOrders(record, now);
  }

  /** Applies the record of a shard of an older key map: its owner, if there is one, is ordered to release it. */
  retire(shard: ShardId, record: ShardRecord | undefined, now: MonotonicMillis): void {
    this.#moves.forget(shard);
    this.#dropStaleRelease(shard, record);
    this.#orders.set(shard, retiringOrders(record, this.#service), now);
  }

  /** Called after an answer of an upstream or its failure to answer. */
  sessionChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#recordReleases(upstream, now);
    for (const shard of this.#parts.registry().shardsMovingTo(upstream)) {
      this.#updateTarget(shard, now);
    }
  }

  /** Updates moves whose warm timeout has passed. */
  run(now: MonotonicMillis): void {
    for (const shard of this.#moves.takeTimedOut(now)) {
      this.#updateTarget(shard, now);
    }
  }

  /** Returns the grants that their holders have released permanently and that are still in the registry. */
  releases(): ShardRelease[] {
    return [...this.#released].map(([shard, epoch]) => ({ shard, epoch }));
  }

  nextDeadline(): MonotonicMillis {
    return this.#moves.nextDeadline();
  }

  /** Drops a release that is done or outdated: it applies only to the grant that the holder released, never to a later one. */
  #dropStaleRelease(shard: ShardId, record: ShardRecord | undefined): void {
    if (record === undefined || record.owner === null || record.epoch !== this.#released.get(shard)) {
      this.#released.delete(shard);
    }
  }

  /** Records shards that the registry assigns to the upstream but that its last answer lists as draining or released. */
  #recordReleases(upstream: UpstreamId, now: MonotonicMillis): void {
    const answer = this.#parts.granter.view(upstream)?.answer;
    for (const { shard } of answer?.draining ?? []) {
      this.#recordStopped(shard, upstream, now);
    }
    for (const { shard, revision } of answer?.released ?? []) {
      const epoch = this.#parts.registry().shards().get(shard)?.epoch ?? 0;
      if (revision > epoch && this.#recordStopped(shard, upstream, now)) {
        this.#released.set(shard, epoch);
        this.#parts.onReleased(shard, epoch, now);
      }
    }
  }

  /** Returns whether the registry assigns this shard to the current run of the upstream. */
  #recordStopped(shard: ShardId, upstream: UpstreamId, now: MonotonicMillis): boolean {
    const record = this.#parts.registry().shards().get(shard);
    const incarnation = this.#parts.granter.view(upstream)?.incarnation;
    if (record === undefined || record.owner !== upstream || record.incarnation !== incarnation) {
      return false;
    }
    this.#moves.recordStopped(record);
    this.#setOrders(record, now);
    return true;
  }

  #updateTarget(shard: ShardId, now: MonotonicMillis): void {
    const record = this.#parts.registry().shards().get(shard);
    if (record !== undefined) {
      this.#moves.updateTarget(record, this.#parts.granter.view(record.movingTo ?? ''), now);
      this.#setOrders(record, now);
    }
  }

  #setOrders(record: ShardRecord, now: MonotonicMillis): void {
    if (parseShardId(record.shard)?.generation === this.#service.generation) {
      const orders = currentOrders(record, this.#service, this.#moves.isRevoked(record));
      this.#orders.set(record.shard, orders, now);
    }
  }
}
