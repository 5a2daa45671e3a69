/**
 * Counts ownership changes and unowned time of the shards of one service, from the registry changes since this leadership
 * began. Only shards that are unowned or moving are stored, so the cost of a change doesn't depend on the number of shards.
 * Times are whole milliseconds: their sums are exact, so that no total ever decreases.
 */
import type { Epoch, MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { ShardRecord } from '../registry/types.js';
import { MinuteCount } from './minute-count.js';

/**
 * Why a shard was granted. `lost`: the previous owner's lease expired, or that owner restarted. `other`: a move that an
 * earlier leader began, or a grant that its holder released without an order.
 */
export const OWNER_CHANGE_REASONS = ['first-grant', 'balance', 'drain', 'operator', 'lost', 'other'] as const;
export type OwnerChangeReason = (typeof OWNER_CHANGE_REASONS)[number];

/** Why a move was planned. */
export type MoveReason = Extract<OwnerChangeReason, 'balance' | 'drain' | 'operator'>;

/** Counts since this leadership began. */
export interface OwnershipCounts {
  /** Grants by reason. */
  readonly ownerChanges: Readonly<Record<OwnerChangeReason, number>>;
  /** Grants of the last minute, without first grants. */
  readonly ownerChangesLastMinute: number;
  /** Sum over all shards of the time without an owner, up to now. */
  readonly unownedShardMillis: number;
  /** Grants of shards that the previous holder had released. */
  readonly handovers: number;
  /** Sum of the times from the holder's answer with the release to the next grant; included in the unowned time. */
  readonly handoverGapMillis: number;
}

interface UnownedPeriod {
  readonly since: MonotonicMillis;
  readonly reason: OwnerChangeReason;
  /** The holder released the shard during this leadership. */
  readonly isHandover: boolean;
}

interface PlannedMove {
  readonly to: UpstreamId;
  readonly reason: MoveReason;
}

interface ReleasedGrant {
  readonly epoch: Epoch;
  readonly at: MonotonicMillis;
}

export class OwnershipMeasures {
  readonly #unowned = new Map<ShardId, UnownedPeriod>();
  /** Sum of `since` over the unowned periods, so that their total duration is computed without iterating over them. */
  #sinceSum = 0;
  readonly #moves = new Map<ShardId, PlannedMove>();
  readonly #released = new Map<ShardId, ReleasedGrant>();
  readonly #ownerChanges = Object.fromEntries(OWNER_CHANGE_REASONS.map((reason) => [reason, 0])) as Record<
    OwnerChangeReason,
    number
  >;
  readonly #lastMinute = new MinuteCount();
  #startedAt: MonotonicMillis = 0;
  #endedMillis = 0;
  #handovers = 0;
  #handoverGapMillis = 0;

  /** Starts with a new key map; drops the state of the previous one and keeps the counts. */
  begin(now: MonotonicMillis): void {
    this.#startedAt = Math.floor(now);
    this.#endedMillis += this.#ongoingMillis(now);
    this.#unowned.clear();
    this.#sinceSum = 0;
    this.#moves.clear();
    this.#released.clear();
  }

  /** Adds a shard that had no owner at the start. To be called for each such shard before it is granted. */
  addUnowned(record: ShardRecord): void {
    if (!this.#unowned.has(record.shard)) {
      this.#startPeriod(record.shard, {
        since: this.#startedAt,
        reason: reasonForUnowned(record),
        isHandover: false,
      });
    }
  }

  /** Records the reason of a planned move that the registry now contains. A move without a recorded reason counts as an operator's. */
  recordMoveStart(shard: ShardId, to: UpstreamId, reason: MoveReason): void {
    this.#moves.set(shard, { to, reason });
  }

  /** Records that the holder of a grant has reported its final release. */
  recordRelease(shard: ShardId, epoch: Epoch, now: MonotonicMillis): void {
    if (this.#released.get(shard)?.epoch !== epoch) {
      this.#released.set(shard, { epoch, at: Math.floor(now) });
    }
  }

  /** Applies the next record of a shard of the current key map, in the order of the log. */
  applyRecord(record: ShardRecord, now: MonotonicMillis): void {
    if (record.owner !== null) {
      this.#applyOwned(record, Math.floor(now));
    } else if (!this.#unowned.has(record.shard)) {
      this.#applyUnowned(record, Math.floor(now));
    }
  }

  counts(now: MonotonicMillis): OwnershipCounts {
    return {
      ownerChanges: { ...this.#ownerChanges },
      ownerChangesLastMinute: this.#lastMinute.count(now),
      unownedShardMillis: this.#endedMillis + this.#ongoingMillis(now),
      handovers: this.#handovers,
      handoverGapMillis: this.#handoverGapMillis,
    };
  }

  #applyOwned({ shard, movingTo }: ShardRecord, now: MonotonicMillis): void {
    this.#endPeriod(shard, now);
    if (movingTo === null) {
      this.#moves.delete(shard);
    } else if (this.#moves.get(shard)?.to !== movingTo) {
      this.#moves.set(shard, { to: movingTo, reason: 'operator' });
    }
  }

  #applyUnowned({ shard, epoch }: ShardRecord, now: MonotonicMillis): void {
    const released = this.#released.get(shard);
    const isHandover = released?.epoch === epoch;
    const moveReason = this.#moves.get(shard)?.reason ?? 'other';
    this.#released.delete(shard);
    this.#moves.delete(shard);
    this.#startPeriod(shard, {
      since: isHandover ? released.at : now,
      reason: isHandover ? moveReason : 'lost',
      isHandover,
    });
  }

  #startPeriod(shard: ShardId, period: UnownedPeriod): void {
    this.#unowned.set(shard, period);
    this.#sinceSum += period.since;
  }

  #endPeriod(shard: ShardId, now: MonotonicMillis): void {
    const period = this.#unowned.get(shard);
    if (period === undefined) {
      return;
    }
    const { since, reason, isHandover } = period;
    this.#unowned.delete(shard);
    this.#sinceSum -= since;
    this.#endedMillis += now - since;
    this.#ownerChanges[reason] += 1;
    if (reason !== 'first-grant') {
      this.#lastMinute.add(now);
    }
    if (isHandover) {
      this.#handovers += 1;
      this.#handoverGapMillis += now - since;
    }
  }

  #ongoingMillis(now: MonotonicMillis): number {
    return this.#unowned.size * Math.floor(now) - this.#sinceSum;
  }
}

/** Returns the reason for a shard that was unowned when this leadership began. The target of an earlier leader's move is kept. */
function reasonForUnowned({ epoch, movingTo }: ShardRecord): OwnerChangeReason {
  if (epoch === 0) {
    return 'first-grant';
  }
  return movingTo === null ? 'lost' : 'other';
}
