/** Parameters of a modelled upstream. */
export interface UpstreamTraits {
  /** Requests processed concurrently. */
  readonly slots: number;
  /** Maximum number of requests that wait for a slot; further requests are shed. */
  readonly queueLimit: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  readonly connectMillis: number;
  /** Time for which a probe occupies a slot, if one is free. */
  readonly probeMillis: number;
  /** Mean processing time of a request when warm; log-normal. */
  readonly serviceMillis: number;
  /** Standard deviation of the logarithm of request times. */
  readonly sigma: number;
  /** Period after a restart over which request times fall linearly to their usual values. */
  readonly coldMillis: number;
  /** Factor on the time of the first request after a restart. */
  readonly coldFactor: number;
  /** Time to load the state of one shard; requests for a shard granted cold wait for it. */
  readonly shardLoadMillis: number;
  /** Age of the load reported in answers. */
  readonly loadLagMillis: number;
}

/** Assumed values of traits that a deployment doesn't define; the same in every arm of an experiment. */
export const ASSUMED_TRAITS = {
  queueLimit: 32,
  sigma: 0.5,
  coldMillis: 2000,
  coldFactor: 3,
  shardLoadMillis: 300,
  loadLagMillis: 0,
} as const;
