/**
 * How far each planned move is, as far as the registry doesn't say. A new leader starts from nothing: a move is taken
 * to be warming until its target has warmed, time is up, or the source's own answer shows that it was told to stop.
 */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { SessionView } from '../lease/granter-types.js';
import type { Epoch, MonotonicMillis, ShardId } from '../model/identifiers.js';
import type { ShardRecord } from '../registry/types.js';

/** A target that hasn't warmed by then gets the shard cold, unless the configuration says otherwise. */
export const WARM_TIMEOUT_MILLIS = 1000;

interface Move {
  /** Revision of the shard's record when the move was first seen. */
  readonly revision: number;
  readonly seenAt: MonotonicMillis;
  revoked: boolean;
}

export class MoveTracker {
  readonly #moves = new Map<ShardId, Move>();
  readonly #timeouts = new DeadlineQueue<ShardId>();
  /** Epochs of grants which the owner said that it takes no new work under; nothing makes it take any again. */
  readonly #stopped = new Map<ShardId, Epoch>();
  readonly #warmTimeoutMillis: number;

  /** `warmTimeoutMillis`: longest wait for a target to warm; 0: none. */
  constructor(warmTimeoutMillis: number = WARM_TIMEOUT_MILLIS) {
    this.#warmTimeoutMillis = warmTimeoutMillis;
  }

  /** Takes a shard's record as it is now. */
  update(record: ShardRecord, now: MonotonicMillis): void {
    const { shard, owner, movingTo, epoch, revision } = record;
    if (owner === null || this.#stopped.get(shard) !== epoch) {
      this.#stopped.delete(shard);
    }
    if (owner === null || movingTo === null) {
      this.#end(shard);
      return;
    }
    const known = this.#moves.get(shard);
    if (known?.revision !== revision) {
      this.#moves.set(shard, { revision, seenAt: now, revoked: known?.revoked ?? false });
      this.#timeouts.set(shard, now + this.#warmTimeoutMillis);
    }
  }

  /** The shard is gone. */
  forget(shard: ShardId): void {
    this.#stopped.delete(shard);
    this.#end(shard);
  }

  /** Whether the owner of this shard is to stop new work on it now. */
  isRevoked({ shard, epoch }: ShardRecord): boolean {
    return this.#stopped.get(shard) === epoch || (this.#moves.get(shard)?.revoked ?? false);
  }

  /** The owner's answer shows that it takes no new work on the shard. */
  noteStopped({ shard, epoch }: ShardRecord): void {
    this.#stopped.set(shard, epoch);
  }

  /** Revokes the shard once its target is ready. A target that doesn't answer is no reason to stop the source. */
  noteTarget({ shard }: ShardRecord, target: SessionView | undefined, now: MonotonicMillis): void {
    const move = this.#moves.get(shard);
    if (move === undefined || target?.phase !== 'leased' || target.failing) {
      return;
    }
    const timeIsUp = now >= move.seenAt + this.#warmTimeoutMillis;
    move.revoked ||= timeIsUp || (target.answer?.warmed.includes(shard) ?? false);
  }

  /** Shards whose targets had time enough to warm. */
  takeTimedOut(now: MonotonicMillis): ShardId[] {
    return this.#timeouts.takeDue(now);
  }

  /** When the next move stops waiting for its target to warm. */
  nextDeadline(): MonotonicMillis {
    return this.#timeouts.next();
  }

  #end(shard: ShardId): void {
    if (this.#moves.delete(shard)) {
      this.#timeouts.delete(shard);
    }
  }
}
