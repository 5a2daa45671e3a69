/** Limits the records written per event and second, and counts the dropped ones. */

const SECOND_MILLIS = 1000;

interface EventCount {
  written: number;
  dropped: number;
}

export class RecordBudget {
  #counts = new Map<string, EventCount>();
  #since = Number.NEGATIVE_INFINITY;

  /** `maxPerSecond` applies to each event. */
  constructor(private readonly maxPerSecond: number) {}

  /** Returns whether a record may be written; if not, counts it as dropped. */
  tryTake(event: string): boolean {
    const count = this.#counts.get(event) ?? { written: 0, dropped: 0 };
    this.#counts.set(event, count);
    if (count.written >= this.maxPerSecond) {
      count.dropped += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  /** Returns whether a sample may be written; if not, it isn't counted as dropped. */
  tryTakeSample(event: string, maxPerSecond: number): boolean {
    return (this.#counts.get(event)?.written ?? 0) < maxPerSecond && this.tryTake(event);
  }

  /** Starts a new second when the previous one is over; returns the records dropped in that one, by event. */
  startSecond(now: number): Readonly<Record<string, number>> | null {
    if (now - this.#since < SECOND_MILLIS) {
      return null;
    }
    this.#since = now;
    const dropped = [...this.#counts].filter(([, count]) => count.dropped > 0);
    this.#counts = new Map();
    return dropped.length === 0
      ? null
      : Object.fromEntries(dropped.map(([event, count]) => [event, count.dropped]));
  }
}
