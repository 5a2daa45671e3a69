/** What a model of an upstream is made from. */
export interface UpstreamTraits {
  /** Requests worked on at once. */
  readonly slots: number;
  /** Requests that may wait for a slot; one more is shed. */
  readonly queueLimit: number;
  /** Connections accepted. */
  readonly connections: number;
  readonly connectMillis: number;
  /** A probe takes a slot for this long, if one is free. */
  readonly probeMillis: number;
  /** Mean time of one request when warm; log-normal. */
  readonly serviceMillis: number;
  /** Spread of the logarithm of request times. */
  readonly sigma: number;
  /** After a restart request times fall in a straight line to the usual ones over this time. */
  readonly coldMillis: number;
  /** How many times longer the first request after a restart takes. */
  readonly coldFactor: number;
  /** Time to load the state of one shard; requests of a shard granted cold wait for it. */
  readonly shardLoadMillis: number;
  /** Age of the load that answers report. */
  readonly loadLagMillis: number;
}

/** Assumed where a deployment says nothing; the same in every arm of an experiment. */
export const ASSUMED_TRAITS = {
  queueLimit: 32,
  sigma: 0.5,
  coldMillis: 2000,
  coldFactor: 3,
  shardLoadMillis: 300,
  loadLagMillis: 0,
} as const;
