/** One line of each keyed service: who owns its shards, how evenly its load is spread, and how often owners change. */
import type { ServiceMeasures } from '../../control/service-measures.js';
import type { StatusView } from './status-view.js';

function ratio(value: number | null): string {
  return value === null ? '-' : value.toFixed(2);
}

/** Fields are named as in the glossary; a dash stands for what isn't known. */
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

/** Lines in the order of names; none without a leader, which alone measures. */
export function serviceLines({ leader }: StatusView): string[] {
  return servicesOf(leader).map(lineOf);
}

/** Measures in the order of names. */
export function servicesOf(leader: StatusView['leader']): readonly ServiceMeasures[] {
  return [...(leader?.services ?? [])].sort((left, right) => (left.service < right.service ? -1 : 1));
}
