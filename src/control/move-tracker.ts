/**
 * How far each planned move is, as far as the registry doesn't say. A new leader starts from nothing: a move is taken
 * to be warming until its target has warmed, time is up, or the source's own answer shows that it was told to stop.
 */

import type { SessionView } from '../lease/granter-types.js';
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';
import type { ShardRecord } from '../registry/types.js';

/** A target that hasn't warmed by then gets the shard cold. */
export const WARM_TIMEOUT_MILLIS = 1000;

interface Move {
  /** Revision of the shard's record when the move was first seen. */
  readonly revision: number;
  readonly seenAt: MonotonicMillis;
  revoked: boolean;
}

export class MoveTracker {
  readonly #moves = new Map<ShardId, Move>();

  /** Whether the owner of this shard is to stop new work on it now. */
  isRevoked(record: ShardRecord, granter: LeaseGranter, now: MonotonicMillis): boolean {
    if (hasStopped(record, granter)) {
      return true;
    }
    if (record.owner === null || record.movingTo === null) {
      this.#moves.delete(record.shard);
      return false;
    }
    const move = this.#moveOf(record, now);
    move.revoked ||= isTargetReady(record, granter, now - move.seenAt >= WARM_TIMEOUT_MILLIS);
    return move.revoked;
  }

  /** When the next move stops waiting for its target to warm. */
  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    const deadlines = [...this.#moves.values()]
      .filter((move) => !move.revoked && move.seenAt + WARM_TIMEOUT_MILLIS > now)
      .map((move) => move.seenAt + WARM_TIMEOUT_MILLIS);
    return Math.min(Number.POSITIVE_INFINITY, ...deadlines);
  }

  /** Forgets moves of shards that are gone. */
  keepOnly(shards: ReadonlySet<ShardId>): void {
    for (const shard of [...this.#moves.keys()]) {
      if (!shards.has(shard)) {
        this.#moves.delete(shard);
      }
    }
  }

  #moveOf(record: ShardRecord, now: MonotonicMillis): Move {
    const known = this.#moves.get(record.shard);
    if (known?.revision === record.revision) {
      return known;
    }
    const move: Move = { revision: record.revision, seenAt: now, revoked: known?.revoked ?? false };
    this.#moves.set(record.shard, move);
    return move;
  }
}

/** Whether the owner's last answer shows that it gave up the grant which the registry still holds. */
export function hasReleased(record: ShardRecord, view: SessionView | undefined): boolean {
  const isOwner = view !== undefined && view.incarnation === record.incarnation;
  const released = view?.answer?.released.find((item) => item.shard === record.shard);
  return isOwner && released !== undefined && released.revision > record.epoch;
}

/** Whether the owner said that it takes no new work on the shard: nothing makes it take any again under this grant. */
function hasStopped(record: ShardRecord, granter: LeaseGranter): boolean {
  if (record.owner === null) {
    return false;
  }
  const view = granter.view(record.owner);
  const isOwner = view !== undefined && view.incarnation === record.incarnation;
  const drains = view?.answer?.draining.some((item) => item.shard === record.shard) ?? false;
  return (isOwner && drains) || hasReleased(record, view);
}

/** A target that doesn't answer is no reason to stop the source. */
function isTargetReady(record: ShardRecord, granter: LeaseGranter, timeIsUp: boolean): boolean {
  const view = granter.view(record.movingTo ?? '');
  const answers = view !== undefined && view.phase === 'leased' && !view.failing;
  return answers && (timeIsUp || (view.answer?.warmed.includes(record.shard) ?? false));
}
