/** One upstream's session as the control leader sees it: what was sent, what was answered, until when it may be leased. */
import type { Incarnation, MonotonicMillis, ShardId } from '../model/identifiers.js';
import type { SessionPhase, SessionTarget } from './granter-types.js';
import type { KeyMap, SessionAnswer, SessionRequest, ShardOrder } from './types.js';

/** A stamp of the holder's clock and when it came. */
export interface ReceivedStamp {
  readonly stamp: MonotonicMillis;
  readonly receivedAt: MonotonicMillis;
  /** Place among all answers that the granter received. */
  readonly order: number;
}

export class GranterSession {
  target: SessionTarget;
  phase: SessionPhase = 'greeting';
  /** Last moment, on the granter's clock, at which the registered incarnation may hold a lease. */
  leaseEnd: MonotonicMillis;
  /** When the next call is due. */
  nextCallAt: MonotonicMillis;
  /** After a failure no call goes out before this. */
  notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Call that waits for its answer. */
  outstanding: SessionRequest | null = null;
  failing = false;
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
  /** Orders sent, by shard; `acknowledged` are those that the holder's answer showed to be followed. */
  readonly #sent = new Map<ShardId, string>();
  readonly #acknowledged = new Map<ShardId, string>();
  /** Revokes that an answer didn't show to be followed. */
  readonly #unanswered = new Set<ShardId>();

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
    this.#sent.clear();
    this.#acknowledged.clear();
    this.#unanswered.clear();
  }

  /** Whether there is something to say that wasn't said yet. */
  hasNews(): boolean {
    const { target } = this;
    return (
      this.#completeDue ||
      this.#drainSent !== target.drain ||
      this.#keyMapSent !== nameOf(target.keyMap) ||
      target.orders.some((order) => this.#sent.get(order.shard) !== nameOfOrder(order))
    );
  }

  /** A holder that was told to give a shard up and doesn't say that it follows is not renewed. */
  mayRenew(): boolean {
    return this.#unanswered.size === 0;
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
    for (const order of request.orders) {
      const followed = isFollowed(order, answer);
      if (followed) {
        this.#acknowledged.set(order.shard, nameOfOrder(order));
      }
      if (order.type === 'revoke' && !followed) {
        this.#unanswered.add(order.shard);
      } else {
        this.#unanswered.delete(order.shard);
      }
    }
  }

  /** The outstanding call had no effect that can be relied on: all it said is to be said again. */
  forgetSent(request: SessionRequest): void {
    this.#completeDue ||= request.complete;
    this.#drainSent = null;
    this.#keyMapSent = request.keyMap === null ? this.#keyMapSent : null;
    for (const order of request.orders) {
      this.#sent.delete(order.shard);
    }
  }

  /** Takes what the registry wants now; drops notes of orders that are no longer in force. */
  retarget(target: SessionTarget): void {
    this.target = target;
    const shards = new Set(target.orders.map((order) => order.shard));
    for (const notes of [this.#sent, this.#acknowledged, this.#unanswered]) {
      for (const shard of [...notes.keys()]) {
        if (!shards.has(shard)) {
          notes.delete(shard);
        }
      }
    }
  }

  /** The complete list at the start, later only orders that weren't acknowledged. */
  #takeOrders(): Pick<SessionRequest, 'keyMap' | 'orders' | 'complete' | 'drain'> {
    const { keyMap, orders, drain } = this.target;
    const complete = this.#completeDue;
    const due = orders.filter(
      (order) => complete || this.#acknowledged.get(order.shard) !== nameOfOrder(order),
    );
    const sendsKeyMap = complete || this.#keyMapSent !== nameOf(keyMap);
    this.#completeDue = false;
    this.#drainSent = drain;
    this.#keyMapSent = nameOf(keyMap);
    for (const order of due) {
      this.#sent.set(order.shard, nameOfOrder(order));
    }
    return { keyMap: sendsKeyMap ? keyMap : null, orders: due, complete, drain };
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

function nameOfOrder(order: ShardOrder): string {
  return `${order.type}:${order.revision}`;
}

/** Whether an answer shows that the holder follows an order. */
function isFollowed(order: ShardOrder, answer: SessionAnswer): boolean {
  const epoch = answer.held.find((grant) => grant.shard === order.shard)?.epoch;
  switch (order.type) {
    case 'grant':
      return epoch === order.epoch;
    case 'revoke':
      return (
        answer.draining.some((item) => item.shard === order.shard) ||
        answer.released.some((item) => item.shard === order.shard && item.revision >= order.revision)
      );
    case 'warm':
      return true;
  }
}
