/**
 * The at-most-once ledger: records which claimant may run a non-repeatable request, and the outcome.
 *
 * Pure and deterministic; the time is passed as `clock`, which must never decrease (the registry passes the largest
 * wall clock of all applied entries). A key belongs to its `issuedAt`: a client that resends a request sends both
 * unchanged.
 */
import type { Revision, ServiceName, WallMillis } from '../model/identifiers.js';
import {
  ENTRIES_PER_SERVICE,
  IDENTIFIER_LIMIT,
  ISSUED_AHEAD_MILLIS,
  STORED_BODIES_PER_SERVICE,
  STORED_BODY_LIMIT,
} from './limits.js';
import {
  type KeptRecord,
  ServiceLedger,
  type ServiceLedgerLimits,
  type ServiceLedgerState,
} from './service-ledger.js';
import type {
  ClaimCommand,
  ClaimResult,
  LedgerRecord,
  SettleCommand,
  SettleResult,
  StoredAnswer,
} from './types.js';

/** Serializable form of a ledger, for snapshots. */
export interface LedgerState {
  readonly services: readonly {
    readonly name: ServiceName;
    readonly active: boolean;
    readonly ledger: ServiceLedgerState;
  }[];
}

interface ServiceEntry {
  readonly ledger: ServiceLedger;
  /** False after the service was deleted; its records are kept until they expire. */
  active: boolean;
}

/** Memory limits; the defaults are in `limits.ts`. */
export interface LedgerOptions {
  /** Maximum records and tombstones of one service. */
  readonly entriesPerService?: number;
  /** Maximum characters of all stored answer bodies of one service. */
  readonly storedBodiesPerService?: number;
}

function isIdentifier(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= IDENTIFIER_LIMIT;
}

/** Removes a body above the limit. */
function limitBody(answer: StoredAnswer | null): StoredAnswer | null {
  if (answer === null || answer.body.length <= STORED_BODY_LIMIT) {
    return answer;
  }
  return { ...answer, body: '', truncated: true };
}

export class Ledger {
  private readonly services = new Map<ServiceName, ServiceEntry>();
  private readonly limits: ServiceLedgerLimits;

  constructor(options: LedgerOptions = {}) {
    this.limits = {
      entries: options.entriesPerService ?? ENTRIES_PER_SERVICE,
      bodyCharacters: options.storedBodiesPerService ?? STORED_BODIES_PER_SERVICE,
    };
  }

  /** Creates or reopens the ledger of a service and sets its retention. */
  setService(service: ServiceName, retentionMillis: number, clock: WallMillis): void {
    const entry = this.services.get(service);
    if (entry === undefined) {
      const ledger = new ServiceLedger(retentionMillis, this.limits);
      this.services.set(service, { ledger, active: true });
      return;
    }
    entry.active = true;
    entry.ledger.setRetention(retentionMillis, clock);
  }

  /** Closes the ledger of a deleted service. Its entries stay valid if the service is created again. */
  closeService(service: ServiceName): void {
    const entry = this.services.get(service);
    if (entry !== undefined) {
      entry.active = false;
    }
  }

  /** Removes the expired entries of all services. */
  expire(clock: WallMillis): void {
    for (const { ledger } of this.services.values()) {
      ledger.expire(clock);
    }
  }

  /** Number of records and tombstones of all services. */
  get size(): number {
    let size = 0;
    for (const { ledger } of this.services.values()) {
      size += ledger.size;
    }
    return size;
  }

  find(service: ServiceName, key: string): LedgerRecord | undefined {
    return this.services.get(service)?.ledger.find(key)?.record;
  }

  /** Claims a key. Only `granted` allows the claimant to run the request. A resend by the same claimant is granted again. */
  claim(command: ClaimCommand, revision: Revision, clock: WallMillis): ClaimResult {
    const entry = this.services.get(command.service);
    if (!entry?.active) {
      return { type: 'unknown-service' };
    }
    const { ledger } = entry;
    ledger.expire(clock);
    if (ledger.hasTombstone(command.key, command.claimant)) {
      return { type: 'closed' };
    }
    const kept = ledger.find(command.key);
    if (kept !== undefined) {
      return this.claimExisting(ledger, kept, command, clock);
    }
    if (!this.isAcceptable(ledger, command, clock)) {
      return { type: 'expired' };
    }
    ledger.put({ record: createRecord(command, revision, clock), issuedAt: command.issuedAt });
    return { type: 'granted' };
  }

  /**
   * Settles a claim. `not-run` frees the key and closes it for this claimant, even if the claim itself arrives later.
   * `unknown` may still become `ran`; `ran` is final. Any other change is a conflict and has no effect.
   */
  settle(command: SettleCommand, revision: Revision, clock: WallMillis): SettleResult {
    const ledger = this.services.get(command.service)?.ledger;
    if (ledger === undefined) {
      return { type: 'no-claim' };
    }
    ledger.expire(clock);
    const kept = ledger.find(command.key);
    if (kept === undefined || kept.record.claimant !== command.claimant) {
      return this.settleWithoutClaim(ledger, command, clock);
    }
    return this.settleClaim(ledger, kept, command, revision);
  }

  toState(): LedgerState {
    const names = [...this.services.keys()].sort();
    return {
      services: names.map((name) => {
        const entry = this.services.get(name) as ServiceEntry;
        return { name, active: entry.active, ledger: entry.ledger.toState() };
      }),
    };
  }

  static fromState(state: LedgerState, options: LedgerOptions = {}): Ledger {
    const restored = new Ledger(options);
    for (const { name, active, ledger } of state.services) {
      const entry = { ledger: ServiceLedger.fromState(ledger, restored.limits), active };
      restored.services.set(name, entry);
    }
    return restored;
  }

  private isAcceptable(ledger: ServiceLedger, command: ClaimCommand, clock: WallMillis): boolean {
    const { key, claimant, issuedAt } = command;
    if (!isIdentifier(key) || !isIdentifier(claimant) || !Number.isFinite(issuedAt)) {
      return false;
    }
    return !ledger.isExpired(issuedAt) && issuedAt <= clock + ISSUED_AHEAD_MILLIS;
  }

  /** Claims a key that has a record. A later `issuedAt` keeps the record longer, up to `ISSUED_AHEAD_MILLIS` ahead. */
  private claimExisting(
    ledger: ServiceLedger,
    kept: KeptRecord,
    command: ClaimCommand,
    clock: WallMillis,
  ): ClaimResult {
    const { record } = kept;
    if (Number.isFinite(command.issuedAt) && command.issuedAt > kept.issuedAt) {
      const issuedAt = Math.max(kept.issuedAt, Math.min(command.issuedAt, clock + ISSUED_AHEAD_MILLIS));
      ledger.put({ record, issuedAt });
    }
    if (record.fingerprint !== command.fingerprint) {
      return { type: 'mismatch' };
    }
    if (record.claimant !== command.claimant) {
      return { type: 'duplicate', record };
    }
    return record.state === 'running' ? { type: 'granted' } : { type: 'closed' };
  }

  /** Settles a claim that hasn't arrived or whose key has another claimant. It must not be granted afterwards. */
  private settleWithoutClaim(ledger: ServiceLedger, command: SettleCommand, clock: WallMillis): SettleResult {
    const { key, claimant } = command;
    if (!isIdentifier(key) || !isIdentifier(claimant)) {
      return { type: 'no-claim' };
    }
    ledger.addTombstone({ key, claimant, issuedAt: clock + ISSUED_AHEAD_MILLIS });
    return command.outcome === 'not-run' ? { type: 'settled' } : { type: 'no-claim' };
  }

  private settleClaim(
    ledger: ServiceLedger,
    kept: KeptRecord,
    command: SettleCommand,
    revision: Revision,
  ): SettleResult {
    const { record, issuedAt } = kept;
    if (command.outcome === record.state) {
      return { type: 'settled' };
    }
    if (command.outcome === 'ran') {
      ledger.put({
        record: { ...record, state: 'ran', answer: limitBody(command.answer), revision },
        issuedAt,
      });
      return { type: 'settled' };
    }
    if (record.state !== 'running') {
      return { type: 'conflict', record };
    }
    if (command.outcome === 'unknown') {
      ledger.put({ record: { ...record, state: 'unknown', revision }, issuedAt });
    } else {
      ledger.release(command.key);
      ledger.addTombstone({ key: command.key, claimant: command.claimant, issuedAt });
    }
    return { type: 'settled' };
  }
}

function createRecord(command: ClaimCommand, revision: Revision, clock: WallMillis): LedgerRecord {
  const { service, key, fingerprint, claimant } = command;
  return { service, key, fingerprint, claimant, state: 'running', answer: null, claimedAt: clock, revision };
}
