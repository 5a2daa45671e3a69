/**
 * The at-most-once ledger: who may run a non-repeatable request, and how it ended.
 *
 * Pure and deterministic; time comes in as `clock`, which the caller must never let go back (the registry passes the
 * largest wall clock that any applied entry carried). A key belongs to its `issuedAt`: a caller that resends
 * sends both again unchanged.
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

/** Plain form of a ledger, for snapshots. */
export interface LedgerState {
  readonly services: readonly {
    readonly name: ServiceName;
    readonly active: boolean;
    readonly ledger: ServiceLedgerState;
  }[];
}

interface ServiceEntry {
  readonly ledger: ServiceLedger;
  /** False after the service was deleted; its records stay until they expire. */
  active: boolean;
}

/** Bounds of memory; the defaults stand in `limits.ts`. */
export interface LedgerOptions {
  /** Records and tombstones kept for one service. */
  readonly entriesPerService?: number;
  /** Characters of answers' bodies kept for one service. */
  readonly storedBodiesPerService?: number;
}

function isIdentifier(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= IDENTIFIER_LIMIT;
}

/** Drops a body above the limit. */
function boundAnswer(answer: StoredAnswer | null): StoredAnswer | null {
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

  /** Opens the ledger of a service or changes its retention. */
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

  /** Closes the ledger of a deleted service. What it holds still counts if the service comes back. */
  closeService(service: ServiceName): void {
    const entry = this.services.get(service);
    if (entry !== undefined) {
      entry.active = false;
    }
  }

  /** Drops what has expired, of every service. */
  expire(clock: WallMillis): void {
    for (const { ledger } of this.services.values()) {
      ledger.expire(clock);
    }
  }

  /** Records and tombstones held, of every service. */
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

  /** Claims a key. Only `granted` lets the claimant run the request. A resend by the same claimant is granted again. */
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
      return this.claimAgain(ledger, kept, command, clock);
    }
    if (!this.isAcceptable(ledger, command, clock)) {
      return { type: 'expired' };
    }
    ledger.put({ record: newRecord(command, revision, clock), issuedAt: command.issuedAt });
    return { type: 'granted' };
  }

  /**
   * Ends a claim. `not-run` frees the key and closes it for this claimant, also if the claim itself arrives later.
   * `unknown` may still become `ran`; `ran` is final. Anything else is a conflict and changes nothing.
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
    return this.settleOwn(ledger, kept, command, revision);
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

  /** A key that is known. A later `issuedAt` on a resend keeps the record longer, up to the allowance. */
  private claimAgain(
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

  /** The claim isn't there (not yet, or another has the key). It must never be granted after this. */
  private settleWithoutClaim(ledger: ServiceLedger, command: SettleCommand, clock: WallMillis): SettleResult {
    const { key, claimant } = command;
    if (!isIdentifier(key) || !isIdentifier(claimant)) {
      return { type: 'no-claim' };
    }
    ledger.bury({ key, claimant, issuedAt: clock + ISSUED_AHEAD_MILLIS });
    return command.outcome === 'not-run' ? { type: 'settled' } : { type: 'no-claim' };
  }

  private settleOwn(
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
        record: { ...record, state: 'ran', answer: boundAnswer(command.answer), revision },
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
      ledger.bury({ key: command.key, claimant: command.claimant, issuedAt });
    }
    return { type: 'settled' };
  }
}

function newRecord(command: ClaimCommand, revision: Revision, clock: WallMillis): LedgerRecord {
  const { service, key, fingerprint, claimant } = command;
  return { service, key, fingerprint, claimant, state: 'running', answer: null, claimedAt: clock, revision };
}
