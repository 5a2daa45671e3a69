/** The protocol between a router and an upstream: headers added to a request, and headers read from an answer. */
import type { AttemptResult } from '../../routing/types.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import type { AnswerHead } from './answer-head.js';
import type { DispatchEffect } from './attempt.js';

/** A request refused before it ran. */
export type Refusal = AttemptResult & { readonly type: 'refused' };

/** One request to an upstream. */
export interface OutgoingRequest {
  readonly effect: DispatchEffect;
  readonly exchange: CallerExchange;
  /** Unique among the attempts of all routers. */
  readonly attemptId: string;
}

export interface UpstreamProtocol {
  /** Whether an answer may lack a length and end with its connection. */
  readonly acceptsUnframed: boolean;
  /** Returns all headers except those set by the HTTP client, as a flat list. */
  requestHeaders(request: OutgoingRequest): string[];
  /** Returns the id that an answer carries; `null` if it carries none. */
  idOf(headers: readonly string[]): string | null;
  /** Returns the id by which answers name the request, if other attempts may have the same; `null` if it is the attempt's own. */
  sharedIdOf(request: OutgoingRequest): string | null;
  /** Whether an answer belongs to the request. */
  isAnswerTo(request: OutgoingRequest, headers: readonly string[]): boolean;
  /** Returns the refusal that an answer means; `null` if the request may have run. */
  refusalOf(head: AnswerHead): Refusal | null;
  /** Returns the number of outstanding requests that an answer reports; `null` if it reports none. */
  loadOf(headers: readonly string[]): number | null;
}
