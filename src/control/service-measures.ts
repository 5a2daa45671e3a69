/** Runtime measurements of a keyed service, as reported by the leader. */
import type { ServiceName } from '../model/identifiers.js';
import type { OwnershipCounts } from './ownership-measures.js';

/** How evenly the load is spread over the upstreams that may receive shards; planned moves count as complete. */
export interface ImbalanceMeasure {
  /** Largest load of an upstream divided by the mean; `null`: almost no load, or no recent report. */
  readonly imbalance: number | null;
  /** Largest load divided by the lower bound max(mean, hottest shard). */
  readonly imbalanceOverBound: number | null;
  /** How long the imbalance has been above what is achievable with whole shards; `null`: it isn't above. */
  readonly imbalancedSinceMillis: number | null;
}

/** Measurements of one keyed service. Counts start with this leadership. */
export interface ServiceMeasures extends OwnershipCounts, ImbalanceMeasure {
  readonly service: ServiceName;
  readonly ownedShards: number;
  readonly unownedShards: number;
}
