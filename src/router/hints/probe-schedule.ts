/**
 * Which upstream a router probes next. A probe costs an upstream time and the router a request, and there may be a
 * thousand of each: upstreams take turns, evenly spread, ever fewer a second with their number.
 */
import type { UpstreamId } from '../../model/identifiers.js';

export interface ProbeScheduleOptions {
  /** Time between two probes of an upstream while there are few upstreams. */
  readonly intervalMillis: number;
  /** 0 to below 1; spreads probes of many routers. */
  readonly random: () => number;
}

/**
 * Upstreams that are probed at the full rate. With more of them the interval grows with the square of their number, so
 * that a router probes ever fewer a second: the more upstreams there are, the more routers ask each of them, and the less
 * a probe tells beside the requests that a router sends by itself.
 */
const FULL_RATE_UPSTREAMS = 40;
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
    const { intervalMillis, random } = this.options;
    const upstreams = Math.max(1, this.turns.length);
    const thinning = Math.max(1, upstreams / FULL_RATE_UPSTREAMS) ** 2;
    const gap = (intervalMillis * thinning) / upstreams;
    return gap * (1 + JITTER * (2 * random() - 1));
  }
}
