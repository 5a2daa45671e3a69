/**
 * Which upstream a router probes next. A probe costs an upstream time and the router a request, and there may be a
 * thousand of each: upstreams take turns, evenly spread, at a rate that doesn't grow with their number.
 */
import type { UpstreamId } from '../../model/identifiers.js';

export interface ProbeScheduleOptions {
  /** Time between two probes of an upstream, if the bound allows. */
  readonly intervalMillis: number;
  /** Probes of all upstreams together. */
  readonly maxPerSecond: number;
  /** 0 to below 1; spreads probes of many routers. */
  readonly random: () => number;
}

const MILLIS_PER_SECOND = 1000;
/** Gaps vary by this share either way. */
const JITTER = 0.25;

export class ProbeSchedule {
  /** In the order of their turns. */
  private turns: readonly UpstreamId[] = [];
  private next = 0;

  constructor(private readonly options: ProbeScheduleOptions) {}

  /** Takes turns over these upstreams from now on, beginning anywhere. */
  replace(upstreams: Iterable<UpstreamId>): void {
    this.turns = [...upstreams];
    this.next = Math.floor(this.options.random() * this.turns.length);
  }

  /** The upstream whose turn it is; `undefined` if there is none. */
  take(): UpstreamId | undefined {
    const upstream = this.turns[this.next];
    this.next = this.next + 1 < this.turns.length ? this.next + 1 : 0;
    return upstream;
  }

  /** Time until the next turn. */
  gapMillis(): number {
    const { intervalMillis, maxPerSecond, random } = this.options;
    const shared = intervalMillis / Math.max(1, this.turns.length);
    const gap = Math.max(shared, MILLIS_PER_SECOND / maxPerSecond);
    return gap * (1 + JITTER * (2 * random() - 1));
  }
}
