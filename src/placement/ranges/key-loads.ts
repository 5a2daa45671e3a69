/** Load of single numeric keys, from reports of routers; older reports count for less. */
import { type KeySpan, LARGEST_KEY } from '../../model/key-range.js';

/** Loads lose half of their weight in this time. */
const HALF_LIFE_MILLIS = 3000;
/** How often the loss is applied. */
const DECAY_STEP_MILLIS = 500;
/** Reports of a second add up to this many times a second's work once they are steady. */
const STEADY_SUM_SECONDS = HALF_LIFE_MILLIS / Math.LN2 / 1000;
/** The first reports stand for this long at least. */
const LEAST_SPAN_MILLIS = 1000;

export class KeyLoads {
  readonly #works = new Float64Array(LARGEST_KEY + 1);
  #total = 0;
  #decayedAt: number | null = null;
  /** When the first report came, and the latest. */
  #firstAt: number | null = null;
  #latestAt = 0;

  /** Work in milliseconds that was done for a key since the last report. */
  add(key: number, workMillis: number, now: number): void {
    this.#decay(now);
    this.#firstAt ??= now - LEAST_SPAN_MILLIS;
    this.#latestAt = now;
    this.#works[key] = (this.#works[key] ?? 0) + workMillis;
    this.#total += workMillis;
  }

  /** Work a second of a key, in milliseconds. */
  of(key: number): number {
    return (this.#works[key] ?? 0) / this.#sumSeconds();
  }

  /** Work a second of a span. */
  ofSpan({ from, to }: KeySpan): number {
    let sum = 0;
    for (let key = from; key <= to; key += 1) {
      sum += this.#works[key] ?? 0;
    }
    return sum / this.#sumSeconds();
  }

  /** Work a second of all keys. */
  get total(): number {
    return this.#total / this.#sumSeconds();
  }

  /** How many times a second's work the sums are by now. */
  #sumSeconds(): number {
    const span = this.#latestAt - (this.#firstAt ?? this.#latestAt - LEAST_SPAN_MILLIS);
    return STEADY_SUM_SECONDS * (1 - 0.5 ** (span / HALF_LIFE_MILLIS));
  }

  #decay(now: number): void {
    this.#decayedAt ??= now;
    const elapsed = now - this.#decayedAt;
    if (elapsed < DECAY_STEP_MILLIS) {
      return;
    }
    this.#decayedAt = now;
    const kept = 0.5 ** (elapsed / HALF_LIFE_MILLIS);
    for (let key = 0; key <= LARGEST_KEY; key += 1) {
      this.#works[key] = (this.#works[key] ?? 0) * kept;
    }
    this.#total *= kept;
  }
}
