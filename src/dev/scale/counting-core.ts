/** Wraps a deterministic core, counts its messages and measures how long each step blocks the process. */

/** The interface that the cores of control members and routers have in common. */
export interface SteppedCore<Input, Effect, Status> {
  step(input: Input, now: number, wall: number): Effect[];
  nextDeadline(): number;
  status(): Status;
}

export interface StepCounts {
  readonly messagesIn: number;
  readonly messagesOut: number;
  readonly steps: number;
  readonly stepMillis: number;
  /** Longest step since the last `read`. */
  readonly longestStepMillis: number;
}

export class CountingCore<
  Input extends { readonly type: string },
  Effect extends { readonly type: string },
  Status,
> implements SteppedCore<Input, Effect, Status>
{
  private messagesIn = 0;
  private messagesOut = 0;
  private steps = 0;
  private stepMillis = 0;
  private longest = 0;

  constructor(
    private readonly core: SteppedCore<Input, Effect, Status>,
    private readonly inputs: ReadonlySet<string>,
    private readonly effects: ReadonlySet<string>,
  ) {}

  step(input: Input, now: number, wall: number): Effect[] {
    const startedAt = performance.now();
    const effects = this.core.step(input, now, wall);
    const millis = performance.now() - startedAt;
    this.steps += 1;
    this.stepMillis += millis;
    this.longest = Math.max(this.longest, millis);
    this.messagesIn += this.inputs.has(input.type) ? 1 : 0;
    for (const effect of effects) {
      this.messagesOut += this.effects.has(effect.type) ? 1 : 0;
    }
    return effects;
  }

  nextDeadline(): number {
    return this.core.nextDeadline();
  }

  status(): Status {
    return this.core.status();
  }

  /** Returns the counts since the start, and resets the longest step. */
  read(): StepCounts {
    const { messagesIn, messagesOut, steps, stepMillis, longest } = this;
    this.longest = 0;
    return { messagesIn, messagesOut, steps, stepMillis, longestStepMillis: longest };
  }
}
