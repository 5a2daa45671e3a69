/** The attempts on upstreams under way by their numbers. */

import type { HeaderNames } from '../../model/header-names.js';
import type { Incarnation, UpstreamId } from '../../model/identifiers.js';
import { SILENT_NOTICE, type UpstreamNotice } from '../../model/upstream-notice.js';
import { NumberedTable } from '../../routing/numbered-table.js';
import type { AttemptNumber, AttemptResult } from '../../routing/types.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import type { HeldBytes } from '../caller/held-bytes.js';
import { createAnnouncedProtocol } from './announced-protocol.js';
import type { AnswerHead } from './answer-head.js';
import { Attempt, type DispatchEffect } from './attempt.js';
import { FENCED_PROTOCOL } from './fenced-protocol.js';
import { readNotice } from './read-notice.js';
import type { UpstreamPools } from './upstream-pools.js';
import type { UpstreamProtocol } from './upstream-protocol.js';

/** Upstreams whose words are followed; those that spoke longest ago are let go of. */
const MOST_SPEAKING = 4096;

export interface UpstreamAttemptsParts {
  readonly incarnation: Incarnation;
  readonly pools: UpstreamPools;
  readonly headers: HeaderNames;
  /** Larger answers of requests with a claim aren't kept for resends. */
  readonly storedAnswerBytes: number;
  readonly held: HeldBytes;
  /** Reports how an attempt ended; its answer must be delivered before this returns, or it is dropped. */
  readonly ended: (attempt: AttemptNumber, result: AttemptResult) => void;
  /** A large body came in, from its head to its last byte in `millis`; `null`: nobody counts them. */
  readonly carried: ((bytes: number, millis: number) => void) | null;
  /** The head of an answer says something of its upstream, or doesn't any more. */
  readonly noticed: (attempt: AttemptNumber, notice: UpstreamNotice) => void;
}

export class UpstreamAttempts {
  private readonly attempts = new NumberedTable<Attempt>();
  /** Attempts whose answers were delivered since `flow` was called last. */
  private delivered: AttemptNumber[] = [];

  private readonly announced: UpstreamProtocol;
  private latest: AttemptNumber = 0;
  /**
   * Upstreams that said something of themselves, with the latest attempt that had begun then. Most never do, and nobody is told of their
   * answers; here the first answer without a word counts that belongs to a later attempt.
   */
  private readonly speaking = new Map<UpstreamId, AttemptNumber>();

  constructor(private readonly parts: UpstreamAttemptsParts) {
    this.announced = createAnnouncedProtocol(parts.headers);
  }

  /** Sends the request of an exchange to an upstream. */
  start(effect: DispatchEffect, exchange: CallerExchange): void {
    const { incarnation, pools, storedAnswerBytes, held, carried } = this.parts;
    const attempt = new Attempt({
      effect,
      exchange,
      attemptId: `${incarnation}.${effect.attempt}`,
      protocol: effect.instance === null ? FENCED_PROTOCOL : this.announced,
      storedAnswerBytes: exchange.head.idempotency === null ? null : storedAnswerBytes,
      held,
      resets: pools.resets,
      carried,
      ended: (number, result) => this.ended(number, result),
      headed: (number, head) => this.headed(effect.upstream, number, head),
    });
    this.latest = effect.attempt;
    this.attempts.set(effect.attempt, attempt);
    attempt.start(pools.of(effect.address));
  }

  cancel(number: AttemptNumber): void {
    this.attempts.get(number)?.cancel();
  }

  /** Takes back the attempts on an upstream that wait for a connection. */
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

  /** Gives the answer of an attempt to a caller; `false` if there is none. */
  deliver(number: AttemptNumber, exchange: CallerExchange): boolean {
    const attempt = this.attempts.get(number);
    if (attempt === undefined) {
      return false;
    }
    this.delivered.push(number);
    attempt.deliver(exchange);
    return true;
  }

  /** Lets the answers flow to all that they were delivered to. */
  flow(): void {
    if (this.delivered.length === 0) {
      return;
    }
    const numbers = this.delivered;
    this.delivered = [];
    for (const number of numbers) {
      this.attempts.get(number)?.flow();
      this.attempts.delete(number);
    }
  }

  private headed(upstream: UpstreamId, number: AttemptNumber, head: AnswerHead): void {
    const notice = readNotice(head, this.parts.headers, Date.now());
    if (notice !== SILENT_NOTICE) {
      this.speaking.delete(upstream);
      this.speaking.set(upstream, this.latest);
      dropOldest(this.speaking, MOST_SPEAKING);
      this.parts.noticed(number, notice);
    } else if (number > (this.speaking.get(upstream) ?? Number.POSITIVE_INFINITY)) {
      this.speaking.delete(upstream);
      this.parts.noticed(number, notice);
    }
  }

  /** An answer that nobody was given is of no use any more: its upstream's connection is freed at once. */
  private ended(number: AttemptNumber, result: AttemptResult): void {
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

function dropOldest(map: Map<UpstreamId, AttemptNumber>, most: number): void {
  const [oldest] = map.keys();
  if (map.size > most && oldest !== undefined) {
    map.delete(oldest);
  }
}
