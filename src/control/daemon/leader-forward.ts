/**
 * Passes requests to the leader over the connection between members. An event loop accepts one connection a turn, so that callers who
 * were all sent to the leader would wait there for their connections as soon as its turns are long.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from '../../logging/logger.js';
import type { ReplicaId } from '../../model/identifiers.js';
import { type Frame, forwardedRequestCodec, forwardedResponseCodec } from '../../wire/index.js';
import { type ForwardableRequest, type ForwardedRequest, isForwardable } from '../forwarded-request.js';
import type { OperatorRequest, OperatorResponse } from '../types.js';

/** Shorter than callers wait for a response, so that they can still be sent to the leader. */
const RESPONSE_MILLIS = 600;
/** How long nothing is passed to a leader that left requests unanswered: its release may not know them. */
const SILENT_LEADER_MILLIS = 10_000;
/** Requests of other members in progress at a leader; further ones are left to be sent again. */
const MAX_OPEN_REQUESTS = 1024;
/** A larger request would hold up the members' own messages behind it; its caller is sent to the leader. */
const MAX_REQUEST_BYTES = 1024 * 1024;
const UNKNOWN: OperatorResponse = { type: 'unknown' };

export interface LeaderForwardParts {
  /** Sends a frame to a member; returns whether there is a connection. */
  readonly send: (to: ReplicaId, kind: number, payload: Uint8Array) => boolean;
  /** Carries a request out at this member alone. */
  readonly operate: (request: OperatorRequest) => Promise<OperatorResponse>;
  readonly log: Logger;
}

/** Sends a frame back on the connection on which a request came. */
export type Reply = (kind: number, payload: Uint8Array) => void;

export class LeaderForward {
  readonly #parts: LeaderForwardParts;
  readonly #waiting = new Map<number, (response: OperatorResponse | null) => void>();
  #count = 0;
  #openRequests = 0;
  #respondedAt = Number.NEGATIVE_INFINITY;
  #silentLeader: { readonly leader: ReplicaId; readonly until: number } | null = null;

  constructor(parts: LeaderForwardParts) {
    this.#parts = parts;
  }

  /** Returns the leader's response; `null` if there was none in time. */
  async forward(leader: ReplicaId, request: ForwardableRequest): Promise<OperatorResponse | null> {
    const sentAt = performance.now();
    if (this.#silentLeader?.leader === leader && sentAt < this.#silentLeader.until) {
      return null;
    }
    this.#count += 1;
    const number = this.#count;
    const payload = forwardedRequestCodec.encode({ type: 'forwarded-request', number, request });
    const isSent =
      payload.length <= MAX_REQUEST_BYTES && this.#parts.send(leader, forwardedRequestCodec.kind, payload);
    if (!isSent) {
      return null;
    }
    const response = await this.#responseTo(number);
    if (response === null && this.#respondedAt < sentAt) {
      this.#silentLeader = { leader, until: performance.now() + SILENT_LEADER_MILLIS };
      this.#parts.log.warn('leader-silent', { leader, request: request.type, waitedMillis: RESPONSE_MILLIS });
    }
    return response;
  }

  /** Handles a frame of another member; returns `false` if it is neither a request nor a response. */
  onFrame({ kind, payload }: Frame, reply: Reply): boolean {
    switch (kind) {
      case forwardedRequestCodec.kind:
        void this.#carryOut(forwardedRequestCodec.decode(payload), reply);
        return true;
      case forwardedResponseCodec.kind: {
        const { number, response } = forwardedResponseCodec.decode(payload);
        this.#respondedAt = performance.now();
        this.#waiting.get(number)?.(response);
        return true;
      }
      default:
        return false;
    }
  }

  async #responseTo(number: number): Promise<OperatorResponse | null> {
    const ended = new AbortController();
    const response = new Promise<OperatorResponse | null>((resolve) => this.#waiting.set(number, resolve));
    const timeout = sleep(RESPONSE_MILLIS, null, { signal: ended.signal, ref: false }).catch(() => null);
    const first = await Promise.race([response, timeout]);
    this.#waiting.delete(number);
    ended.abort();
    return first;
  }

  async #carryOut({ number, request }: ForwardedRequest, reply: Reply): Promise<void> {
    let response = UNKNOWN;
    if (isForwardable(request) && this.#openRequests < MAX_OPEN_REQUESTS) {
      this.#openRequests += 1;
      response = await this.#parts.operate(request);
      this.#openRequests -= 1;
    }
    const message = { type: 'forwarded-response', number, response } as const;
    reply(forwardedResponseCodec.kind, forwardedResponseCodec.encode(message));
  }
}
