/** Cost of the steps of a control core, summed up each second: distinguishes a busy member from one that waits for others. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { ControlInput } from '../types.js';

/** Minimum time that a report covers. */
const REPORT_MILLIS = 1000;

/** Times in milliseconds. */
export interface StepReport {
  /** Time since the previous report. */
  readonly spanMillis: number;
  readonly steps: number;
  /** Time spent in steps, effects included. */
  readonly busyMillis: number;
  readonly longestMillis: number;
  /** Input of the longest step. */
  readonly longestInput: ControlInput['type'] | null;
  /** Maximum delay of a timer, which shows how long events wait in the event loop. */
  readonly lateMillis: number;
}

export class StepMeter {
  #since: MonotonicMillis;
  #steps = 0;
  #busyMillis = 0;
  #longestMillis = 0;
  #longestInput: ControlInput['type'] | null = null;
  #lateMillis = 0;

  constructor(now: MonotonicMillis) {
    this.#since = now;
  }

  recordStep(input: ControlInput['type'], startedAt: MonotonicMillis, endedAt: MonotonicMillis): void {
    const durationMillis = endedAt - startedAt;
    this.#steps += 1;
    this.#busyMillis += durationMillis;
    if (durationMillis > this.#longestMillis) {
      this.#longestMillis = durationMillis;
      this.#longestInput = input;
    }
  }

  /** Records the delay of a timer that was due at `dueAt` and fired now. */
  recordTimerDelay(dueAt: MonotonicMillis, now: MonotonicMillis): void {
    this.#lateMillis = Math.max(this.#lateMillis, now - dueAt);
  }

  /** Returns the report on the time since the previous one, and starts the next; `null` if too little time has passed. */
  takeReport(now: MonotonicMillis): StepReport | null {
    const spanMillis = now - this.#since;
    if (spanMillis < REPORT_MILLIS) {
      return null;
    }
    const report = {
      spanMillis,
      steps: this.#steps,
      busyMillis: this.#busyMillis,
      longestMillis: this.#longestMillis,
      longestInput: this.#longestInput,
      lateMillis: this.#lateMillis,
    };
    this.#since = now;
    this.#steps = 0;
    this.#busyMillis = 0;
    this.#longestMillis = 0;
    this.#longestInput = null;
    this.#lateMillis = 0;
    return report;
  }
}
