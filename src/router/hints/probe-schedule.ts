/**
 * Decides which upstream a router probes next. A probe costs an upstream time and the router a request, and there may be a
 * thousand upstreams and a thousand routers. Upstreams are therefore probed round-robin at even intervals, and at a lower
 * rate the more there are.
 */
import type { UpstreamId } from '../../model/identifiers.js';

export interface ProbeScheduleOptions {
  /** Interval between two probes of an upstream while there are few upstreams. */
  readonly intervalMillis: number;
  /** Returns a number from 0 to below 1; spreads the probes of many routers. */
  readonly random: () => number;
}

/**
 * Maximum number of upstreams that are probed at the full rate. Above it, the interval grows with the square of their
 * number, so that a router sends fewer probes a second: the more upstreams there are, the more routers probe each of them,
 * and the less a probe adds to what a router learns from its own requests.
 */
const FULL_RATE_UPSTREAMS = 40;
/** Delays between probes vary by this share in either direction. */
const JITTER_SHARE = 0.25;

export class ProbeSchedule {
  /** In the order of their probes. */
  private turns: readonly UpstreamId[] = [];
  private nextIndex = 0;

  constructor(private readonly options: ProbeScheduleOptions) {}

  /** Replaces the upstreams; the first probe goes to a random one. */
  replace(upstreams: Iterable<UpstreamId>): void {
    this.turns = [...upstreams];
    this.nextIndex = Math.floor(this.options.random() * this.turns.length);
  }

  /** Returns the upstream to probe now, or `undefined` if there is none. */
  next(): UpstreamId | undefined {
    const upstream = this.turns[this.nextIndex];
    this.nextIndex = this.nextIndex + 1 < this.turns.length ? this.nextIndex + 1 : 0;
    return upstream;
  }

  /** Time until the next probe. */
  nextDelayMillis(): number {
    const { intervalMillis, random } = this.options;
    const count = Math.max(1, this.turns.length);
    const slowdown = Math.max(1, count / FULL_RATE_UPSTREAMS) ** 2;
    const delay = (intervalMillis * slowdown) / count;
    return delay * (1 + JITTER_SHARE * (2 * random() - 1));
  }
}
