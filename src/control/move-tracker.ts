/**
 * Tracks the progress of planned moves that isn't stored in the registry. A new leader starts without this state: a move counts
 * as warming until its target has warmed, the timeout has passed, or the source's answer shows that it was ordered to stop.
 */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { SessionView } from '../lease/granter-types.js';
import type { Epoch, MonotonicMillis, ShardId } from '../model/identifiers.js';
import type { ShardRecord } from '../registry/types.js';

/** Default time after which a target that hasn't warmed is granted the shard cold. */
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
  /** Epochs of grants under which the owner has reported that it accepts no new work. This state isn't reversible. */
  readonly #stopped = new Map<ShardId, Epoch>();
  readonly #warmTimeoutMillis: number;

  /** `warmTimeoutMillis`: maximum wait for a target to warm; 0 means no wait. */
  constructor(warmTimeoutMillis: number = WARM_TIMEOUT_MILLIS) {
    this.#warmTimeoutMillis = warmTimeoutMillis;
  }

  /** Applies the current record of a shard. */
  update(record: ShardRecord, now: MonotonicMillis): void {
    const { shard, owner, movingTo, epoch, revision } = record;
    if (owner === null || this.#stopped.get(shard) !== epoch) {
      this.#stopped.delete(shard);
    }
    if (owner === null || movingTo === null) {
      this.#removeMove(shard);
      return;
    }
    const current = this.#moves.get(shard);
    if (current?.revision !== revision) {
      this.#moves.set(shard, { revision, seenAt: now, revoked: current?.revoked ?? false });
      this.#timeouts.set(shard, now + this.#warmTimeoutMillis);
    }
  }

  /** Removes the state of a shard that no longer exists. */
  forget(shard: ShardId): void {
    this.#stopped.delete(shard);
    this.#removeMove(shard);
  }

  /** Returns whether the owner of this shard has to stop new work on it now. */
  isRevoked({ shard, epoch }: ShardRecord): boolean {
    return this.#stopped.get(shard) === epoch || (this.#moves.get(shard)?.revoked ?? false);
  }

  /** Records that the owner's answer lists the shard as accepting no new work. */
  recordStopped({ shard, epoch }: ShardRecord): void {
    this.#stopped.set(shard, epoch);
  }

  /** Revokes the shard once its target is ready. The source isn't stopped for a target that doesn't answer. */
  updateTarget({ shard }: ShardRecord, target: SessionView | undefined, now: MonotonicMillis): void {
    const move = this.#moves.get(shard);
    if (move === undefined || target?.phase !== 'leased' || target.failing) {
      return;
    }
    const isTimedOut = now >= move.seenAt + this.#warmTimeoutMillis;
    move.revoked ||= isTimedOut || (target.answer?.warmed.includes(shard) ?? false);
  }

  /** Removes and returns the shards whose warm timeout has passed. */
  takeTimedOut(now: MonotonicMillis): ShardId[] {
    return this.#timeouts.takeDue(now);
  }

  /** Returns when the next warm timeout passes. */
  nextDeadline(): MonotonicMillis {
    return this.#timeouts.next();
  }

  #removeMove(shard: ShardId): void {
    if (this.#moves.delete(shard)) {
      this.#timeouts.delete(shard);
    }
  }
}
