/** A heartbeat of an upstream that did not arrive late, as used by the leader's range coordination. */
import type { HeldKeys } from '../../model/held-keys.js';
import type { UpstreamId, WallMillis } from '../../model/identifiers.js';

export interface ReceivedHeartbeat {
  readonly upstream: UpstreamId;
  /** Start of the upstream's run by its own clock; `null` if only the id identifies the run. */
  readonly born: WallMillis | null;
  /** Keys the upstream holds; `null` if it does not report them. */
  readonly report: HeldKeys | null;
}
