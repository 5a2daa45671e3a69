/** Times of the configuration lease: how long a router may serve without a quorum-confirmed refresh. */

/** Times in milliseconds; `clockRateError`: largest share by which two clocks differ in rate. */
export interface ConfigLeaseTimings {
  /** A router that heard nothing confirmed for this long serves nothing. */
  readonly configLeaseMillis: number;
  readonly syncMillis: number;
  readonly clockRateError: number;
}

/** A cut router stops within 1.8 s, so that an accepted change holds everywhere within 2 s. */
export const DEFAULT_CONFIG_LEASE_TIMINGS: ConfigLeaseTimings = {
  configLeaseMillis: 1800,
  syncMillis: 400,
  clockRateError: 0.005,
};
