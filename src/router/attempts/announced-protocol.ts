/**
 * The protocol of upstreams that announce themselves and know nothing of ternmount's library: the caller's own request,
 * with the time that is left and the run that it is meant for. Only an answer that says so was not run.
 */
import type { FenceRefusal } from '../../lease/types.js';
import type { HeaderNames } from '../../model/header-names.js';
import { findHeader, withoutHeaders } from '../caller/header-rules.js';
import { retryAfterMillis } from './answer-head.js';
import type { OutgoingRequest, UpstreamProtocol } from './upstream-protocol.js';

const MISDIRECTED_REQUEST = 421;
/** Parts of a load report that count as outstanding: running and waiting. */
const OUTSTANDING_PARTS = 2;

export function createAnnouncedProtocol(names: HeaderNames): UpstreamProtocol {
  const own = [names.requestId, names.deadline, names.instance, names.key];
  const idOf = ({ exchange, attemptId }: OutgoingRequest): string => exchange.head.requestId ?? attemptId;
  return {
    takesUnframed: true,
    requestHeaders: (request) => {
      const { effect, exchange } = request;
      const deadline = String(Math.max(1, Math.floor(effect.deadlineMillis)));
      return [
        ...withoutHeaders(exchange.forwardedHeaders(), own),
        ...[names.requestId, idOf(request)],
        ...[names.deadline, deadline],
        ...[names.instance, effect.instance ?? ''],
        ...(exchange.head.key === null ? [] : [names.key, exchange.head.key]),
      ];
    },
    isAnswerTo: (request, headers) => findHeader(headers, names.requestId) === idOf(request),
    refusalOf: ({ status, headers }) => {
      const isMarked = findHeader(headers, names.notRun) !== undefined;
      if (!isMarked && status !== MISDIRECTED_REQUEST) {
        return null;
      }
      const refusal = refusalOfStatus(status, isMarked);
      return { type: 'refused', refusal, retryAfterMillis: retryAfterMillis(headers) };
    },
    loadOf: (headers) => readLoad(findHeader(headers, names.load)),
  };
}

/** An owner that lacks the key marks its answer; another run at the address doesn't. */
function refusalOfStatus(status: number, isMarked: boolean): FenceRefusal {
  if (status !== MISDIRECTED_REQUEST) {
    return 'overloaded';
  }
  return isMarked ? 'not-owner' : 'other-incarnation';
}

function readLoad(text: string | undefined): number | null {
  if (text === undefined) {
    return null;
  }
  const parts = text.split(',', OUTSTANDING_PARTS).map(Number);
  const outstanding = parts.reduce((sum, part) => sum + part, 0);
  return Number.isFinite(outstanding) && outstanding >= 0 ? outstanding : null;
}
