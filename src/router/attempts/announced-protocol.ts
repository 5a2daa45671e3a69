/**
 * The protocol of upstreams that announce themselves and don't embed ternmount's library: the caller's own request plus the
 * remaining time and the run that it is meant for. A request counts as not run only if its answer is marked so.
 */
import type { FenceRefusal } from '../../lease/types.js';
import type { HeaderNames } from '../../model/header-names.js';
import { findHeader, withoutHeaders } from '../caller/header-rules.js';
import { retryAfterMillis } from './answer-head.js';
import type { OutgoingRequest, UpstreamProtocol } from './upstream-protocol.js';

const MISDIRECTED_REQUEST = 421;
/** Leading numbers of a load report that count as outstanding: running and waiting requests. */
const OUTSTANDING_COUNTS = 2;

export function createAnnouncedProtocol(names: HeaderNames): UpstreamProtocol {
  const ownHeaders = [names.requestId, names.deadline, names.instance, names.key];
  const sentIdOf = ({ exchange, attemptId }: OutgoingRequest): string => exchange.head.requestId ?? attemptId;
  return {
    acceptsUnframed: true,
    requestHeaders: (request) => {
      const { effect, exchange } = request;
      const deadline = String(Math.max(1, Math.floor(effect.deadlineMillis)));
      return [
        ...withoutHeaders(exchange.forwardedHeaders(), ownHeaders),
        ...[names.requestId, sentIdOf(request)],
        ...[names.deadline, deadline],
        ...[names.instance, effect.instance ?? ''],
        ...(exchange.head.key === null ? [] : [names.key, exchange.head.key]),
      ];
    },
    idOf: (headers) => findHeader(headers, names.requestId) ?? null,
    sharedIdOf: sentIdOf,
    isAnswerTo: (request, headers) => findHeader(headers, names.requestId) === sentIdOf(request),
    refusalOf: ({ status, headers }) => {
      const isMarked = findHeader(headers, names.notRun) !== undefined;
      if (!isMarked && status !== MISDIRECTED_REQUEST) {
        return null;
      }
      const refusal = refusalOfStatus(status, isMarked);
      return { type: 'refused', refusal, retryAfterMillis: retryAfterMillis(headers) };
    },
    loadOf: (headers) => parseLoad(findHeader(headers, names.load)),
  };
}

/** A run that doesn't own the key marks its answer; another run at the same address doesn't. */
function refusalOfStatus(status: number, isMarked: boolean): FenceRefusal {
  if (status !== MISDIRECTED_REQUEST) {
    return 'overloaded';
  }
  return isMarked ? 'not-owner' : 'other-incarnation';
}

function parseLoad(text: string | undefined): number | null {
  if (text === undefined) {
    return null;
  }
  const parts = text.split(',', OUTSTANDING_COUNTS).map(Number);
  const outstanding = parts.reduce((sum, part) => sum + part, 0);
  return Number.isFinite(outstanding) && outstanding >= 0 ? outstanding : null;
}
