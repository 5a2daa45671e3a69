/**
 * A change that an operator was told is in force everywhere is applied by each router that serves, is found by each
 * later read, and never goes back.
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

/** Reads of a service's number that give less than an earlier read, or than a change in force before them. */
function checkReads(history: FleetHistory): Violation[] {
  const inForce = eventsOf(history, 'change-in-force');
  const reads = eventsOf(history, 'change-read');
  return reads.flatMap((read, index) => {
    const accepted = inForce.filter(({ service, at }) => service === read.service && at <= read.since);
    const earlier = reads.slice(0, index).filter(({ service }) => service === read.service);
    const least = Math.max(0, ...accepted.map(({ value }) => value), ...earlier.map(({ value }) => value));
    if (read.value >= least) {
      return [];
    }
    const message = `${read.service} went back: ${read.value} was read after ${least}`;
    return [{ promise: 'configuration-kept' as const, message, at: read.at }];
  });
}

/** Routers that serve with less than a revision in force before they were asked. */
function checkRouters(history: FleetHistory): Violation[] {
  const inForce = eventsOf(history, 'change-in-force');
  return eventsOf(history, 'router-read').flatMap((read) => {
    const accepted = inForce.filter(({ at }) => at <= read.since).map(({ revision }) => revision);
    const least = Math.max(0, ...accepted);
    if (!read.serving || read.revision >= least) {
      return [];
    }
    const message = `${read.router} serves revision ${read.revision} although ${least} is in force everywhere`;
    return [{ promise: 'configuration-kept' as const, message, at: read.at }];
  });
}

export function checkConfiguration(history: FleetHistory): PromiseResult {
  const violations = [...checkReads(history), ...checkRouters(history)];
  const checked = eventsOf(history, 'change-in-force').length;
  return { promise: 'configuration-kept', checked, violations };
}
