/** The path over which a router reaches one upstream: its own, or that of another router. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import type { PathVerdict } from './path-check.js';

/** How long an upstream that was found to have ended is looked for with less effort. */
const ENDED_MILLIS = 3000;

/** A verdict by which the upstream itself, not the path, is at fault. */
export interface UpstreamFault {
  readonly verdict: PathVerdict;
  /** Whether as many peers were asked as may be. */
  readonly isThorough: boolean;
  /** Until when it counts. */
  readonly until: MonotonicMillis;
}

/** A direct path that is lost again within this time after it came back stays unused for longer. */
const RELAPSE_MILLIS = 5000;
const FIRST_STAY_MILLIS = 1000;
const MAX_STAY_MILLIS = 8000;

export class UpstreamPath {
  #relay: RelayPeer | null = null;
  #since: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #stayMillis = 0;
  /** The latest one. */
  upstreamFault: UpstreamFault | null = null;
  /** When nothing came back from the upstream over any path; `null`: something did since, or that wasn't tried. */
  outOfReachAt: MonotonicMillis | null = null;
  /** When the path in use was last found to work. */
  workedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** The router that carries the connections; `null`: the path is direct. */
  get relay(): RelayPeer | null {
    return this.#relay;
  }

  /** When the path in use was taken. */
  get since(): MonotonicMillis {
    return this.#since;
  }

  /** Whether the upstream was found to have ended not long ago. */
  wasEndedAt(now: MonotonicMillis): boolean {
    const fault = this.upstreamFault;
    return fault?.verdict.type === 'ended' && now < fault.until + ENDED_MILLIS;
  }

  /** Whether the direct path may be tried again: not at once if it was lost soon after it had come back. */
  mayReturn(now: MonotonicMillis): boolean {
    return this.#relay !== null && now >= this.#since + this.#stayMillis;
  }

  use(relay: RelayPeer | null, now: MonotonicMillis): void {
    if (this.#relay === null && relay !== null) {
      const isRelapse = now - this.#since < RELAPSE_MILLIS;
      const longerMillis = Math.max(FIRST_STAY_MILLIS, this.#stayMillis * 2);
      this.#stayMillis = isRelapse ? Math.min(MAX_STAY_MILLIS, longerMillis) : 0;
    }
    const isOtherKind = (this.#relay === null) !== (relay === null);
    this.#since = isOtherKind ? now : this.#since;
    this.#relay = relay;
  }
}
