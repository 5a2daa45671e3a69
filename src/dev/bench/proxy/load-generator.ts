/** Sends requests over a fixed number of connections and records the latencies of the answers. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Client, type Dispatcher } from 'undici';
import { makeUuidV7 } from '../../standins/caller/uuid-v7.js';
import type { LoadResult, LoadRun } from './load-run.js';

const OK = 200;
const MICROS_PER_MILLI = 1000;
/** Multiplier of a full-period sequence over the keys: a prime above any number of keys in use. */
const KEY_STEP = 1_000_003;

export class LoadGenerator {
  private readonly clients: Client[];
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
  });
  private readonly waiting: number[] = [];
  private sent = 0;
  private failures = 0;
  private running = true;

  constructor(private readonly run: LoadRun) {
    const options: Client.Options = { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 };
    this.clients = Array.from({ length: run.connections }, () => new Client(`http://${run.target}`, options));
  }

  /** Runs for the configured duration; requests in flight at its end aren't counted. */
  async start(): Promise<LoadResult> {
    const startedAt = performance.now();
    if (this.run.requestsPerSecond === null) {
      await this.closedLoop(startedAt);
    } else {
      await this.openLoop(startedAt, this.run.requestsPerSecond);
    }
    this.running = false;
    const elapsed = performance.now() - startedAt;
    const result = this.resultAfter(elapsed);
    await Promise.all(this.clients.map((client) => client.destroy()));
    return result;
  }

  private async closedLoop(startedAt: number): Promise<void> {
    for (const client of this.clients) {
      this.send(client, performance.now(), (next) => this.repeat(client, next));
    }
    await sleepUntil(startedAt + this.run.durationMillis);
  }

  private repeat(client: Client, now: number): void {
    if (this.running) {
      this.send(client, now, (next) => this.repeat(client, next));
    }
  }

  /** Polls the clock on every iteration of the event loop, since timers are too coarse for the gaps. */
  private openLoop(startedAt: number, requestsPerSecond: number): Promise<void> {
    const idle = [...this.clients];
    const gap = 1000 / requestsPerSecond;
    let due = startedAt;
    const dispatch = (client: Client, dueAt: number): void => {
      this.send(client, dueAt, () => this.sendNextDue(client, idle, dispatch));
    };
    return new Promise((resolve) => {
      const poll = (): void => {
        const now = performance.now();
        if (now - startedAt >= this.run.durationMillis) {
          resolve();
          return;
        }
        for (; due <= now; due += gap) {
          const client = idle.pop();
          if (client === undefined) {
            this.waiting.push(due);
          } else {
            dispatch(client, due);
          }
        }
        setImmediate(poll);
      };
      poll();
    });
  }

  private sendNextDue(
    client: Client,
    idle: Client[],
    dispatch: (client: Client, dueAt: number) => void,
  ): void {
    const dueAt = this.waiting.shift();
    if (dueAt === undefined || !this.running) {
      idle.push(client);
    } else {
      dispatch(client, dueAt);
    }
  }

  private send(client: Client, since: number, done: (now: number) => void): void {
    this.sent += 1;
    const end = (whole: boolean): void => {
      const now = performance.now();
      this.count(whole, now - since);
      done(now);
    };
    client.dispatch(this.nextRequest(), new AnswerCheck(this.run.answerBytes, end));
  }

  private nextRequest(): Dispatcher.DispatchOptions {
    const { service, keys, method, headers, claimed } = this.run;
    const key = (this.sent * KEY_STEP) % keys;
    const own = claimed ? { ...headers, 'idempotency-key': makeUuidV7(Date.now()) } : headers;
    return { path: `/${service}/${key}`, method, headers: own };
  }

  private count(whole: boolean, millis: number): void {
    if (!this.running) {
      return;
    }
    if (!whole) {
      this.failures += 1;
      return;
    }
    this.histogram.recordValue(Math.max(1, Math.round(millis * MICROS_PER_MILLI)));
  }

  private resultAfter(elapsedMillis: number): LoadResult {
    const { histogram } = this;
    const percentile = (share: number): number => histogram.getValueAtPercentile(share) / MICROS_PER_MILLI;
    return {
      requests: histogram.totalCount,
      failures: this.failures,
      perSecond: (histogram.totalCount / elapsedMillis) * 1000,
      p50: percentile(50),
      p99: percentile(99),
      p999: percentile(99.9),
    };
  }
}

/** Reads one answer and checks its status and length. */
class AnswerCheck implements Dispatcher.DispatchHandlers {
  private status = 0;
  private size = 0;

  constructor(
    private readonly answerBytes: number,
    private readonly end: (whole: boolean) => void,
  ) {}

  onConnect(): void {}

  onHeaders(status: number): boolean {
    this.status = status;
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.size += chunk.length;
    return true;
  }

  onComplete(): void {
    this.end(this.status === OK && this.size === this.answerBytes);
  }

  onError(): void {
    this.end(false);
  }
}

function sleepUntil(at: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, at - performance.now())));
}
