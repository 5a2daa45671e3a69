/**
 * Routers comply with the limits, back-offs and draining that upstreams report. Uses the rules of the simulation's
 * checker. Limits and back-offs aren't checked while routers are frozen or zones are cut, and for some time after.
 */

import { BackoffRule } from '../../checker/backoff-rule.js';
import { DrainNoticeRule } from '../../checker/drain-notice-rule.js';
import type { HistoryEvent } from '../../checker/history.js';
import { LimitRule } from '../../checker/limit-rule.js';
import type { Rule } from '../../checker/rule.js';
import type { FleetEventRecord } from '../../journal/records.js';
import type { FleetHistory, NeedRecord } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

/** Time after a disturbance in which limits and back-offs aren't checked. */
const EXCUSED_MILLIS = 4500;
const DISTURBANCES: ReadonlySet<FleetEventRecord['event']> = new Set(['frozen', 'thawed', 'cut', 'healed']);

export function checkNeedsHeeded({ needs, attempts, events }: FleetHistory): PromiseResult {
  const disturbances = events.filter(({ event }) => DISTURBANCES.has(event)).map(({ at }) => at);
  const sentAtByRequest = new Map(attempts.map(({ routerRequest, sentAt }) => [routerRequest, sentAt]));
  const rules: readonly Rule[] = [new LimitRule(), new BackoffRule(), new DrainNoticeRule()];
  const violations: Violation[] = [];
  for (const record of needs) {
    for (const event of eventsOf(record, sentAtByRequest, disturbances)) {
      const ruleViolations = rules.flatMap((rule) => rule.check(event));
      violations.push(
        ...ruleViolations.map(({ message, at }) => ({ promise: 'needs-heeded' as const, message, at })),
      );
    }
  }
  return { promise: 'needs-heeded', checked: needs.length, violations };
}

function eventsOf(
  record: NeedRecord,
  sentAtByRequest: ReadonlyMap<string | null, number>,
  disturbances: readonly number[],
): HistoryEvent[] {
  const { at, routerRequest, upstream: name, incarnation } = record;
  const { limitPerSecond, restMillis, isLeaving } = record;
  const upstream = `${name}/${incarnation}`;
  const router = routerOf(routerRequest);
  if (record.type === 'need-said') {
    return [
      { type: 'notice-given', at, answeredAt: at, router, upstream, limitPerSecond, restMillis, isLeaving },
    ];
  }
  const lastDisturbance = disturbances.filter((time) => time <= at).at(-1) ?? Number.NEGATIVE_INFINITY;
  const isExcused = at - lastDisturbance < EXCUSED_MILLIS;
  const send = routerRequest ?? '';
  const arrival = {
    at,
    router,
    upstream,
    send,
    runningSince: lastDisturbance,
    limitPerSecond,
    isExcused,
  } as const;
  const requestSent: HistoryEvent = {
    type: 'request-sent',
    at: sentAtByRequest.get(routerRequest) ?? at,
    send,
    service: '',
    content: '',
    idempotencyKey: null,
    repeatable: true,
    mayShareAnswer: true,
    answerDueAt: Number.POSITIVE_INFINITY,
  };
  return [requestSent, { type: 'needy-upstream-reached', ...arrival }];
}

/** Returns the run of a router that a router request id belongs to. */
function routerOf(routerRequest: string | null): string {
  const id = routerRequest ?? '';
  return id.slice(0, Math.max(0, id.lastIndexOf('.')));
}
