/** Task that owns the control core: one input at a time, effects carried out in their order, ticks when they are due. */
import { toError } from '../../errors/ternmount-error.js';
import type { ControlCore, ControlEffect, ControlInput } from '../types.js';

/** Shortest wait for a tick, so that a deadline that doesn't move can't keep the process busy. */
const MIN_TICK_MILLIS = 1;

export class CoreTask {
  private readonly mailbox: ControlInput[] = [];
  private timer: NodeJS.Timeout | undefined;
  private stepping = false;
  private stopped = false;

  constructor(
    private readonly core: ControlCore,
    private readonly carryOut: (effect: ControlEffect) => void,
    /** The core threw, so its state can't be trusted any more. */
    private readonly failed: (error: Error) => void,
  ) {}

  /** Starts the ticks. */
  start(): void {
    this.post({ type: 'tick' });
  }

  /** Hands an input to the core; effects of inputs posted before come first. */
  post(input: ControlInput): void {
    if (this.stopped) {
      return;
    }
    this.mailbox.push(input);
    if (!this.stepping) {
      this.drain();
    }
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private drain(): void {
    this.stepping = true;
    try {
      for (let input = this.mailbox.shift(); input !== undefined; input = this.mailbox.shift()) {
        for (const effect of this.core.step(input, performance.now(), Date.now())) {
          this.carryOut(effect);
        }
      }
    } catch (thrown) {
      this.stop();
      this.failed(toError(thrown));
    } finally {
      this.stepping = false;
    }
    this.schedule();
  }

  private schedule(): void {
    clearTimeout(this.timer);
    if (this.stopped) {
      return;
    }
    const wait = Math.max(MIN_TICK_MILLIS, Math.ceil(this.core.nextDeadline() - performance.now()));
    this.timer = setTimeout(() => this.post({ type: 'tick' }), wait);
  }
}
