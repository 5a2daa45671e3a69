/**
 * How much of a streamed answer is read once its time is over, by the clock and whatever its caller's speed. The time that an answer is read
 * for stands still while its caller takes nothing, so it doesn't bound what comes from an upstream that is always faster than its caller.
 */

/** What an upstream that had made an answer in time may still have to send: more than the buffers on the way hold. */
const LATE_BYTES = 16 * 1024 * 1024;
/** How long after its time an answer of a known length is still read. */
const LATE_MILLIS = 600_000;

export interface StreamLimitOptions {
  /** When the time of the answer is over, on the caller's clock. */
  readonly endsAt: number;
  /** Whether the answer names its end. */
  readonly hasLength: boolean;
}

export class StreamLimit {
  readonly #options: StreamLimitOptions;
  #bytesInTime = 0;
  #lateBytes = 0;

  constructor(options: StreamLimitOptions) {
    this.#options = options;
  }

  /** Counts a part of the answer; returns whether it may go on. A caller that has taken much in time is granted as much again. */
  take(bytes: number, now: number): boolean {
    const { endsAt, hasLength } = this.#options;
    if (now <= endsAt) {
      this.#bytesInTime += bytes;
      return true;
    }
    this.#lateBytes += bytes;
    const isWithinTime = now <= endsAt + LATE_MILLIS;
    return isWithinTime && (hasLength || this.#lateBytes <= Math.max(LATE_BYTES, this.#bytesInTime));
  }
}
