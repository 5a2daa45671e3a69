/** A proxy between one router and one upstream that can be cut in each of the ways in which networks fail. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import type { ProxyOrder, ProxyWorkerData } from './cuttable-proxy-worker.js';
import { OWN_HOST } from './free-address.js';

/** `silent`: nothing passes. `reset`: open connections are reset, then nothing passes. `refused`: open ones are reset, new ones refused. `living`: open ones go on, new ones are refused. */
export type ProxyCut = 'silent' | 'reset' | 'refused' | 'living';

/** A connection that isn't open after this time hangs. */
const HANG_MILLIS = 60;
const MAX_FILLERS = 8;
/** A worker that hasn't reported what it did after this time never will. */
const REPORT_MILLIS = 20_000;
/** A worker that hasn't ended by itself after this time is terminated, which may never end if its connections have work open. */
const END_MILLIS = 5000;

const ORDERS: Readonly<Record<ProxyCut, readonly ProxyOrder[]>> = {
  silent: ['block'],
  reset: ['reset', 'block'],
  refused: ['refuse', 'reset'],
  living: ['refuse'],
};

export class CuttableProxy {
  readonly #worker: Worker;
  readonly #flag: Int32Array;
  readonly #host: string;
  #port: number;
  /** Connections that fill the queue of a blocked listener. */
  #fillers: Socket[] = [];

  private constructor(worker: Worker, flag: Int32Array, host: string, port: number) {
    this.#worker = worker;
    this.#flag = flag;
    this.#host = host;
    this.#port = port;
  }

  static async start(targetAddress: string, host = OWN_HOST): Promise<CuttableProxy> {
    const blocked = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const [targetHost, targetPort] = targetAddress.split(':') as [string, string];
    const workerData: ProxyWorkerData = { host, targetHost, targetPort: Number(targetPort), blocked };
    const worker = new Worker(new URL('./cuttable-proxy-worker.js', import.meta.url), { workerData });
    const port = await reported(worker, 'listening');
    return new CuttableProxy(worker, new Int32Array(blocked), host, port);
  }

  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  async cut(how: ProxyCut): Promise<void> {
    const orders = ORDERS[how];
    const last = orders.includes('block') ? 'blocked' : 'refusing';
    const done = reported(this.#worker, last);
    for (const order of orders) {
      this.#worker.postMessage(order);
    }
    await done;
    if (last === 'blocked') {
      await this.#fillQueue();
    }
  }

  async heal(): Promise<void> {
    for (const filler of this.#fillers.splice(0)) {
      filler.destroy();
    }
    if (Atomics.exchange(this.#flag, 0, 0) === 1) {
      Atomics.notify(this.#flag, 0);
      return;
    }
    const listening = reported(this.#worker, 'listening');
    this.#worker.postMessage('listen' satisfies ProxyOrder);
    this.#port = await listening;
  }

  async stop(): Promise<void> {
    for (const filler of this.#fillers.splice(0)) {
      filler.destroy();
    }
    Atomics.store(this.#flag, 0, 0);
    Atomics.notify(this.#flag, 0);
    const ended = once(this.#worker, 'exit');
    this.#worker.postMessage('end' satisfies ProxyOrder);
    await Promise.race([ended, sleep(END_MILLIS, undefined, { ref: false })]);
    await this.#worker.terminate();
  }

  /** Opens connections until the queue of the listener is full, so that further ones hang. */
  async #fillQueue(): Promise<void> {
    for (let count = 0; count < MAX_FILLERS; count += 1) {
      const socket = connect({ host: this.#host, port: this.#port });
      socket.on('error', () => {});
      this.#fillers.push(socket);
      await sleep(HANG_MILLIS);
      if (socket.connecting) {
        return;
      }
    }
    throw new Error('the queue of a blocked listener is never full');
  }
}

/** Fails if the worker ends or doesn't report in time, so that a test names what it waited for. */
function reported(worker: Worker, type: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const stop = (): void => {
      clearTimeout(timer);
      worker.off('message', onMessage);
      worker.off('error', reject);
      worker.off('exit', onExit);
    };
    const onMessage = (message: { readonly type: string; readonly port?: number }): void => {
      if (message.type === type) {
        stop();
        resolve(message.port ?? 0);
      }
    };
    const fail = (how: string): void => {
      stop();
      reject(new Error(`the worker of a proxy ${how} before it reported: ${type}`));
    };
    const onExit = (): void => fail('ended');
    const timer = setTimeout(() => fail(`took ${REPORT_MILLIS} ms`), REPORT_MILLIS);
    worker.on('message', onMessage);
    worker.once('error', reject);
    worker.once('exit', onExit);
  });
}
