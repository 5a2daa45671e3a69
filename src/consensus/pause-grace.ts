/**
 * Distinguishes missing messages from a pause of this replica itself. After a pause, timers fire before the messages
 * that arrived meanwhile are read. A tick that is late by a heartbeat or more therefore extends the deadline once, until
 * those messages have been read. Safety doesn't depend on timeouts, so a longer one does no harm.
 */
export class PauseGrace {
  readonly #graceMillis: number;
  #deadline = Number.NaN;
  #graceEnd = Number.NEGATIVE_INFINITY;

  /** `graceMillis`: the minimum delay of a tick that counts as a pause, and the length of the extension. */
  constructor(graceMillis: number) {
    this.#graceMillis = graceMillis;
  }

  /** The deadline, including its extension if it has one. */
  extendedDeadline(deadline: number): number {
    return deadline === this.#deadline ? Math.max(deadline, this.#graceEnd) : deadline;
  }

  /** Whether the deadline has passed at `now`, in a step that was due at `due`. */
  hasPassed(deadline: number, due: number, now: number): boolean {
    const isFirst = deadline !== this.#deadline || this.#graceEnd === Number.NEGATIVE_INFINITY;
    if (isFirst && now - due >= this.#graceMillis) {
      this.#deadline = deadline;
      this.#graceEnd = now + this.#graceMillis;
    }
    return now >= this.extendedDeadline(deadline);
  }
}
