/** How a router speaks to an upstream: what it adds to a request, and what it reads from an answer. */
import type { AttemptResult } from '../../routing/types.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import type { AnswerHead } from './answer-head.js';
import type { DispatchEffect } from './attempt.js';

/** A request turned away before it ran. */
export type Refusal = AttemptResult & { readonly type: 'refused' };

/** One request to an upstream. */
export interface OutgoingRequest {
  readonly effect: DispatchEffect;
  readonly exchange: CallerExchange;
  /** Unique among the attempts of all routers. */
  readonly attemptId: string;
}

export interface UpstreamProtocol {
  /** Whether an answer may end with its connection, without a length. */
  readonly takesUnframed: boolean;
  /** All headers but those that the HTTP client sets, as a flat list. */
  requestHeaders(request: OutgoingRequest): string[];
  /** Whether an answer belongs to the request. */
  isAnswerTo(request: OutgoingRequest, headers: readonly string[]): boolean;
  /** The refusal that an answer stands for; `null` if the request may have run. */
  refusalOf(head: AnswerHead): Refusal | null;
  /** Outstanding requests that an answer reports; `null` if it reports none. */
  loadOf(headers: readonly string[]): number | null;
}
