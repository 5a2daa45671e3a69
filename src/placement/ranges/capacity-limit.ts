/** Limit below the capacity of its slots that an upstream has reported. */
export interface CapacityLimit {
  /** Maximum requests per second; absent if the upstream reported no rate limit. */
  readonly perSecond?: number;
  /** Usable share of the capacity of its slots, 0 to 1; absent if all of it is usable. */
  readonly share?: number;
}
