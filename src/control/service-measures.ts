/** What is measured of a keyed service while it runs, as the leader tells it. */
import type { ServiceName } from '../model/identifiers.js';
import type { OwnershipCounts } from './ownership-measures.js';

/** How evenly the load is spread over the upstreams that may take shards; planned moves count as made. */
export interface ImbalanceMeasure {
  /** Largest load of an upstream divided by the mean; `null`: next to no load, or none heard of lately. */
  readonly imbalance: number | null;
  /** Largest load divided by the lower bound max(mean, hottest shard). */
  readonly imbalanceOverBound: number | null;
  /** How long it has been above what a spread of whole shards can keep to; `null`: it isn't. */
  readonly imbalancedSinceMillis: number | null;
}

/** One keyed service. Counts are of this leadership. */
export interface ServiceMeasures extends OwnershipCounts, ImbalanceMeasure {
  readonly service: ServiceName;
  readonly ownedShards: number;
  readonly unownedShards: number;
}
