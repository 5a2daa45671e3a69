/**
 * One run of an upstream that is granted ranges in the responses to its heartbeats. It makes one call at a time and
 * abandons it after one second. Its holds start when it sent the heartbeat, by a clock as slow as the timings allow.
 */
import type { RangeTimings } from '../../src/lease/range-timings.js';
import type { GrantedKeys, HeldKeys, HeldSpan, ReleasedSpan } from '../../src/model/held-keys.js';
import type { UpstreamId } from '../../src/model/identifiers.js';
import type { KeySpan } from '../../src/model/key-range.js';

/** Longest time that work continues after its keys were revoked. */
export const MAX_WORK_MILLIS = 400;

interface HeldRow extends HeldSpan {
  readonly until: number;
}

/**
 * `cut`: cut off from control, while the upstream is live and holds its keys. `refused`: the same, by a device that refuses
 * connections. `dark`: its process doesn't run, and calls get no answer. `ended`: its process has ended, and connections to it
 * are refused.
 */
export type UpstreamCondition = 'up' | 'cut' | 'refused' | 'dark' | 'ended';

export class HeartbeatUpstream {
  condition: UpstreamCondition = 'up';
  leaving = false;
  /** Whether the report omits the held keys while there are none. */
  omitsEmptyHeld = false;
  sequence = 0;
  /** Handovers received with keys. */
  readonly handovers: string[] = [];
  #rows: HeldRow[] = [];
  /** Revoked keys on which work is still running. */
  #busyRows: HeldRow[] = [];
  #released: ReleasedSpan[] = [];
  /** Highest fences seen. */
  readonly #fences: HeldSpan[] = [];

  constructor(
    readonly id: UpstreamId,
    readonly address: string,
    private readonly timings: RangeTimings,
    private readonly random: () => number,
  ) {}

  /** Returns the report of the next heartbeat. */
  report(now: number): HeldKeys {
    this.#expire(now);
    this.sequence += 1;
    const held = [...this.#rows, ...this.#busyRows].map(({ from, to, fence }) => ({ from, to, fence }));
    const isLeftOut = this.omitsEmptyHeld && held.length === 0;
    return { sequence: this.sequence, held: isLeftOut ? null : held, released: [...this.#released] };
  }

  /** Applies a response that arrived in time. */
  applyResponse(report: HeldKeys, keys: GrantedKeys | null, sentAt: number, now: number): void {
    this.#expire(now);
    this.#released = this.#released.filter((release) => !report.released.includes(release));
    if (keys === null) {
      return;
    }
    const until = sentAt + keys.holdMillis * (1 + this.timings.clockRateError);
    const taken = keys.spans.filter((span) => !this.#hasSeenHigher(span));
    for (const row of this.#rows) {
      for (const remainder of subtract(row, taken)) {
        this.#release({ ...row, ...remainder }, now);
      }
    }
    this.#rows = taken.map(({ from, to, fence }) => ({ from, to, fence, until }));
    this.#fences.push(...this.#rows.filter((row) => !this.#fences.some((seen) => isSame(seen, row))));
    this.handovers.push(...keys.spans.flatMap(({ handover }) => handover ?? []));
  }

  /** Returns whether keys are being released, so that the next heartbeat is sent soon. */
  isReleasing(now: number): boolean {
    this.#expire(now);
    return this.#busyRows.length > 0 || this.#released.length > 0;
  }

  /** Whether its process runs. */
  get isAlive(): boolean {
    return this.condition !== 'dark' && this.condition !== 'ended';
  }

  /** Returns the spans that it would serve or still works on. */
  rowsAt(now: number): readonly HeldSpan[] {
    return this.isAlive ? [...this.#rows, ...this.#busyRows].filter(({ until }) => now < until) : [];
  }

  /** Returns whether it holds a key or still works on it. */
  holds(key: number, now: number): boolean {
    return this.rowsAt(now).some(({ from, to }) => from <= key && key <= to);
  }

  #release(row: HeldRow, now: number): void {
    const workMillis = this.random() < 0.5 ? 0 : this.random() * MAX_WORK_MILLIS;
    this.#busyRows.push({ ...row, until: now + workMillis });
  }

  /** Drops expired holds, which are not reported as released, and completes releases. */
  #expire(now: number): void {
    this.#rows = this.#rows.filter(({ until }) => until > now);
    const done = this.#busyRows.filter(({ until }) => until <= now);
    this.#busyRows = this.#busyRows.filter(({ until }) => until > now);
    this.#released.push(...done.map(({ from, to }) => ({ from, to, handover: `${this.id}:${from}-${to}` })));
  }

  #hasSeenHigher(span: HeldSpan): boolean {
    return this.#fences.some((seen) => seen.fence > span.fence && overlaps(seen, span));
  }
}

function isSame(one: HeldSpan, other: HeldSpan): boolean {
  return one.from === other.from && one.to === other.to && one.fence === other.fence;
}

function overlaps(one: KeySpan, other: KeySpan): boolean {
  return one.from <= other.to && other.from <= one.to;
}

/** Returns the parts of a span that no other span covers. */
function subtract(span: KeySpan, others: readonly KeySpan[]): KeySpan[] {
  return others.reduce<KeySpan[]>(
    (left, other) =>
      left.flatMap((part) =>
        [
          { from: part.from, to: Math.min(part.to, other.from - 1) },
          { from: Math.max(part.from, other.to + 1), to: part.to },
        ].filter(({ from, to }) => from <= to),
      ),
    [{ from: span.from, to: span.to }],
  );
}
