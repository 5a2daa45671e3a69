/**
 * Tells silence of the others from a pause of this replica itself. After a pause timers are served before the messages
 * that arrived meanwhile; a tick that is late by a heartbeat or more therefore puts off what would follow from the
 * silence, once, until those messages were read. Timeouts play no part in safety, so a longer one does no harm.
 */
export class PauseGrace {
  readonly #graceMillis: number;
  #deadline = Number.NaN;
  #until = Number.NEGATIVE_INFINITY;

  /** `graceMillis`: how late a tick must be, and how long the grace is. */
  constructor(graceMillis: number) {
    this.#graceMillis = graceMillis;
  }

  /** The deadline, put off if it got a grace. */
  deadlineOf(deadline: number): number {
    return deadline === this.#deadline ? Math.max(deadline, this.#until) : deadline;
  }

  /** Whether the deadline has passed at `now`, in a step that was due at `due`. */
  hasPassed(deadline: number, due: number, now: number): boolean {
    const isFirst = deadline !== this.#deadline || this.#until === Number.NEGATIVE_INFINITY;
    if (isFirst && now - due >= this.#graceMillis) {
      this.#deadline = deadline;
      this.#until = now + this.#graceMillis;
    }
    return now >= this.deadlineOf(deadline);
  }
}
