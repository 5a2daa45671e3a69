/**
 * A change that was reported to an operator as in force everywhere is applied by each serving router, is returned by
 * each later read, and is never reverted.
 */
import type { FleetEventRecord } from '../../journal/records.js';
import type { FleetHistory } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

type EventOf<Kind extends FleetEventRecord['event']> = Extract<FleetEventRecord, { readonly event: Kind }>;

function eventsOf<Kind extends FleetEventRecord['event']>(
  history: FleetHistory,
  kind: Kind,
): readonly EventOf<Kind>[] {
  return history.events.filter((event): event is EventOf<Kind> => event.event === kind);
}

/** Finds reads of a service's value that return less than an earlier read, or than a change already in force. */
function checkReads(history: FleetHistory): Violation[] {
  const inForce = eventsOf(history, 'change-in-force');
  const reads = eventsOf(history, 'change-read');
  return reads.flatMap((read, index) => {
    const accepted = inForce.filter(({ service, at }) => service === read.service && at <= read.since);
    const earlier = reads.slice(0, index).filter(({ service }) => service === read.service);
    const minimum = Math.max(0, ...accepted.map(({ value }) => value), ...earlier.map(({ value }) => value));
    if (read.value >= minimum) {
      return [];
    }
    const message = `${read.service} went back: ${read.value} was read after ${minimum}`;
    return [{ promise: 'configuration-kept' as const, message, at: read.at }];
  });
}

/** Finds routers that serve a lower revision than one in force before their status was read. */
function checkRouters(history: FleetHistory): Violation[] {
  const inForce = eventsOf(history, 'change-in-force');
  return eventsOf(history, 'router-read').flatMap((read) => {
    const accepted = inForce.filter(({ at }) => at <= read.since).map(({ revision }) => revision);
    const minimum = Math.max(0, ...accepted);
    if (!read.serving || read.revision >= minimum) {
      return [];
    }
    const message = `${read.router} serves revision ${read.revision} although ${minimum} is in force everywhere`;
    return [{ promise: 'configuration-kept' as const, message, at: read.at }];
  });
}

export function checkConfiguration(history: FleetHistory): PromiseResult {
  const violations = [...checkReads(history), ...checkRouters(history)];
  const checked = eventsOf(history, 'change-in-force').length;
  return { promise: 'configuration-kept', checked, violations };
}
