/** Open-loop arrivals: a Poisson process whose rate follows a table that is fixed before the load starts. */
import type { RandomSource } from '../../virtual/random-source.js';
import type { RatePoint } from './caller-settings.js';

const MILLIS_PER_SECOND = 1000;
/** Length of a step while the rate is 0. */
const IDLE_STEP_MILLIS = 10;

/** Generates arrival times, in milliseconds from the start of the load. */
export class ArrivalSchedule {
  readonly #rates: readonly RatePoint[];
  readonly #random: RandomSource;
  #next = 0;

  constructor(rates: readonly RatePoint[], random: RandomSource) {
    this.#rates = [...rates].sort((left, right) => left.fromSeconds - right.fromSeconds);
    this.#random = random;
    this.#advance();
  }

  /** Returns the times of all arrivals up to `elapsedMillis` that weren't returned before. */
  takeDue(elapsedMillis: number): number[] {
    const due: number[] = [];
    while (this.#next <= elapsedMillis) {
      if (this.#rateAt(this.#next) > 0) {
        due.push(this.#next);
      }
      this.#advance();
    }
    return due;
  }

  #advance(): void {
    const rate = this.#rateAt(this.#next);
    const step = rate > 0 ? this.#random.exponential(MILLIS_PER_SECOND / rate) : IDLE_STEP_MILLIS;
    this.#next += step;
  }

  #rateAt(millis: number): number {
    let rate = 0;
    for (const point of this.#rates) {
      if (point.fromSeconds * MILLIS_PER_SECOND <= millis) {
        rate = point.requestsPerSecond;
      }
    }
    return rate;
  }
}
