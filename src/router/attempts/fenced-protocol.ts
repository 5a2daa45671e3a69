/** The protocol of upstreams that embed `ternmount/upstream`: docs/UPSTREAM-PROTOCOL.md. */
import { HEADERS } from '../../model/outcome.js';
import { findHeader, reportedLoad } from '../caller/header-rules.js';
import { refusalOf } from './answer-head.js';
import type { OutgoingRequest, UpstreamProtocol } from './upstream-protocol.js';

export const FENCED_PROTOCOL: UpstreamProtocol = {
  acceptsUnframed: false,
  requestHeaders: (request) => [...request.exchange.forwardedHeaders(), ...internalHeaders(request)],
  idOf: (headers) => findHeader(headers, HEADERS.requestId) ?? null,
  sharedIdOf: () => null,
  isAnswerTo: ({ attemptId }, headers) => findHeader(headers, HEADERS.requestId) === attemptId,
  refusalOf,
  loadOf: reportedLoad,
};

/** Headers that the router adds for the upstream. */
function internalHeaders({ effect, attemptId }: OutgoingRequest): string[] {
  const deadline = Math.max(1, Math.floor(effect.deadlineMillis));
  const headers = [HEADERS.requestId, attemptId, HEADERS.deadlineMillis, String(deadline)];
  const { credentials } = effect;
  if (credentials !== null) {
    headers.push(HEADERS.shard, credentials.shard);
    headers.push(HEADERS.epoch, String(credentials.epoch));
    headers.push(HEADERS.incarnation, credentials.incarnation);
    headers.push(HEADERS.key, encodeURIComponent(credentials.key));
  }
  return headers;
}
