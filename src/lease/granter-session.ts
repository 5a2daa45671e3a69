/** One upstream's session as the control leader sees it: what was sent, what was answered, until when it may be leased. */
import type { Incarnation, MonotonicMillis } from '../model/identifiers.js';
import type { SessionPhase, SessionTarget } from './granter-types.js';
import { SessionOrders } from './session-orders.js';
import type { KeyMap, SessionAnswer, SessionRequest } from './types.js';

/** A stamp of the holder's clock and when it came. */
export interface ReceivedStamp {
  readonly stamp: MonotonicMillis;
  readonly receivedAt: MonotonicMillis;
  /** Place among all answers that the granter received. */
  readonly order: number;
}

export class GranterSession {
  target: SessionTarget;
  readonly orders = new SessionOrders();
  phase: SessionPhase = 'greeting';
  /** Last moment, on the granter's clock, at which the registered incarnation may hold a lease. */
  leaseEnd: MonotonicMillis;
  /** When the next call is due. */
  nextCallAt: MonotonicMillis;
  /** After a failure no call goes out before this. */
  notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Call that waits for its answer. */
  outstanding: SessionRequest | null = null;
  /** When calls began to go unanswered; `null`: the last one was answered. */
  failingSince: MonotonicMillis | null = null;
  /** Last answer of whatever incarnation. */
  answer: SessionAnswer | null = null;
  /** Last answer to a call that carried orders: what the holder made of them. */
  followed: SessionAnswer | null = null;
  received: ReceivedStamp | null = null;
  /** Newest stamp of the registered incarnation after which a quorum confirmed the leadership. */
  confirmed: ReceivedStamp | null = null;
  /** Place of the newest stamp that a renewal was sent for. */
  renewedOrder = 0;
  #sequence = 0;
  #completeDue = true;
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

  /** Starts over towards the holder: the next orders are a complete list. */
  enter(phase: SessionPhase, now: MonotonicMillis): void {
    this.phase = phase;
    this.nextCallAt = now;
    this.followed = null;
    this.confirmed = null;
    this.#completeDue = true;
    this.#drainSent = null;
    this.#keyMapSent = null;
    this.orders.startOver();
  }

  /** Whether there is something to say that wasn't said yet. */
  hasNews(): boolean {
    const { target } = this;
    return (
      this.#completeDue ||
      this.#drainSent !== target.drain ||
      this.#keyMapSent !== nameOf(target.keyMap) ||
      this.orders.hasUnsent()
    );
  }

  /** A holder that was told to give a shard up and doesn't say that it follows is not renewed. */
  mayRenew(): boolean {
    return !this.orders.hasIgnoredRevoke();
  }

  /** Whether a newer stamp than the confirmed one waits for a quorum round. */
  awaitsConfirmation(): boolean {
    return this.received !== null && this.received.order > (this.confirmed?.order ?? 0);
  }

  /** Fills in the next request and remembers it as outstanding. */
  send(
    frame: Pick<SessionRequest, 'cluster' | 'leader' | 'term'>,
    validUntil: MonotonicMillis | null,
  ): SessionRequest {
    this.#sequence += 1;
    const base = { ...frame, sequence: this.#sequence, upstream: this.target.upstream };
    const request: SessionRequest =
      this.phase === 'leased'
        ? { ...base, incarnation: this.incarnation, validUntil, ...this.#takeOrders() }
        : { ...base, incarnation: null, validUntil: null, ...NO_ORDERS };
    this.outstanding = request;
    return request;
  }

  /** Notes what the holder's answer to the outstanding call shows. */
  acknowledge(request: SessionRequest, answer: SessionAnswer): void {
    this.followed = answer;
    this.orders.acknowledge(request.orders, answer);
  }

  /** The outstanding call had no effect that can be relied on: all it said is to be said again. */
  forgetSent(request: SessionRequest): void {
    this.#completeDue ||= request.complete;
    this.#drainSent = null;
    this.#keyMapSent = request.keyMap === null ? this.#keyMapSent : null;
    this.orders.forget(request.orders);
  }

  /** The complete list at the start, later only orders that weren't acknowledged. */
  #takeOrders(): Pick<SessionRequest, 'keyMap' | 'orders' | 'complete' | 'drain'> {
    const { keyMap, drain } = this.target;
    const complete = this.#completeDue;
    const sendsKeyMap = complete || this.#keyMapSent !== nameOf(keyMap);
    this.#completeDue = false;
    this.#drainSent = drain;
    this.#keyMapSent = nameOf(keyMap);
    return { keyMap: sendsKeyMap ? keyMap : null, orders: this.orders.take(complete), complete, drain };
  }
}

/** What a first greeting carries. */
const NO_ORDERS: Pick<SessionRequest, 'keyMap' | 'orders' | 'complete' | 'drain'> = {
  keyMap: null,
  orders: [],
  complete: false,
  drain: false,
};

function nameOf(keyMap: KeyMap): string {
  return `${keyMap.service}@${keyMap.generation}`;
}
