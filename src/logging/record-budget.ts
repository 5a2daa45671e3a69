/** Bounds how many records of one event are written a second; the others are counted. */

const SECOND_MILLIS = 1000;

interface EventCount {
  written: number;
  dropped: number;
}

export class RecordBudget {
  #counts = new Map<string, EventCount>();
  #since = Number.NEGATIVE_INFINITY;

  /** `most`: records of one event a second. */
  constructor(private readonly most: number) {}

  /** Whether one more record may be written now; if not, it is counted as dropped. */
  take(event: string): boolean {
    const count = this.#counts.get(event) ?? { written: 0, dropped: 0 };
    this.#counts.set(event, count);
    if (count.written >= this.most) {
      count.dropped += 1;
      return false;
    }
    count.written += 1;
    return true;
  }

  /** Whether one more of a few records that stand for many may be written now; those left out aren't missed. */
  takeSample(event: string, most: number): boolean {
    return (this.#counts.get(event)?.written ?? 0) < most && this.take(event);
  }

  /** Begins a new second if it is time; gives what was dropped in the one before, by event. */
  turn(now: number): Readonly<Record<string, number>> | null {
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
