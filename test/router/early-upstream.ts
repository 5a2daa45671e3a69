/** An upstream that answers uploads early, and may end their connections while they are still being written. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

export interface EarlyAnswer {
  /** With `none` the answer has a length, and the connection stays open. */
  readonly ending: 'reset' | 'FIN' | 'none';
  readonly bodyBytes: number;
  /** Time from the answer to the end of the connection; below 0: none. */
  readonly holdMillis: number;
  /** Whether the rest of the upload is read until the end of the connection. */
  readonly reads: boolean;
}

export class EarlyUpstream {
  readonly address: string;
  readonly #worker: Worker;

  private constructor(worker: Worker, port: number) {
    this.#worker = worker;
    this.address = `127.0.0.1:${port}`;
  }

  static async start(): Promise<EarlyUpstream> {
    const worker = new Worker(new URL('./early-upstream-worker.js', import.meta.url));
    const [port] = (await once(worker, 'message')) as [number];
    return new EarlyUpstream(worker, port);
  }

  /** Target of an upload that gets this answer. */
  static targetOf(answer: EarlyAnswer): string {
    return `/${encodeURIComponent(JSON.stringify(answer))}`;
  }

  async stop(): Promise<void> {
    const exited = once(this.#worker, 'exit');
    this.#worker.postMessage('stop');
    await exited;
  }
}
