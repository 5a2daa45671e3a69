/** Waits for addresses that can't be listened on for a moment, such as those of a predecessor that still stops. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger } from '../logging/logger.js';
import type { Address } from '../model/identifiers.js';
import { ListenError } from './listen-error.js';

/** Longer than a planned stop with default settings takes. */
const MAX_WAIT_MILLIS = 12_000;
const FIRST_PAUSE_MILLIS = 20;
const MAX_PAUSE_MILLIS = 200;
const REPORT_INTERVAL_MILLIS = 1000;

const log = createLogger('wire');

/**
 * Calls `listen` until it succeeds. Throws its last `ListenError` if that can't be helped by waiting, after a bounded wait, or when `signal`
 * is aborted.
 */
export async function listenPatiently<Result>(
  address: Address,
  listen: () => Promise<Result>,
  signal?: AbortSignal,
): Promise<Result> {
  const wait = new ListenWait(address);
  for (;;) {
    try {
      const result = await listen();
      wait.end();
      return result;
    } catch (thrown) {
      if (!(thrown instanceof ListenError && thrown.mayPass) || wait.isOver || signal?.aborted) {
        throw thrown;
      }
      await wait.pause(thrown, signal);
    }
  }
}

/** The wait for one address: grows its pauses, and logs once a second. */
class ListenWait {
  readonly #address: Address;
  readonly #since = performance.now();
  #pauseMillis = FIRST_PAUSE_MILLIS;
  #reportedAt: number | null = null;

  constructor(address: Address) {
    this.#address = address;
  }

  get isOver(): boolean {
    return this.#waitedMillis >= MAX_WAIT_MILLIS;
  }

  async pause(error: ListenError, signal: AbortSignal | undefined): Promise<void> {
    this.#report(error);
    // An abort only ends the pause.
    await sleep(this.#pauseMillis, undefined, { signal }).catch(() => {});
    this.#pauseMillis = Math.min(this.#pauseMillis * 2, MAX_PAUSE_MILLIS);
  }

  end(): void {
    if (this.#reportedAt !== null) {
      log.warn('address-free', { address: this.#address, waitedMillis: this.#waitedMillis });
    }
  }

  get #waitedMillis(): number {
    return Math.round(performance.now() - this.#since);
  }

  #report({ message: reason }: ListenError): void {
    const waitedMillis = this.#waitedMillis;
    if (this.#reportedAt !== null && waitedMillis - this.#reportedAt < REPORT_INTERVAL_MILLIS) {
      return;
    }
    this.#reportedAt = waitedMillis;
    log.warn('address-held', {
      address: this.#address,
      reason,
      waitedMillis,
      maxWaitMillis: MAX_WAIT_MILLIS,
    });
  }
}
