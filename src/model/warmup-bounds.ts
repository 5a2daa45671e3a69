/** How far all routers together may exceed the limit of a cold upstream in any second: a factor plus a number of requests. */
export interface WarmupBounds {
  readonly overrunFactor: number;
  readonly marginRequests: number;
}

export const DEFAULT_WARMUP_BOUNDS: WarmupBounds = { overrunFactor: 1.5, marginRequests: 4 };
