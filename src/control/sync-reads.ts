/**
 * Reads for the syncs of routers. One read answers all syncs that waited when it began. Those of routers that can't serve yet are
 * read for at once; those that only renew a lease gather for a moment and wait for the leader's next heartbeats, so
 * that they cost no messages of their own.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { SyncRequest } from './messages.js';
import type { ConnectionId } from './types.js';

/** Shortest time between the beginnings of two reads; all syncs that come meanwhile share the next. */
const READ_GAP_MILLIS = 20;
/** A router that holds nothing yet is told that there is no quorum only after this: a leader may be elected just now. */
const NO_QUORUM_MILLIS = 250;
/** How long renewals gather. */
const RENEWALS_GATHER_MILLIS = 100;

/** A sync that isn't answered yet. */
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
  #readNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** The latest of each connection. */
  readonly #renewals = new Map<ConnectionId, WaitingSync>();
  #renewalsAt: MonotonicMillis = Number.POSITIVE_INFINITY;

  constructor(parts: SyncReadsParts) {
    this.#parts = parts;
  }

  /** Takes a sync; `isRenewal`: its router holds all that this member knows. */
  add(sync: Omit<WaitingSync, 'since'>, isRenewal: boolean, now: MonotonicMillis): void {
    if (isRenewal) {
      this.#renewals.set(sync.connection, { ...sync, since: now });
      this.#renewalsAt = Math.min(this.#renewalsAt, now + RENEWALS_GATHER_MILLIS);
      return;
    }
    this.#waiting.push({ ...sync, since: now });
    this.run(now);
  }

  /** Begins what is due. */
  run(now: MonotonicMillis): void {
    if (!this.#isReading && this.#waiting.length > 0 && now >= this.#readNotBefore) {
      this.#readNow(now);
    }
    if (now >= this.#renewalsAt) {
      const renewals = this.#takeRenewals();
      this.#parts.read(now, true, (confirmed) => this.#answer(renewals, confirmed));
    }
  }

  /** A connection ended: its syncs need no answer. */
  gone(connection: ConnectionId): void {
    this.#waiting = this.#waiting.filter((sync) => sync.connection !== connection);
    this.#renewals.delete(connection);
  }

  nextDeadline(): MonotonicMillis {
    const waits = !this.#isReading && this.#waiting.length > 0;
    return Math.min(this.#renewalsAt, waits ? this.#readNotBefore : Number.POSITIVE_INFINITY);
  }

  #readNow(now: MonotonicMillis): void {
    this.#readNotBefore = now + READ_GAP_MILLIS;
    const batch = [...this.#waiting, ...this.#takeRenewals()];
    this.#waiting = [];
    this.#isReading = true;
    this.#parts.read(now, false, (confirmed, settledAt) => {
      this.#isReading = false;
      const again = confirmed ? [] : batch.filter((sync) => mayBeConfirmedYet(sync, settledAt));
      this.#waiting.push(...again);
      this.#answer(
        batch.filter((sync) => !again.includes(sync)),
        confirmed,
      );
      this.run(settledAt);
    });
  }

  #takeRenewals(): WaitingSync[] {
    const renewals = [...this.#renewals.values()];
    this.#renewals.clear();
    this.#renewalsAt = Number.POSITIVE_INFINITY;
    return renewals;
  }

  #answer(batch: readonly WaitingSync[], confirmed: boolean): void {
    for (const sync of batch) {
      this.#parts.answer(sync, confirmed);
    }
  }
}

function mayBeConfirmedYet({ request, since }: WaitingSync, now: MonotonicMillis): boolean {
  return request.have === 0 && now - since < NO_QUORUM_MILLIS;
}
