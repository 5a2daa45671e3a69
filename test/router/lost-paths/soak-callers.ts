/** Callers of one router that keep using their open connections until these are closed. */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../../src/dev/sim/random.js';
import { type CallerAnswer, call } from '../router-fixture.js';

const CONNECTIONS = 4;
const BETWEEN_MILLIS = 20;
/** Wait after a failed connection. */
const AGAIN_MILLIS = 50;
const GIVE_UP_MILLIS = 8000;
const ORDER_SHARE = 0.4;

/** One request, and what its caller got. */
export interface SoakCall {
  readonly router: string;
  /** Also the body of its answer. */
  readonly path: string;
  readonly isOrder: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly answer: CallerAnswer;
}

export class SoakCallers {
  readonly calls: SoakCall[] = [];
  readonly #router: string;
  readonly #address: string;
  readonly #random: Random;
  readonly #agents: Agent[] = [];
  #count = 0;
  #isOver = false;
  #loops: Promise<void>[] = [];

  constructor(router: string, address: string, random: Random) {
    this.#router = router;
    this.#address = address;
    this.#random = random;
  }

  start(): void {
    this.#loops = Array.from({ length: CONNECTIONS }, () => this.#loop());
  }

  async stop(): Promise<void> {
    this.#isOver = true;
    await Promise.all(this.#loops);
    for (const agent of this.#agents) {
      agent.destroy();
    }
  }

  async #loop(): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#agents.push(agent);
    while (!this.#isOver) {
      const answer = await this.callOnce(agent);
      await sleep(answer.status === null ? AGAIN_MILLIS : BETWEEN_MILLIS * this.#random.between(0.5, 1.5));
    }
  }

  /** Sends one request and records it. */
  async callOnce(agent: Agent): Promise<CallerAnswer> {
    this.#count += 1;
    const isOrder = this.#random.chance(ORDER_SHARE);
    const path = `/${isOrder ? 'orders' : 'reads'}/${this.#router}-${this.#count}`;
    const sentAt = performance.now();
    const answer = await call(this.#address, {
      method: isOrder ? 'POST' : 'GET',
      path,
      headers: isOrder ? { 'idempotency-key': path, 'idempotency-issued-at': `${Date.now()}` } : {},
      signal: AbortSignal.timeout(GIVE_UP_MILLIS),
      agent,
    });
    const endedAt = performance.now();
    this.calls.push({ router: this.#router, path, isOrder, sentAt, endedAt, answer });
    return answer;
  }
}
