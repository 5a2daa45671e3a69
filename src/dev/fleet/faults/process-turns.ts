/** Has the faults of one process follow one another: one that is due while the process is still being started again waits for that. */
export class ProcessTurns {
  readonly #last = new Map<string, Promise<void>>();

  /** Runs `fault` when the earlier ones of the process are over, however they ended; `hasWaited` is whether there was one. */
  async take(process: string, fault: (hasWaited: boolean) => Promise<void>): Promise<void> {
    const before = this.#last.get(process);
    const turn = before === undefined ? fault(false) : before.then(() => fault(true));
    const over: Promise<void> = turn.then(
      () => this.#release(process, over),
      // The failure is that of `turn`, which is returned.
      () => this.#release(process, over),
    );
    this.#last.set(process, over);
    await turn;
  }

  /** Resolves when the faults of the process that were given so far are over. */
  async untilFree(process: string): Promise<void> {
    await this.#last.get(process);
  }

  #release(process: string, turn: Promise<void>): void {
    if (this.#last.get(process) === turn) {
      this.#last.delete(process);
    }
  }
}
