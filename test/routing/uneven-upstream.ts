/** Simulated upstreams of unequal speed with a queue before their slots, and an ideal single queue before all slots. */
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';

export const SLOTS = 4;
const QUEUE_LIMIT = 12;

export type FleetZone = 'a' | 'b';

/** Factor on the time of work that starts at an upstream at a given time. */
export type Slowness = (upstream: number, millis: number) => number;

export interface Arrival {
  readonly at: number;
  readonly zone: FleetZone;
  readonly work: number;
}

interface QueuedRequest {
  readonly work: number;
  readonly answer: (load: number) => void;
}

export class FleetUpstream {
  #busy = 0;
  readonly #queue: QueuedRequest[] = [];
  served = 0;

  constructor(
    readonly index: number,
    readonly id: string,
    readonly zone: FleetZone,
    readonly speed: number,
    private readonly time: EventQueue,
    private readonly slowness: Slowness,
  ) {}

  get load(): number {
    return this.#busy + this.#queue.length;
  }

  /** Returns `false` if the upstream is full. */
  enqueue(request: QueuedRequest): boolean {
    if (this.load >= SLOTS + QUEUE_LIMIT) {
      return false;
    }
    this.#queue.push(request);
    this.#startNext();
    return true;
  }

  #startNext(): void {
    while (this.#busy < SLOTS && this.#queue.length > 0) {
      const { work, answer } = this.#queue.shift() as QueuedRequest;
      this.#busy += 1;
      const durationMillis = (work / this.speed) * this.slowness(this.index, this.time.now);
      this.time.after(durationMillis, () => {
        this.#busy -= 1;
        this.served += 1;
        this.#startNext();
        answer(this.load);
      });
    }
  }
}

/**
 * End time of each arrival with one queue before all slots that uses the fastest free slot first. No policy without knowledge of
 * future arrivals does better.
 */
export function oneQueueEnds(
  arrivals: readonly Arrival[],
  upstreams: readonly FleetUpstream[],
  slowness: Slowness,
): number[] {
  const slots = upstreams.flatMap(({ speed, index }) =>
    Array.from({ length: SLOTS }, () => ({ speed, index, freeAt: 0 })),
  );
  return arrivals.map((arrival) => {
    const firstFree = slots.reduce((first, { freeAt }) => Math.min(first, freeAt), Number.POSITIVE_INFINITY);
    const startAt = Math.max(arrival.at, firstFree);
    const free = slots.filter(({ freeAt }) => freeAt <= startAt);
    const slot = free.reduce((best, other) => (other.speed > best.speed ? other : best));
    slot.freeAt = startAt + (arrival.work / slot.speed) * slowness(slot.index, startAt);
    return slot.freeAt;
  });
}
