/** A heartbeat that an upstream sent and that didn't come late, as the leader's work on ranges sees it. */
import type { HeldKeys } from '../../model/held-keys.js';
import type { UpstreamId, WallMillis } from '../../model/identifiers.js';

export interface HeardHeartbeat {
  readonly upstream: UpstreamId;
  /** Start of its run by its own clock; `null`: only the id names the run. */
  readonly born: WallMillis | null;
  /** Which keys it holds; `null`: it doesn't say. */
  readonly report: HeldKeys | null;
}
