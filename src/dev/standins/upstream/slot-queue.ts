/** The concurrency slots of a stand-in upstream, with a bounded queue; requests beyond both are shed. */

/** A request that waits for a slot. */
interface Waiter {
  readonly grant: () => void;
}

/** Releases a slot. Idempotent. */
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

  /** Whether another request would be shed. */
  isFull(): boolean {
    return this.#busy >= this.#slots && this.#waiting.length >= this.#queueLimit;
  }

  /** Resolves to the release of a slot, or to `undefined` if `signal` is aborted before a slot is free. */
  async acquire(signal: AbortSignal): Promise<ReleaseSlot | undefined> {
    if (signal.aborted) {
      return undefined;
    }
    if (this.#busy < this.#slots) {
      this.#busy += 1;
      return this.#makeRelease();
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.#waiting.splice(this.#waiting.indexOf(waiter), 1);
        resolve(undefined);
      };
      const waiter: Waiter = {
        grant: () => {
          signal.removeEventListener('abort', onAbort);
          resolve(this.#makeRelease());
        },
      };
      this.#waiting.push(waiter);
      signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  #makeRelease(): ReleaseSlot {
    let released = false;
    return () => {
      if (!released) {
        released = true;
        this.#grantNext();
      }
    };
  }

  /** Grants the freed slot to the request that has waited longest. */
  #grantNext(): void {
    const next = this.#waiting.shift();
    if (next) {
      next.grant();
    } else {
      this.#busy -= 1;
    }
  }
}
