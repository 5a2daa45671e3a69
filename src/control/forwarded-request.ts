/** Requests that a member passes to the leader over their connection, in place of sending the caller there. */
import type { OperatorRequest, OperatorResponse } from './types.js';

/** Requests that may be carried out twice without harm, so that one without a response can be sent again. */
export type ForwardableRequest = Extract<
  OperatorRequest,
  { readonly type: 'declare' | 'evacuate' | 'announce' | 'withdraw' | 'release-vote' }
>;

const FORWARDABLE: ReadonlySet<OperatorRequest['type']> = new Set([
  'declare',
  'evacuate',
  'announce',
  'withdraw',
  'release-vote',
]);

export function isForwardable(request: OperatorRequest): request is ForwardableRequest {
  return FORWARDABLE.has(request.type);
}

export interface ForwardedRequest {
  readonly type: 'forwarded-request';
  /** Identifies the request among those of its sender. */
  readonly number: number;
  readonly request: ForwardableRequest;
}

export interface ForwardedResponse {
  readonly type: 'forwarded-response';
  readonly number: number;
  readonly response: OperatorResponse;
}
