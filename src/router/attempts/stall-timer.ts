/** Calls back if nothing happens for a time. */
export class StallTimer {
  readonly #millis: number;
  readonly #onStall: () => void;
  #timer: NodeJS.Timeout | undefined;

  constructor(millis: number, onStall: () => void) {
    this.#millis = millis;
    this.#onStall = onStall;
  }

  start(): void {
    this.stop();
    this.#timer = setTimeout(this.#onStall, this.#millis);
  }

  /** Starts the time again, if it runs. */
  refresh(): void {
    this.#timer?.refresh();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }
}
