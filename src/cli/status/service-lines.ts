/** Status lines of keyed services: shard ownership, load balance and rate of owner changes. */
import type { ServiceMeasures } from '../../control/service-measures.js';
import type { StatusView } from './status-view.js';

function ratio(value: number | null): string {
  return value === null ? '-' : value.toFixed(2);
}

/** Uses the terms of docs/GLOSSARY.md; prints a dash for an unknown value. */
function lineOf(measures: ServiceMeasures): string {
  const { service, ownedShards, unownedShards, ownerChangesLastMinute, imbalance, imbalanceOverBound } =
    measures;
  const parts = [
    `${ownedShards} shards owned, ${unownedShards} unowned`,
    `imbalance ${ratio(imbalance)} of the mean, ${ratio(imbalanceOverBound)} of the lower bound`,
    `${ownerChangesLastMinute} changes of owner in the last minute`,
  ];
  return `service/${service}: ${parts.join('; ')}`;
}

/** Returns one line per service, sorted by name; none without a leader, since only the leader measures. */
export function serviceLines({ leader }: StatusView): string[] {
  return sortedServices(leader).map(lineOf);
}

/** Returns the leader's measures, sorted by service name. */
export function sortedServices(leader: StatusView['leader']): readonly ServiceMeasures[] {
  return [...(leader?.services ?? [])].sort((left, right) => (left.service < right.service ? -1 : 1));
}
