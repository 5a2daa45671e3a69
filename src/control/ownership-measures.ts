/**
 * Churn and time without owner of the shards of one service, counted from the changes of the registry since this
 * leadership began. It holds only shards that have no owner or move, so each change costs the same however many there are.
 * Times are whole milliseconds: sums of them are exact, so that no total ever falls.
 */
import type { Epoch, MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { ShardRecord } from '../registry/types.js';
import { MinuteCount } from './minute-count.js';

/**
 * Why a shard was granted. `lost`: the lease of the owner before was over, or it was restarted. `other`: a move that an
 * earlier leader began, or a grant that its holder gave up unasked.
 */
export const OWNER_CHANGE_REASONS = ['first-grant', 'balance', 'drain', 'operator', 'lost', 'other'] as const;
export type OwnerChangeReason = (typeof OWNER_CHANGE_REASONS)[number];

/** Why a move was planned. */
export type MoveReason = Extract<OwnerChangeReason, 'balance' | 'drain' | 'operator'>;

/** Counts since this leadership began. */
export interface OwnershipCounts {
  /** Grants by reason. */
  readonly ownerChanges: Readonly<Record<OwnerChangeReason, number>>;
  /** Those of the last minute, first grants left out. */
  readonly ownerChangesLastMinute: number;
  /** Sum over shards of the time without an owner, up to now. */
  readonly unownedShardMillis: number;
  /** Shards whose holder gave them up and that were granted again. */
  readonly handovers: number;
  /** Sum of the times from the holder's answer that it gave the shard up to the next grant; part of the time unowned. */
  readonly handoverGapMillis: number;
}

interface Vacancy {
  readonly since: MonotonicMillis;
  readonly reason: OwnerChangeReason;
  /** The holder gave the shard up while this leader looked on. */
  readonly isHandover: boolean;
}

interface PlannedMove {
  readonly to: UpstreamId;
  readonly reason: MoveReason;
}

interface GivenUpGrant {
  readonly epoch: Epoch;
  readonly at: MonotonicMillis;
}

export class OwnershipMeasures {
  readonly #vacancies = new Map<ShardId, Vacancy>();
  /** Sum of `since` over the vacancies: the time that they have lasted needs no look at each. */
  #sinceSum = 0;
  readonly #moves = new Map<ShardId, PlannedMove>();
  readonly #givenUp = new Map<ShardId, GivenUpGrant>();
  readonly #ownerChanges = Object.fromEntries(OWNER_CHANGE_REASONS.map((reason) => [reason, 0])) as Record<
    OwnerChangeReason,
    number
  >;
  readonly #lastMinute = new MinuteCount();
  #begunAt: MonotonicMillis = 0;
  #closedMillis = 0;
  #handovers = 0;
  #handoverGapMillis = 0;

  /** Begins with a key map; what was known of the one before is dropped, and what was counted is kept. */
  begin(now: MonotonicMillis): void {
    this.#begunAt = Math.floor(now);
    this.#closedMillis += this.#openMillis(now);
    this.#vacancies.clear();
    this.#sinceSum = 0;
    this.#moves.clear();
    this.#givenUp.clear();
  }

  /** Takes a shard that had no owner when it began; each is to be taken before it is granted. */
  takeVacant(record: ShardRecord): void {
    if (!this.#vacancies.has(record.shard)) {
      this.#open(record.shard, { since: this.#begunAt, reason: reasonOfVacant(record), isHandover: false });
    }
  }

  /** Notes why a move that the registry now has was planned. A move that nothing was noted of is an operator's. */
  moveStarted(shard: ShardId, to: UpstreamId, reason: MoveReason): void {
    this.#moves.set(shard, { to, reason });
  }

  /** The holder of a grant answered that it gave it up for good. */
  givenUp(shard: ShardId, epoch: Epoch, now: MonotonicMillis): void {
    if (this.#givenUp.get(shard)?.epoch !== epoch) {
      this.#givenUp.set(shard, { epoch, at: Math.floor(now) });
    }
  }

  /** Takes the next record of a shard of the current key map, in the order of the log. */
  recordChanged(record: ShardRecord, now: MonotonicMillis): void {
    if (record.owner !== null) {
      this.#owned(record, Math.floor(now));
    } else if (!this.#vacancies.has(record.shard)) {
      this.#ended(record, Math.floor(now));
    }
  }

  counts(now: MonotonicMillis): OwnershipCounts {
    return {
      ownerChanges: { ...this.#ownerChanges },
      ownerChangesLastMinute: this.#lastMinute.count(now),
      unownedShardMillis: this.#closedMillis + this.#openMillis(now),
      handovers: this.#handovers,
      handoverGapMillis: this.#handoverGapMillis,
    };
  }

  #owned({ shard, movingTo }: ShardRecord, now: MonotonicMillis): void {
    this.#close(shard, now);
    if (movingTo === null) {
      this.#moves.delete(shard);
    } else if (this.#moves.get(shard)?.to !== movingTo) {
      this.#moves.set(shard, { to: movingTo, reason: 'operator' });
    }
  }

  #ended({ shard, epoch }: ShardRecord, now: MonotonicMillis): void {
    const givenUp = this.#givenUp.get(shard);
    const isHandover = givenUp?.epoch === epoch;
    const moved = this.#moves.get(shard)?.reason ?? 'other';
    this.#givenUp.delete(shard);
    this.#moves.delete(shard);
    this.#open(shard, {
      since: isHandover ? givenUp.at : now,
      reason: isHandover ? moved : 'lost',
      isHandover,
    });
  }

  #open(shard: ShardId, vacancy: Vacancy): void {
    this.#vacancies.set(shard, vacancy);
    this.#sinceSum += vacancy.since;
  }

  #close(shard: ShardId, now: MonotonicMillis): void {
    const vacancy = this.#vacancies.get(shard);
    if (vacancy === undefined) {
      return;
    }
    const { since, reason, isHandover } = vacancy;
    this.#vacancies.delete(shard);
    this.#sinceSum -= since;
    this.#closedMillis += now - since;
    this.#ownerChanges[reason] += 1;
    if (reason !== 'first-grant') {
      this.#lastMinute.add(now);
    }
    if (isHandover) {
      this.#handovers += 1;
      this.#handoverGapMillis += now - since;
    }
  }

  #openMillis(now: MonotonicMillis): number {
    return this.#vacancies.size * Math.floor(now) - this.#sinceSum;
  }
}

/** A shard that had no owner when this leadership began; the target of an earlier leader's move is kept. */
function reasonOfVacant({ epoch, movingTo }: ShardRecord): OwnerChangeReason {
  if (epoch === 0) {
    return 'first-grant';
  }
  return movingTo === null ? 'lost' : 'other';
}
