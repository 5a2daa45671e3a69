/** The slots of a stand-in upstream: so many requests at once, so many more waiting, the rest is shed. */

/** Someone who waits for a slot. */
interface Waiter {
  readonly grant: () => void;
}

/** Gives a slot back; calling it again does nothing. */
export type ReleaseSlot = () => void;

export class SlotQueue {
  readonly #slots: number;
  readonly #queueLimit: number;
  readonly #waiting: Waiter[] = [];
  #busy = 0;

  constructor(slots: number, queueLimit: number) {
    this.#slots = slots;
    this.#queueLimit = queueLimit;
  }

  get busy(): number {
    return this.#busy;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Whether one more request would be shed. */
  isFull(): boolean {
    return this.#busy >= this.#slots && this.#waiting.length >= this.#queueLimit;
  }

  /** A slot, or `undefined` if `signal` was aborted before there was one. */
  async take(signal: AbortSignal): Promise<ReleaseSlot | undefined> {
    if (signal.aborted) {
      return undefined;
    }
    if (this.#busy < this.#slots) {
      this.#busy += 1;
      return this.#makeRelease();
    }
    return new Promise((resolve) => {
      const giveUp = (): void => {
        this.#waiting.splice(this.#waiting.indexOf(waiter), 1);
        resolve(undefined);
      };
      const waiter: Waiter = {
        grant: () => {
          signal.removeEventListener('abort', giveUp);
          resolve(this.#makeRelease());
        },
      };
      this.#waiting.push(waiter);
      signal.addEventListener('abort', giveUp, { once: true });
    });
  }

  #makeRelease(): ReleaseSlot {
    let released = false;
    return () => {
      if (!released) {
        released = true;
        this.#passOn();
      }
    };
  }

  /** The slot goes to the one that waited longest. */
  #passOn(): void {
    const next = this.#waiting.shift();
    if (next) {
      next.grant();
    } else {
      this.#busy -= 1;
    }
  }
}
