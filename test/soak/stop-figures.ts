/** Figures of the requests that a soak's planned stops met. */
import { GRACE_MILLIS } from './judge.js';
import { DISTURBANCE, type RequestRecord, type SoakRecords } from './records.js';

/** By then a router has heard of its planned stop, also if it was held up. */
const HEARD_MILLIS = 2000;
/** A killed process ends its connections a moment later. */
const END_SLACK_MILLIS = 100;

export interface StopFigures {
  /** Requests sent after a SIGTERM of their router, within its grace time. */
  readonly sentInStops: number;
  /** Of these, those that the router answered by itself. */
  readonly refusedInStops: number;
  /** Requests that ran and whose connection ended in a planned stop without an answer, whether the rule counts them or not. */
  readonly unansweredInStops: number;
  /** Requests sent before a planned stop and answered in it on a connection that stayed open, though none came behind them. */
  readonly keptInStops: readonly string[];
}

export function stopFigures({ requests, runs, disturbances }: SoakRecords): StopFigures {
  const stops = disturbances.filter(({ kind }) => kind === DISTURBANCE.term);
  const ran = new Set(runs.map(({ id }) => id));
  const isInStop = (router: string, at: number): boolean =>
    stops.some(
      ({ process, from }) => process === router && at >= from && at <= from + GRACE_MILLIS + END_SLACK_MILLIS,
    );
  const sent = requests.filter(({ router, sentAt }) => isInStop(router, sentAt));
  const isUnanswered = ({ id, router, endedAt, isHalfClosed }: RequestRecord): boolean =>
    endedAt !== null && !isHalfClosed && ran.has(id) && isInStop(router, endedAt);
  const isKept = ({ router, sentAt, answer, isLast, isHalfClosed }: RequestRecord): boolean =>
    answer !== null &&
    !answer.closes &&
    isLast &&
    !isHalfClosed &&
    stops.some(
      ({ process, from }) => process === router && sentAt < from && answer.at >= from + HEARD_MILLIS,
    );
  return {
    sentInStops: sent.length,
    refusedInStops: sent.filter(({ answer }) => answer?.isSealed === false).length,
    unansweredInStops: requests.filter(isUnanswered).length,
    keptInStops: requests.filter(isKept).map(({ id }) => id),
  };
}
