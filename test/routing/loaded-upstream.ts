/** A simulated upstream with few slots and a short FIFO queue, in virtual time; its answers report its load. */
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';
import type { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { AttemptResult } from '../../src/routing/types.js';

/** Duration of a slow period, and the factor on the work that starts in it. */
const SLOW_PERIOD_MILLIS = 400;
const SLOW_FACTOR = 3;

export interface LoadedUpstreamTraits {
  readonly slots: number;
  readonly queueLimit: number;
  /** Mean of the exponentially distributed work. */
  readonly workMillis: number;
  /** Index of this upstream, number of upstreams, and fraction of them that are slow at a time; `null`: never slow. */
  readonly slowPeriod: { readonly number: number; readonly of: number; readonly share: number } | null;
  /** Age of the reported loads; `null`: answers report no load. */
  readonly reportAgeMillis: number | null;
}

export interface SimulatedRequest {
  readonly done: (result: AttemptResult) => void;
}

export class LoadedUpstream {
  readonly #waiting: SimulatedRequest[] = [];
  #busy = 0;
  /** Recent loads, oldest first. */
  readonly #loads: { readonly at: number; readonly load: number }[] = [];

  constructor(
    private readonly queue: EventQueue,
    private readonly random: RandomSource,
    private readonly traits: LoadedUpstreamTraits,
  ) {}

  get freeSlots(): number {
    return this.traits.slots - this.#busy;
  }

  submit(request: SimulatedRequest): void {
    if (this.#busy + this.#waiting.length >= this.traits.slots + this.traits.queueLimit) {
      request.done({ type: 'refused', refusal: 'overloaded', retryAfterMillis: null });
      return;
    }
    if (this.#busy < this.traits.slots) {
      this.#start(request);
    } else {
      this.#waiting.push(request);
    }
    this.#recordLoad();
  }

  #start(request: SimulatedRequest): void {
    this.#busy += 1;
    this.queue.after(this.random.exponential(this.traits.workMillis) * this.#slowness(), () => {
      this.#busy -= 1;
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#start(next);
      }
      this.#recordLoad();
      request.done({ type: 'answered', status: 200, load: this.#reportedLoad(), stored: null });
    });
  }

  #slowness(): number {
    const { slowPeriod: slowTurn } = this.traits;
    if (slowTurn === null) {
      return 1;
    }
    const first = Math.floor(this.queue.now / SLOW_PERIOD_MILLIS) % slowTurn.of;
    const place = (slowTurn.number - first + slowTurn.of) % slowTurn.of;
    return place < slowTurn.of * slowTurn.share ? SLOW_FACTOR : 1;
  }

  #recordLoad(): void {
    this.#loads.push({ at: this.queue.now, load: this.#busy + this.#waiting.length });
  }

  #reportedLoad(): number | null {
    const { reportAgeMillis } = this.traits;
    if (reportAgeMillis === null) {
      return null;
    }
    const at = this.queue.now - reportAgeMillis;
    while (this.#loads.length > 1 && (this.#loads[1]?.at ?? 0) <= at) {
      this.#loads.shift();
    }
    return this.#loads[0]?.load ?? 0;
  }
}
