/**
 * The claims of one service.
 *
 * Safety depends on one rule: `horizon` never decreases, a claim whose `issuedAt` is at or below it is rejected as
 * expired, and an entry is removed only when its `issuedAt` is at or below it. The key of a removed entry is therefore
 * rejected from then on, however the clock, the retention or the number of entries change.
 */
import type { WallMillis } from '../model/identifiers.js';
import { ExpiryQueue } from './expiry-queue.js';
import { StoredBodies } from './stored-bodies.js';
import type { ClaimantId, LedgerRecord } from './types.js';

interface Expiring {
  readonly issuedAt: WallMillis;
}

/** A record with the time that determines how long it is kept. */
export interface KeptRecord extends Expiring {
  readonly record: LedgerRecord;
  /** Latest `issuedAt` of the claims of the key. */
  readonly issuedAt: WallMillis;
}

/** Mark of a claim that was released, or settled before it arrived: a late claim by its claimant must not be granted. */
export interface Tombstone extends Expiring {
  readonly key: string;
  readonly claimant: ClaimantId;
  readonly issuedAt: WallMillis;
}

/**
 * Serializable form for snapshots. Lists are in insertion order, which a restored ledger preserves, so that equal
 * states are serialized to equal bytes.
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

/** Limits of one service. */
export interface ServiceLedgerLimits {
  /** Maximum records and tombstones. */
  readonly entries: number;
  /** Maximum characters of all stored bodies. */
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

  /** Number of records and tombstones. */
  get size(): number {
    return this.records.size + this.tombstones.size;
  }

  /** Changes the retention at `clock`. With a longer one, keys that were rejected before are still rejected. */
  setRetention(retentionMillis: number, clock: WallMillis): void {
    this.expire(clock);
    this.retentionMillis = retentionMillis;
    this.expire(clock);
  }

  /** Advances the horizon according to `clock` and removes the entries at or below it. */
  expire(clock: WallMillis): void {
    this.horizon = Math.max(this.horizon, clock - this.retentionMillis);
    this.removeExpired();
  }

  isExpired(issuedAt: WallMillis): boolean {
    return issuedAt <= this.horizon;
  }

  find(key: string): KeptRecord | undefined {
    return this.records.get(key);
  }

  put(kept: KeptRecord): void {
    const { key } = kept.record;
    const previous = this.records.get(key);
    this.records.set(key, kept);
    this.bodies.put(key, kept.record.answer);
    this.evictOldBodies();
    // A replaced record already has a queue entry, which is pushed again with the later time when it is popped.
    if (previous === undefined) {
      this.recordQueue.push({ time: kept.issuedAt, key });
    }
    this.enforceLimit();
  }

  hasTombstone(key: string, claimant: ClaimantId): boolean {
    return this.tombstones.has(tombstoneKey(key, claimant));
  }

  addTombstone(tombstone: Tombstone): void {
    const key = tombstoneKey(tombstone.key, tombstone.claimant);
    if (!this.tombstones.has(key)) {
      this.tombstones.set(key, tombstone);
      this.tombstoneQueue.push({ time: tombstone.issuedAt, key });
    }
    this.enforceLimit();
  }

  /** Frees a key whose claimed request is proved not to have run. */
  release(key: string): void {
    this.records.delete(key);
    this.bodies.remove(key);
  }

  /** Copies the lists but not the records, which is cheap enough to be done between two log entries. */
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
    const bySettlementOrder = (one: KeptRecord, other: KeptRecord): number =>
      one.record.revision - other.record.revision;
    for (const { record } of [...state.records].sort(bySettlementOrder)) {
      ledger.bodies.put(record.key, record.answer);
    }
    for (const kept of state.records) {
      ledger.put(kept);
    }
    for (const tombstone of state.tombstones) {
      ledger.addTombstone(tombstone);
    }
    return ledger;
  }

  /** Removes the bodies above the limit; the records that the requests ran stay. */
  private evictOldBodies(): void {
    for (let key = this.bodies.nextToEvict(); key !== undefined; key = this.bodies.nextToEvict()) {
      this.bodies.remove(key);
      const kept = this.records.get(key);
      if (kept?.record.answer != null) {
        const answer = { ...kept.record.answer, body: '', truncated: true };
        this.records.set(key, { ...kept, record: { ...kept.record, answer } });
      }
    }
  }

  /**
   * Above the limit the horizon advances to the oldest entry: old keys are rejected early, but none runs again. Only
   * live entries count, since stale queue entries aren't part of a snapshot and all replicas must agree.
   */
  private enforceLimit(): void {
    while (this.size > this.limits.entries) {
      const oldestRecord = this.oldestLiveTime(this.recordQueue, this.records);
      const oldestTombstone = this.oldestLiveTime(this.tombstoneQueue, this.tombstones);
      this.horizon = Math.max(this.horizon, Math.min(oldestRecord, oldestTombstone));
      this.removeExpired();
    }
  }

  /** Returns the time of the earliest valid entry; stale ones before it are removed from the queue. */
  private oldestLiveTime(queue: ExpiryQueue, entries: Map<string, Expiring>): number {
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

  private removeExpired(): void {
    this.removeExpiredFrom(this.recordQueue, this.records, (key) => this.bodies.remove(key));
    this.removeExpiredFrom(this.tombstoneQueue, this.tombstones, () => {});
  }

  private removeExpiredFrom(
    queue: ExpiryQueue,
    entries: Map<string, Expiring>,
    onRemoved: (key: string) => void,
  ): void {
    for (let next = queue.peek(); next !== undefined && next.time <= this.horizon; next = queue.peek()) {
      queue.pop();
      const entry = entries.get(next.key);
      if (entry === undefined) {
        continue;
      }
      if (this.isExpired(entry.issuedAt)) {
        entries.delete(next.key);
        onRemoved(next.key);
      } else {
        queue.push({ time: entry.issuedAt, key: next.key });
      }
    }
  }
}
