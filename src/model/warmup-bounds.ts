/** How far all routers together may go beyond what a cold upstream bears, in any second: by a factor and a number of requests. */
export interface WarmupBounds {
  readonly overrunFactor: number;
  readonly marginRequests: number;
}

export const DEFAULT_WARMUP_BOUNDS: WarmupBounds = { overrunFactor: 1.5, marginRequests: 4 };
