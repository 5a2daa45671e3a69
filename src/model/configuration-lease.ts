/** Timings of the configuration lease, which bounds how long a router serves without a quorum-confirmed refresh. */

/** `clockRateError` is the largest relative difference in rate between two clocks. */
export interface ConfigLeaseTimings {
  /** A router without a confirmed response for this long stops serving. */
  readonly configLeaseMillis: number;
  readonly syncMillis: number;
  readonly clockRateError: number;
}

/** A partitioned router stops within 1.8 s, so an accepted change is in effect everywhere within 2 s. */
export const DEFAULT_CONFIG_LEASE_TIMINGS: ConfigLeaseTimings = {
  configLeaseMillis: 1800,
  syncMillis: 400,
  clockRateError: 0.005,
};
