/** A modelled upstream server: slots with a bounded queue. Records what arrives at it. */
import type { EventQueue } from '../../src/dev/virtual/event-queue.js';

export interface CutRequest {
  /** Number of the caller's request. */
  readonly call: number;
  readonly workMillis: number;
  /** `load`: outstanding requests; `null`: the queue was full, so that the request did not run. */
  readonly respond: (load: number | null) => void;
  /** The connection was closed before the work began. */
  isGone: boolean;
}

const QUEUE_LIMIT = 12;

export class CutUpstream {
  isDead = false;
  readonly #time: EventQueue;
  readonly #queue: CutRequest[] = [];
  #busy = 0;

  constructor(
    time: EventQueue,
    readonly name: string,
    readonly zone: string,
    readonly service: string,
    readonly slots: number,
    /** Called when the work of a request begins. */
    private readonly onRun: (call: number, upstream: string) => void,
  ) {
    this.#time = time;
  }

  /** Ends the process: what it had accepted gets no answer, and connections are refused. */
  kill(): void {
    this.isDead = true;
    this.#queue.length = 0;
  }

  restart(): void {
    this.isDead = false;
  }

  get load(): number {
    return this.#busy + this.#queue.length;
  }

  enqueue(request: CutRequest): void {
    if (this.load >= this.slots + QUEUE_LIMIT) {
      request.respond(null);
      return;
    }
    this.#queue.push(request);
    this.#startNext();
  }

  #startNext(): void {
    while (this.#busy < this.slots && this.#queue.length > 0) {
      const request = this.#queue.shift() as CutRequest;
      if (request.isGone) {
        continue;
      }
      this.#busy += 1;
      this.onRun(request.call, this.name);
      this.#time.after(request.workMillis, () => {
        this.#busy -= 1;
        this.#startNext();
        if (!this.isDead) {
          request.respond(this.load);
        }
      });
    }
  }
}
