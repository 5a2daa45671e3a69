/**
 * The claims of one service.
 *
 * Safety rests on one rule. `horizon` only grows; a claim whose `issuedAt` is at or below it is refused as expired,
 * and an entry is dropped only when its own `issuedAt` is at or below it. So whatever was forgotten is refused
 * from then on, however the clock, the retention or the number of entries change.
 */
import type { WallMillis } from '../model/identifiers.js';
import { ExpiryQueue } from './expiry-queue.js';
import { StoredBodies } from './stored-bodies.js';
import type { ClaimantId, LedgerRecord } from './types.js';

interface Expiring {
  readonly issuedAt: WallMillis;
}

/** A record with what decides how long it is kept. */
export interface KeptRecord extends Expiring {
  readonly record: LedgerRecord;
  /** Latest `issuedAt` under which the key was shown. */
  readonly issuedAt: WallMillis;
}

/** A claim that was given up: its claimant must not be granted the key by a late claim. */
export interface Tombstone extends Expiring {
  readonly key: string;
  readonly claimant: ClaimantId;
  readonly issuedAt: WallMillis;
}

/**
 * Plain form for snapshots. Lists keep the order in which keys came, which a restored ledger keeps too, so that equal
 * states give equal bytes.
 */
export interface ServiceLedgerState {
  readonly horizon: WallMillis;
  readonly retentionMillis: number;
  readonly records: readonly KeptRecord[];
  readonly tombstones: readonly Tombstone[];
}

const SEPARATOR = '\u0000';

function tombstoneKey(key: string, claimant: ClaimantId): string {
  return `${key}${SEPARATOR}${claimant}`;
}

/** Bounds of one service. */
export interface ServiceLedgerLimits {
  /** Records and tombstones. */
  readonly entries: number;
  /** Characters of all answers' bodies. */
  readonly bodyCharacters: number;
}

export class ServiceLedger {
  private horizon = 0;
  private retentionMillis: number;
  private readonly records = new Map<string, KeptRecord>();
  private readonly recordQueue = new ExpiryQueue();
  private readonly bodies: StoredBodies;
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly tombstoneQueue = new ExpiryQueue();

  constructor(
    retentionMillis: number,
    private readonly limits: ServiceLedgerLimits,
  ) {
    this.retentionMillis = retentionMillis;
    this.bodies = new StoredBodies(limits.bodyCharacters);
  }

  /** Records and tombstones held. */
  get size(): number {
    return this.records.size + this.tombstones.size;
  }

  /** Changes the retention from `clock` on. A longer one doesn't bring back keys that were refused before. */
  setRetention(retentionMillis: number, clock: WallMillis): void {
    this.expire(clock);
    this.retentionMillis = retentionMillis;
    this.expire(clock);
  }

  /** Moves the horizon to where `clock` puts it and drops what lies below. */
  expire(clock: WallMillis): void {
    this.horizon = Math.max(this.horizon, clock - this.retentionMillis);
    this.dropBelowHorizon();
  }

  isExpired(issuedAt: WallMillis): boolean {
    return issuedAt <= this.horizon;
  }

  find(key: string): KeptRecord | undefined {
    return this.records.get(key);
  }

  put(kept: KeptRecord): void {
    const { key } = kept.record;
    const before = this.records.get(key);
    this.records.set(key, kept);
    this.bodies.put(key, kept.record.answer);
    this.dropOldBodies();
    // A record that stays has an entry in the queue already; the pop puts it back at its later time.
    if (before === undefined) {
      this.recordQueue.push({ time: kept.issuedAt, key });
    }
    this.enforceLimit();
  }

  hasTombstone(key: string, claimant: ClaimantId): boolean {
    return this.tombstones.has(tombstoneKey(key, claimant));
  }

  bury(tombstone: Tombstone): void {
    const key = tombstoneKey(tombstone.key, tombstone.claimant);
    if (!this.tombstones.has(key)) {
      this.tombstones.set(key, tombstone);
      this.tombstoneQueue.push({ time: tombstone.issuedAt, key });
    }
    this.enforceLimit();
  }

  /** Frees a key: its claim is proved not to have run. */
  release(key: string): void {
    this.records.delete(key);
    this.bodies.forget(key);
  }

  /** Copies lists, no records; cheap enough to be done between two entries of the log. */
  toState(): ServiceLedgerState {
    return {
      horizon: this.horizon,
      retentionMillis: this.retentionMillis,
      records: [...this.records.values()],
      tombstones: [...this.tombstones.values()],
    };
  }

  static fromState(state: ServiceLedgerState, limits: ServiceLedgerLimits): ServiceLedger {
    const ledger = new ServiceLedger(state.retentionMillis, limits);
    ledger.horizon = state.horizon;
    const settledFirst = (one: KeptRecord, other: KeptRecord): number =>
      one.record.revision - other.record.revision;
    for (const { record } of [...state.records].sort(settledFirst)) {
      ledger.bodies.put(record.key, record.answer);
    }
    for (const kept of state.records) {
      ledger.put(kept);
    }
    for (const tombstone of state.tombstones) {
      ledger.bury(tombstone);
    }
    return ledger;
  }

  /** That the request ran is kept; only what it answered goes. */
  private dropOldBodies(): void {
    for (let key = this.bodies.overdue(); key !== undefined; key = this.bodies.overdue()) {
      this.bodies.forget(key);
      const kept = this.records.get(key);
      if (kept?.record.answer != null) {
        const answer = { ...kept.record.answer, body: '', truncated: true };
        this.records.set(key, { ...kept, record: { ...kept.record, answer } });
      }
    }
  }

  /**
   * Under pressure the horizon rises to the oldest entry: old keys are refused early, none runs again. Only live
   * entries count, since the queues' stale ones aren't part of a snapshot and replicas must agree.
   */
  private enforceLimit(): void {
    while (this.size > this.limits.entries) {
      const oldestRecord = this.oldestLive(this.recordQueue, this.records);
      const oldestTombstone = this.oldestLive(this.tombstoneQueue, this.tombstones);
      this.horizon = Math.max(this.horizon, Math.min(oldestRecord, oldestTombstone));
      this.dropBelowHorizon();
    }
  }

  /** Time of the earliest entry that still holds; stale ones before it are taken out. */
  private oldestLive(queue: ExpiryQueue, entries: Map<string, Expiring>): number {
    for (let next = queue.peek(); next !== undefined; next = queue.peek()) {
      const entry = entries.get(next.key);
      if (entry?.issuedAt === next.time) {
        return next.time;
      }
      queue.pop();
      if (entry !== undefined) {
        queue.push({ time: entry.issuedAt, key: next.key });
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  private dropBelowHorizon(): void {
    this.dropExpired(this.recordQueue, this.records, (key) => this.bodies.forget(key));
    this.dropExpired(this.tombstoneQueue, this.tombstones, () => {});
  }

  private dropExpired(
    queue: ExpiryQueue,
    entries: Map<string, Expiring>,
    forget: (key: string) => void,
  ): void {
    for (let next = queue.peek(); next !== undefined && next.time <= this.horizon; next = queue.peek()) {
      queue.pop();
      const entry = entries.get(next.key);
      if (entry === undefined) {
        continue;
      }
      if (this.isExpired(entry.issuedAt)) {
        entries.delete(next.key);
        forget(next.key);
      } else {
        queue.push({ time: entry.issuedAt, key: next.key });
      }
    }
  }
}
