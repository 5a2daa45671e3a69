/** The attempts in progress on upstreams, by their numbers. */
import type { HeaderNames } from '../../model/header-names.js';
import type { Incarnation, UpstreamId } from '../../model/identifiers.js';
import { EMPTY_NOTICE, type UpstreamNotice } from '../../model/upstream-notice.js';
import { NumberedTable } from '../../routing/numbered-table.js';
import type { AttemptNumber, AttemptResult } from '../../routing/types.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import type { HeldBytes } from '../caller/held-bytes.js';
import { createAnnouncedProtocol } from './announced-protocol.js';
import type { AnswerHead } from './answer-head.js';
import { Attempt, type DispatchEffect } from './attempt.js';
import { FENCED_PROTOCOL } from './fenced-protocol.js';
import { readNotice } from './read-notice.js';
import type { ConnectionUse } from './resettable-client.js';
import type { UpstreamPools } from './upstream-pools.js';
import type { UpstreamProtocol } from './upstream-protocol.js';

/** Bound on upstreams tracked for their notices; the one with the oldest notice is dropped first. */
const MAX_NOTIFYING_UPSTREAMS = 4096;

export interface UpstreamAttemptsParts {
  readonly incarnation: Incarnation;
  readonly pools: UpstreamPools;
  readonly headers: HeaderNames;
  /** Larger answers of requests with a claim aren't stored for resends. */
  readonly storedAnswerBytes: number;
  readonly held: HeldBytes;
  /** An answer is broken off if no part of its body comes for this time. */
  readonly stallMillis: number;
  /** Called when the request of an attempt is written to a connection. */
  readonly onConnected: (attempt: AttemptNumber, use: ConnectionUse | null) => void;
  /** Called when an answer carries another id than its request. `receivedId`: `null` if it carries none. */
  readonly onForeignAnswer: (attempt: AttemptNumber, status: number, receivedId: string | null) => void;
  /** Called when an attempt ended; its answer is dropped unless it is delivered before this returns. */
  readonly ended: (attempt: AttemptNumber, result: AttemptResult) => void;
  /** Called when a whole body was received; `millis` is the time from its head to its last byte. `null` if transfers aren't measured. */
  readonly onBodyReceived: ((bytes: number, millis: number) => void) | null;
  /** Called when an answer carries a notice, or when notices of its upstream have ended. */
  readonly onNotice: (attempt: AttemptNumber, notice: UpstreamNotice) => void;
}

export class UpstreamAttempts {
  private readonly attempts = new NumberedTable<Attempt>();
  /** Attempts whose answers were delivered since the last call of `startStreams`. */
  private delivered: AttemptNumber[] = [];

  private readonly announced: UpstreamProtocol;
  private latestAttempt: AttemptNumber = 0;
  /**
   * Upstreams whose last notice is in force, each with the latest attempt started when it arrived. The first answer without a notice to
   * a later attempt ends it. Most upstreams never send notices, and their answers aren't reported.
   */
  private readonly notifying = new Map<UpstreamId, AttemptNumber>();

  constructor(private readonly parts: UpstreamAttemptsParts) {
    this.announced = createAnnouncedProtocol(parts.headers);
  }

  /** Sends the request of an exchange to an upstream. */
  start(effect: DispatchEffect, exchange: CallerExchange): void {
    const { incarnation, pools, storedAnswerBytes, held, stallMillis, onBodyReceived, onConnected } =
      this.parts;
    const protocol = effect.instance === null ? FENCED_PROTOCOL : this.announced;
    const attempt = new Attempt({
      effect,
      exchange,
      attemptId: `${incarnation}.${effect.attempt}`,
      protocol,
      storedAnswerBytes: exchange.head.idempotency === null ? null : storedAnswerBytes,
      held,
      stallMillis,
      onBodyReceived,
      onConnected,
      onForeignAnswer: (number, { status, headers }) =>
        this.parts.onForeignAnswer(number, status, protocol.idOf(headers)),
      ended: (number, result) => this.handleEnd(number, result),
      onHead: (number, head) => this.handleHead(effect.upstream, number, head),
    });
    this.latestAttempt = effect.attempt;
    this.attempts.set(effect.attempt, attempt);
    attempt.start(pools.poolFor(effect));
  }

  cancel(number: AttemptNumber): void {
    this.attempts.get(number)?.cancel();
  }

  /** Aborts the attempts on an upstream that are waiting for a connection. */
  recall(upstream: UpstreamId): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.upstream === upstream) {
        attempt.recall();
      }
    }
  }

  cancelAll(): void {
    for (const attempt of this.attempts.values()) {
      attempt.cancel();
    }
  }

  /** Delivers the answer of an attempt to a caller; returns `false` if there is none. */
  deliver(number: AttemptNumber, exchange: CallerExchange): boolean {
    const attempt = this.attempts.get(number);
    if (attempt === undefined) {
      return false;
    }
    this.delivered.push(number);
    attempt.deliver(exchange);
    return true;
  }

  /** Starts streaming the delivered answers to their callers. */
  startStreams(): void {
    if (this.delivered.length === 0) {
      return;
    }
    const numbers = this.delivered;
    this.delivered = [];
    for (const number of numbers) {
      this.attempts.get(number)?.startStream();
      this.attempts.delete(number);
    }
  }

  private handleHead(upstream: UpstreamId, number: AttemptNumber, head: AnswerHead): void {
    const notice = readNotice(head, this.parts.headers, Date.now());
    if (notice !== EMPTY_NOTICE) {
      this.notifying.delete(upstream);
      this.notifying.set(upstream, this.latestAttempt);
      dropOldest(this.notifying, MAX_NOTIFYING_UPSTREAMS);
      this.parts.onNotice(number, notice);
    } else if (number > (this.notifying.get(upstream) ?? Number.POSITIVE_INFINITY)) {
      this.notifying.delete(upstream);
      this.parts.onNotice(number, notice);
    }
  }

  /** An answer that wasn't delivered is dropped, and the connection of its attempt is freed at once. */
  private handleEnd(number: AttemptNumber, result: AttemptResult): void {
    const attempt = this.attempts.get(number);
    if (result.type !== 'answered') {
      this.attempts.delete(number);
    }
    this.parts.ended(number, result);
    this.attempts.get(number)?.cancel();
    this.attempts.delete(number);
    attempt?.release();
  }
}

function dropOldest(map: Map<UpstreamId, AttemptNumber>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) {
    map.delete(oldest);
  }
}
