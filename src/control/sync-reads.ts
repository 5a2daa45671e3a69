/**
 * Linearizable reads for the syncs of routers. One read answers all syncs that waited when it began. Reads for routers that can't
 * serve yet begin at once; syncs that only renew a lease are batched for a short time and wait for the leader's next heartbeats, so
 * that they cost no messages of their own.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { SyncRequest } from './messages.js';
import type { ConnectionId } from './types.js';

/** Minimum time between the starts of two reads; all syncs that arrive in between share the next read. */
const MIN_READ_INTERVAL_MILLIS = 20;
/** A router without any data gets an unconfirmed answer only after this time, since an election may be under way. */
const QUORUM_WAIT_MILLIS = 250;
/** How long renewals are batched. */
const RENEWAL_BATCH_MILLIS = 100;

/** An unanswered sync request. */
export interface WaitingSync {
  readonly connection: ConnectionId;
  readonly request: SyncRequest;
  readonly since: MonotonicMillis;
}

export interface SyncReadsParts {
  readonly read: (
    now: MonotonicMillis,
    mayWait: boolean,
    settle: (confirmed: boolean, now: MonotonicMillis) => void,
  ) => void;
  readonly answer: (sync: WaitingSync, confirmed: boolean) => void;
}

export class SyncReads {
  readonly #parts: SyncReadsParts;
  #waiting: WaitingSync[] = [];
  #isReading = false;
  #earliestReadAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** The latest renewal of each connection. */
  readonly #renewals = new Map<ConnectionId, WaitingSync>();
  #nextRenewalsAt: MonotonicMillis = Number.POSITIVE_INFINITY;

  constructor(parts: SyncReadsParts) {
    this.#parts = parts;
  }

  /** Adds a sync request; `isRenewal`: its router already has all routing data of this member. */
  add(sync: Omit<WaitingSync, 'since'>, isRenewal: boolean, now: MonotonicMillis): void {
    if (isRenewal) {
      this.#renewals.set(sync.connection, { ...sync, since: now });
      this.#nextRenewalsAt = Math.min(this.#nextRenewalsAt, now + RENEWAL_BATCH_MILLIS);
      return;
    }
    this.#waiting.push({ ...sync, since: now });
    this.run(now);
  }

  /** Begins the reads that are due. */
  run(now: MonotonicMillis): void {
    if (!this.#isReading && this.#waiting.length > 0 && now >= this.#earliestReadAt) {
      this.#readNow(now);
    }
    if (now >= this.#nextRenewalsAt) {
      const renewals = this.#takeRenewals();
      this.#parts.read(now, true, (confirmed) => this.#answer(renewals, confirmed));
    }
  }

  /** Removes the syncs of a connection that ended. */
  removeConnection(connection: ConnectionId): void {
    this.#waiting = this.#waiting.filter((sync) => sync.connection !== connection);
    this.#renewals.delete(connection);
  }

  nextDeadline(): MonotonicMillis {
    const isReadPending = !this.#isReading && this.#waiting.length > 0;
    return Math.min(this.#nextRenewalsAt, isReadPending ? this.#earliestReadAt : Number.POSITIVE_INFINITY);
  }

  #readNow(now: MonotonicMillis): void {
    this.#earliestReadAt = now + MIN_READ_INTERVAL_MILLIS;
    const batch = [...this.#waiting, ...this.#takeRenewals()];
    this.#waiting = [];
    this.#isReading = true;
    this.#parts.read(now, false, (confirmed, settledAt) => {
      this.#isReading = false;
      const retried = confirmed ? [] : batch.filter((sync) => shouldRetry(sync, settledAt));
      this.#waiting.push(...retried);
      this.#answer(
        batch.filter((sync) => !retried.includes(sync)),
        confirmed,
      );
      this.run(settledAt);
    });
  }

  #takeRenewals(): WaitingSync[] {
    const renewals = [...this.#renewals.values()];
    this.#renewals.clear();
    this.#nextRenewalsAt = Number.POSITIVE_INFINITY;
    return renewals;
  }

  #answer(batch: readonly WaitingSync[], confirmed: boolean): void {
    for (const sync of batch) {
      this.#parts.answer(sync, confirmed);
    }
  }
}

function shouldRetry({ request, since }: WaitingSync, now: MonotonicMillis): boolean {
  return request.have === 0 && now - since < QUORUM_WAIT_MILLIS;
}
