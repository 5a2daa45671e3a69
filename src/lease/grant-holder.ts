/**
 * The holder's side of a session lease. One lease covers all grants of one incarnation; it ends on the holder's own
 * monotonic clock, so a process that was paused detects its end before it does anything else.
 */

import type { ClusterId, MonotonicMillis, ShardId, Term } from '../model/identifiers.js';
import { shardOfKey } from '../model/key-map.js';
import type {
  Admission,
  GrantHolder,
  GrantHolderConfig,
  HolderEvent,
  HolderStatus,
  Ticket,
} from './holder-types.js';
import { ShardTable } from './shard-table.js';
import type { FenceCredentials, FenceRefusal, KeyMap, SessionAnswer, SessionRequest } from './types.js';

/** Creates the fence for one run of a server. */
export function createGrantHolder(config: GrantHolderConfig): GrantHolder {
  return new SessionGrantHolder(config);
}

class SessionGrantHolder implements GrantHolder {
  readonly #config: GrantHolderConfig;
  readonly #shards = new ShardTable();
  /** Lease period in which each running request was admitted. */
  readonly #tickets = new Map<number, number>();
  #cluster: ClusterId | null;
  #term: Term = 0;
  #sequence = 0;
  #keyMap: KeyMap | null = null;
  #drain = false;
  #validUntil: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Grows with each lease that begins after the previous one ended. */
  #period = 0;
  #nextTicket = 1;

  constructor(config: GrantHolderConfig) {
    this.#config = config;
    this.#cluster = config.cluster;
  }

  handleSession(request: SessionRequest, now: MonotonicMillis): SessionAnswer {
    const refused = this.#refusalOf(request);
    if (refused === null && request.incarnation !== null) {
      this.#apply(request, now);
    }
    const named = request.orders.map((order) => order.shard);
    const answer: SessionAnswer = {
      upstream: this.#config.upstream,
      incarnation: this.#config.incarnation,
      stamp: now,
      term: this.#term,
      sequence: request.sequence,
      held: this.#shards.held(named),
      draining: this.#shards.draining(),
      released: this.#shards.released(named),
      warmed: this.#shards.warmed(named),
      inFlight: this.#tickets.size,
      refused,
    };
    this.#shards.markReported(answer.released);
    return answer;
  }

  admit(credentials: FenceCredentials, now: MonotonicMillis): Admission {
    const refusal = this.#fence(credentials, now);
    if (refusal !== null) {
      return { type: 'refused', refusal };
    }
    const ticket: Ticket = {
      number: this.#nextTicket,
      shard: credentials.shard,
      epoch: credentials.epoch,
    };
    this.#nextTicket += 1;
    this.#tickets.set(ticket.number, this.#period);
    this.#shards.startWork(ticket.shard);
    return { type: 'admitted', ticket };
  }

  confirmEffect(ticket: Ticket, now: MonotonicMillis): boolean {
    const isOfThisLease = this.#tickets.get(ticket.number) === this.#period;
    return isOfThisLease && this.#isLeased(now) && this.#shards.mayTakeEffect(ticket.shard, ticket.epoch);
  }

  finish(ticket: Ticket, _now: MonotonicMillis): void {
    if (this.#tickets.delete(ticket.number)) {
      this.#shards.endWork(ticket.shard);
    }
  }

  markWarmed(shard: ShardId): void {
    this.#shards.markWarmed(shard);
  }

  takeEvents(): HolderEvent[] {
    return this.#shards.takeEvents();
  }

  status(now: MonotonicMillis): HolderStatus {
    return {
      leased: this.#isLeased(now),
      draining: this.#drain,
      held: this.#shards.heldCount,
      unreported: this.#shards.unreportedCount,
      inFlight: this.#tickets.size,
    };
  }

  /** Checks the origin and age of a message, and stores the highest term and sequence number. */
  #refusalOf(request: SessionRequest): SessionAnswer['refused'] {
    if (this.#cluster !== null && request.cluster !== this.#cluster) {
      return 'other-cluster';
    }
    if (request.upstream !== this.#config.upstream) {
      return 'other-incarnation';
    }
    if (request.term < this.#term) {
      return 'stale-term';
    }
    if (request.term === this.#term && request.sequence <= this.#sequence) {
      return 'stale-sequence';
    }
    this.#cluster = request.cluster;
    this.#term = request.term;
    this.#sequence = request.sequence;
    const isForThisIncarnation =
      request.incarnation === null || request.incarnation === this.#config.incarnation;
    return isForThisIncarnation ? null : 'other-incarnation';
  }

  #apply(request: SessionRequest, now: MonotonicMillis): void {
    this.#drain = request.drain;
    if (request.keyMap !== null) {
      this.#adoptKeyMap(request.keyMap);
    }
    if (request.complete) {
      this.#shards.keepOnly(request.orders);
    }
    for (const order of request.orders) {
      this.#shards.apply(order, this.#keyMap);
    }
    if (request.validUntil !== null) {
      this.#renew(request.validUntil, now);
    }
  }

  #adoptKeyMap(keyMap: KeyMap): void {
    const previous = this.#keyMap;
    this.#keyMap = keyMap;
    const isOther = previous?.generation !== keyMap.generation || previous.service !== keyMap.service;
    if (previous !== null && isOther) {
      this.#shards.forgetOldShards(previous, keyMap);
    }
  }

  /** Work admitted before the lease ended can't take effect even after a new lease has begun. */
  #renew(validUntil: MonotonicMillis, now: MonotonicMillis): void {
    if (!this.#isLeased(now)) {
      this.#period += 1;
    }
    this.#validUntil = Math.max(this.#validUntil, validUntil);
  }

  #isLeased(now: MonotonicMillis): boolean {
    return now < this.#validUntil;
  }

  #fence(credentials: FenceCredentials, now: MonotonicMillis): FenceRefusal | null {
    if (credentials.incarnation !== this.#config.incarnation) {
      return 'other-incarnation';
    }
    if (!this.#isLeased(now)) {
      return 'lease-over';
    }
    const refusal = this.#shards.refusalOf(credentials.shard, credentials.epoch);
    if (refusal !== null) {
      return refusal;
    }
    if (this.#keyMap === null || shardOfKey(this.#keyMap, credentials.key) !== credentials.shard) {
      return 'wrong-shard';
    }
    return this.#drain ? 'draining' : null;
  }
}
