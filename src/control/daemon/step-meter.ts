/** Cost of the steps of a control core, summed up each second: distinguishes a busy member from one that waits for others. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { ControlInput, CoreWork } from '../types.js';

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
  /** Part of the longest step that the core took; carrying out its effects took the rest. */
  readonly longestCoreMillis: number;
  /** Work of the core in the longest step. */
  readonly longestWork: CoreWork | null;
  /** Maximum delay of a timer, which shows how long events wait in the event loop. */
  readonly lateMillis: number;
  /** Longest time that a routine input waited for its step. */
  readonly longestWaitMillis: number;
  /** Number of heartbeats and load reports that were dropped because they had waited for too long. */
  readonly expiredInputs: number;
}

/** One step as measured: when it began, when the core had returned its effects, and when these were carried out. */
export interface MeasuredStep {
  readonly input: ControlInput['type'];
  readonly startedAt: MonotonicMillis;
  readonly returnedAt: MonotonicMillis;
  readonly endedAt: MonotonicMillis;
  /** Work of the core in this step. */
  readonly work: CoreWork;
}

export class StepMeter {
  #since: MonotonicMillis;
  #steps = 0;
  #busyMillis = 0;
  #longestMillis = 0;
  #longest: MeasuredStep | null = null;
  #lateMillis = 0;
  #longestWaitMillis = 0;
  #expiredInputs = 0;

  constructor(now: MonotonicMillis) {
    this.#since = now;
  }

  recordStep(step: MeasuredStep): void {
    const durationMillis = step.endedAt - step.startedAt;
    this.#steps += 1;
    this.#busyMillis += durationMillis;
    if (durationMillis > this.#longestMillis) {
      this.#longestMillis = durationMillis;
      this.#longest = step;
    }
  }

  /** Records the delay of a timer that was due at `dueAt` and fired now. */
  recordTimerDelay(dueAt: MonotonicMillis, now: MonotonicMillis): void {
    this.#lateMillis = Math.max(this.#lateMillis, now - dueAt);
  }

  /** Records how long a routine input waited, and whether it was dropped. */
  recordWait(waitedMillis: number, hasExpired: boolean): void {
    this.#longestWaitMillis = Math.max(this.#longestWaitMillis, waitedMillis);
    this.#expiredInputs += hasExpired ? 1 : 0;
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
      longestInput: this.#longest?.input ?? null,
      longestCoreMillis: this.#longest === null ? 0 : this.#longest.returnedAt - this.#longest.startedAt,
      longestWork: this.#longest?.work ?? null,
      lateMillis: this.#lateMillis,
      longestWaitMillis: this.#longestWaitMillis,
      expiredInputs: this.#expiredInputs,
    };
    this.#since = now;
    this.#steps = 0;
    this.#busyMillis = 0;
    this.#longestMillis = 0;
    this.#longest = null;
    this.#lateMillis = 0;
    this.#longestWaitMillis = 0;
    this.#expiredInputs = 0;
    return report;
  }
}
