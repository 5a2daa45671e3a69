/** The control leader's state of one upstream's session: sent requests, received answers, and the bound of its lease. */
import type { Incarnation, MonotonicMillis } from '../model/identifiers.js';
import type { SessionPhase, SessionTarget } from './granter-types.js';
import { SessionOrders } from './session-orders.js';
import type { KeyMap, SessionAnswer, SessionRequest } from './types.js';

/** A stamp of the holder's clock, with the time of its receipt. */
export interface ReceivedStamp {
  readonly stamp: MonotonicMillis;
  readonly receivedAt: MonotonicMillis;
  /** Sequence number among all answers that the granter received. */
  readonly order: number;
}

export class GranterSession {
  target: SessionTarget;
  readonly orders = new SessionOrders();
  phase: SessionPhase = 'greeting';
  /** Last time on the granter's clock at which the registered incarnation may hold a lease. */
  leaseEnd: MonotonicMillis;
  /** Time at which the next call is due. */
  nextCallAt: MonotonicMillis;
  /** Earliest time of the next call after a failure. */
  notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Call that awaits its answer. */
  outstanding: SessionRequest | null = null;
  /** Time of the first of the latest consecutive failures; `null` if the last call was answered. */
  failingSince: MonotonicMillis | null = null;
  /** Last answer of any incarnation. */
  answer: SessionAnswer | null = null;
  /** Last answer to a call with orders. */
  lastOrderAnswer: SessionAnswer | null = null;
  /** Latest stamp of any incarnation. */
  received: ReceivedStamp | null = null;
  /** Latest stamp of the registered incarnation after which a quorum confirmed the leadership. */
  confirmed: ReceivedStamp | null = null;
  /** `order` of the latest stamp for which a renewal was sent. */
  renewedOrder = 0;
  #sequence = 0;
  #isCompleteListDue = true;
  #drainSent: boolean | null = null;
  #keyMapSent: string | null = null;

  constructor(target: SessionTarget, leaseEnd: MonotonicMillis, now: MonotonicMillis) {
    this.target = target;
    this.leaseEnd = leaseEnd;
    this.nextCallAt = now;
  }

  get incarnation(): Incarnation | null {
    return this.target.incarnation;
  }

  /** Enters a phase and resets what was sent: the next orders are a complete list. */
  enterPhase(phase: SessionPhase, now: MonotonicMillis): void {
    this.phase = phase;
    this.nextCallAt = now;
    this.lastOrderAnswer = null;
    this.confirmed = null;
    this.#isCompleteListDue = true;
    this.#drainSent = null;
    this.#keyMapSent = null;
    this.orders.markAllUnsent();
  }

  /** Returns whether there are changes that weren't sent yet. */
  hasUnsentChanges(): boolean {
    const { target } = this;
    return (
      this.#isCompleteListDue ||
      this.#drainSent !== target.drain ||
      this.#keyMapSent !== keyMapId(target.keyMap) ||
      this.orders.hasUnsent()
    );
  }

  /** Returns whether the lease may be renewed: not if the holder received a revoke and didn't acknowledge it. */
  mayRenew(): boolean {
    return !this.orders.hasUnacknowledgedRevoke();
  }

  /** Returns whether a stamp newer than the confirmed one awaits a quorum round. */
  awaitsConfirmation(): boolean {
    return this.received !== null && this.received.order > (this.confirmed?.order ?? 0);
  }

  /** Creates the next request and stores it as outstanding. */
  nextRequest(
    frame: Pick<SessionRequest, 'cluster' | 'leader' | 'term'>,
    validUntil: MonotonicMillis | null,
  ): SessionRequest {
    this.#sequence += 1;
    const base = { ...frame, sequence: this.#sequence, upstream: this.target.upstream };
    const request: SessionRequest =
      this.phase === 'leased'
        ? { ...base, incarnation: this.incarnation, validUntil, ...this.#nextContent() }
        : { ...base, incarnation: null, validUntil: null, ...NO_ORDERS };
    this.outstanding = request;
    return request;
  }

  /** Records which orders the answer to the outstanding call acknowledges. */
  acknowledge(request: SessionRequest, answer: SessionAnswer): void {
    this.lastOrderAnswer = answer;
    this.orders.acknowledge(request.orders, answer);
  }

  /** Marks the content of a call as unsent, because the call may have had no effect. */
  markUnsent(request: SessionRequest): void {
    this.#isCompleteListDue ||= request.complete;
    this.#drainSent = null;
    this.#keyMapSent = request.keyMap === null ? this.#keyMapSent : null;
    this.orders.markUnsent(request.orders);
  }

  /** Returns the complete list of orders at the start, later only orders to be sent again. */
  #nextContent(): Pick<SessionRequest, 'keyMap' | 'orders' | 'complete' | 'drain'> {
    const { keyMap, drain } = this.target;
    const complete = this.#isCompleteListDue;
    const sendsKeyMap = complete || this.#keyMapSent !== keyMapId(keyMap);
    this.#isCompleteListDue = false;
    this.#drainSent = drain;
    this.#keyMapSent = keyMapId(keyMap);
    return {
      keyMap: sendsKeyMap ? keyMap : null,
      orders: this.orders.ordersToSend(complete),
      complete,
      drain,
    };
  }
}

/** Content of a first greeting. */
const NO_ORDERS: Pick<SessionRequest, 'keyMap' | 'orders' | 'complete' | 'drain'> = {
  keyMap: null,
  orders: [],
  complete: false,
  drain: false,
};

function keyMapId(keyMap: KeyMap): string {
  return `${keyMap.service}@${keyMap.generation}`;
}
