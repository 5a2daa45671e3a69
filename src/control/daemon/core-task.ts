/**
 * Task that owns the control core: one input at a time, effects executed in order, ticks when they are due. Urgent inputs are handled
 * when they arrive; routine ones for a short time in each turn of the event loop, so that urgent ones are read between them.
 */
import { toError } from '../../errors/ternmount-error.js';
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { ControlCore, ControlEffect, ControlInput, CoreWork } from '../types.js';
import { InputQueue, isUrgent } from './input-queue.js';
import { StepMeter, type StepReport } from './step-meter.js';

/** Minimum delay of a tick, so that a deadline in the past can't keep the process busy. */
const MIN_TICK_DELAY_MILLIS = 1;
/** Time for routine inputs in one turn of the event loop. */
const ROUTINE_MILLIS_PER_TURN = 25;
/** How often the delay of the event loop is measured. */
const DELAY_INTERVAL_MILLIS = 100;

export class CoreTask {
  private readonly inputs = new InputQueue();
  private nextTurn: NodeJS.Immediate | undefined;
  private timer: NodeJS.Timeout | undefined;
  private delayTimer: NodeJS.Timeout | undefined;
  private stepping = false;
  private stopped = false;
  private readonly meter = new StepMeter(performance.now());

  constructor(
    private readonly core: ControlCore,
    private readonly onEffect: (effect: ControlEffect) => void,
    /** Called when the core threw: its state is unreliable from then on. */
    private readonly onFailure: (error: Error) => void,
    /** Called about every second with the cost of the steps. */
    private readonly onReport: (report: StepReport) => void = () => {},
  ) {}

  /** Starts ticks and delay measurements. */
  start(): void {
    this.probe(performance.now());
    this.post({ type: 'tick' });
  }

  /** Passes an input to the core; effects of inputs that were handled earlier are executed first. */
  post(input: ControlInput): void {
    if (this.stopped) {
      return;
    }
    this.inputs.add(input, performance.now());
    if (!isUrgent(input)) {
      this.scheduleTurn();
    } else if (!this.stepping) {
      this.run(() => this.handleUrgent());
    }
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.delayTimer);
    clearImmediate(this.nextTurn);
  }

  private scheduleTurn(): void {
    if (this.stopped) {
      return;
    }
    this.nextTurn ??= setImmediate(() => {
      this.nextTurn = undefined;
      this.run(() => this.handleTurn());
    });
  }

  private handleUrgent(): void {
    for (let input = this.inputs.takeUrgent(); input !== undefined; input = this.inputs.takeUrgent()) {
      this.step(input);
    }
  }

  private handleTurn(): void {
    const end = performance.now() + ROUTINE_MILLIS_PER_TURN;
    for (let now = performance.now(); now < end && !this.stopped; now = performance.now()) {
      const taken = this.inputs.takeRoutine(now);
      if (taken === undefined) {
        break;
      }
      this.meter.recordWait(taken.waitedMillis, taken.hasExpired);
      if (taken.hasExpired) {
        this.dismiss(taken.input);
      } else {
        this.step(taken.input);
      }
      this.handleUrgent();
    }
    if (this.inputs.hasRoutine) {
      this.scheduleTurn();
    }
  }

  /** Answers an input that is too old to be handled, if it is a request. */
  private dismiss(input: ControlInput): void {
    if (input.type === 'operator-request') {
      this.onEffect({ type: 'answer-operator', operation: input.operation, response: { type: 'unknown' } });
    }
  }

  private run(handle: () => void): void {
    this.stepping = true;
    try {
      handle();
    } catch (thrown) {
      this.stop();
      this.onFailure(toError(thrown));
    } finally {
      this.stepping = false;
    }
    this.schedule();
  }

  private step(input: ControlInput): void {
    const workBefore = this.core.work();
    const startedAt = performance.now();
    const effects = this.core.step(input, startedAt, Date.now());
    const returnedAt = performance.now();
    for (const effect of effects) {
      this.onEffect(effect);
    }
    const endedAt = performance.now();
    const work = workSince(workBefore, this.core.work());
    this.meter.recordStep({ input: input.type, startedAt, returnedAt, endedAt, work });
    const report = this.meter.takeReport(endedAt);
    if (report !== null) {
      this.onReport(report);
    }
  }

  private schedule(): void {
    clearTimeout(this.timer);
    if (this.stopped) {
      return;
    }
    const now = performance.now();
    const delayMillis = Math.max(MIN_TICK_DELAY_MILLIS, Math.ceil(this.core.nextDeadline() - now));
    this.timer = setTimeout(() => this.post({ type: 'tick' }), delayMillis);
  }

  /** Measures the event loop delay with a separate timer, because each input reschedules the tick timer. */
  private probe(dueAt: MonotonicMillis): void {
    const now = performance.now();
    this.meter.recordTimerDelay(dueAt, now);
    this.delayTimer = setTimeout(() => this.probe(now + DELAY_INTERVAL_MILLIS), DELAY_INTERVAL_MILLIS);
  }
}

/** Work between two counts. Counts of a leadership start again with the next one. */
function workSince(before: CoreWork, after: CoreWork): CoreWork {
  return {
    appliedEntries: after.appliedEntries - before.appliedEntries,
    routerMessages: after.routerMessages - before.routerMessages,
    routingSnapshots: after.routingSnapshots - before.routingSnapshots,
    searchedSpans: Math.max(0, after.searchedSpans - before.searchedSpans),
  };
}
