/** A stand-in for tablets, fans and shops: sends open-loop load, checks the answers and records every attempt. */

import { writeFileSync } from 'node:fs';
import type { RequestListener } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { JournalWriter } from '../../journal/journal-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { listenHttp, type RunningServer } from '../http-endpoint.js';
import { StandinRandomSource } from '../random-source.js';
import { ArrivalSchedule } from './arrival-schedule.js';
import type { CallerSettings, CallerStream } from './caller-settings.js';
import { CallerSummary, type ServiceSummary } from './caller-summary.js';
import type { Attempt } from './request-form.js';
import { type AttemptAnswer, RouterClient } from './router-client.js';
import { makeUuidV7 } from './uuid-v7.js';
import { ZipfKeys } from './zipf-keys.js';

const TICK_MILLIS = 2;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const MILLIS_PER_SECOND = 1000;

interface StreamState {
  readonly stream: CallerStream;
  readonly schedule: ArrivalSchedule;
  readonly keys: ZipfKeys | null;
}

/** Content of the summary file. */
export interface CallerReport {
  readonly caller: string;
  readonly services: readonly ServiceSummary[];
}

export class CallerStandin {
  readonly #settings: CallerSettings;
  readonly #journal: JournalWriter;
  readonly #routers: readonly RouterClient[];
  readonly #streams: readonly StreamState[];
  readonly #random: StandinRandomSource;
  readonly #summary = new CallerSummary();
  readonly #pending = new Set<Promise<void>>();
  #requestCount = 0;
  #stopped = false;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#journal = new JournalWriter(settings.journal);
    this.#random = new StandinRandomSource(settings.seed);
    const { connectionsPerRouter: connections, pipelining, form, host: localAddress } = settings;
    this.#routers = settings.routers.map(
      (router) => new RouterClient({ ...router, localAddress, connections, pipelining, form }),
    );
    this.#streams = settings.streams.map((stream, index) => this.#startStream(stream, index));
  }

  /** Like `run`, but first waits for the start command if the settings have a control endpoint. */
  async serve(): Promise<CallerReport> {
    const { control } = this.#settings;
    if (control !== undefined) {
      await waitForStart(control);
    }
    return this.run();
  }

  /** Sends the whole load, waits for the last answers and writes the summary. */
  async run(): Promise<CallerReport> {
    const startedAt = machineMillis();
    const endAt = startedAt + this.#settings.seconds * MILLIS_PER_SECOND;
    while (!this.#stopped && machineMillis() < endAt) {
      this.#sendDue(startedAt);
      await delay(TICK_MILLIS);
    }
    await Promise.all(this.#pending);
    await Promise.all(this.#routers.map((router) => router.close()));
    this.#journal.close();
    const report = { caller: this.#settings.name, services: this.#summary.services() };
    writeFileSync(this.#settings.summary, `${JSON.stringify(report, null, 2)}\n`);
    return report;
  }

  /** Stops sending new requests; `run` ends when the pending ones have ended. */
  stop(): void {
    this.#stopped = true;
  }

  #startStream(stream: CallerStream, index: number): StreamState {
    const random = new StandinRandomSource(this.#settings.seed + index + 1);
    const schedule = new ArrivalSchedule(stream.rates, random);
    const { keyPrefix, keyCount, zipfExponent, hotKeys } = stream;
    const keys = keyCount === 0 ? null : new ZipfKeys(keyPrefix, keyCount, zipfExponent, random, hotKeys);
    return { stream, schedule, keys };
  }

  #sendDue(startedAt: number): void {
    const elapsed = machineMillis() - startedAt;
    for (const state of this.#streams) {
      for (const due of state.schedule.takeDue(elapsed)) {
        this.#track(this.#request(state, startedAt + due));
      }
    }
  }

  #track(request: Promise<void>): void {
    this.#pending.add(request);
    void request.finally(() => this.#pending.delete(request));
  }

  /** Sends one request with all its attempts, each to a different router than the preceding one. */
  async #request(state: StreamState, scheduledAt: number): Promise<void> {
    const { stream } = state;
    this.#requestCount += 1;
    const request = `${this.#settings.name}-${this.#requestCount}`;
    const isByRoute = this.#settings.form === 'by-route';
    const common: Omit<Attempt, 'id'> = {
      service: stream.service,
      method: stream.method,
      request,
      key: state.keys?.pick() ?? null,
      idempotencyKey: stream.repeatable || isByRoute ? null : makeUuidV7(Date.now()),
      coalesced: stream.coalesced,
      deadlineMillis: stream.deadlineMillis,
      leaveMillis: this.#random.fraction() < stream.leaveShare ? stream.leaveMillis : null,
    };
    const firstRouter = Math.floor(this.#random.fraction() * this.#routers.length);
    let answer: AttemptAnswer | undefined;
    for (let number = 1; number <= stream.attempts; number += 1) {
      const attempt: Attempt = { ...common, id: `${request}.${number}` };
      const router = this.#routers[(firstRouter + number - 1) % this.#routers.length] as RouterClient;
      const sentAt = machineMillis();
      answer = await router.send(attempt);
      const elapsedMillis = machineMillis() - scheduledAt;
      const last = number === stream.attempts || !this.#shouldResend(stream, attempt, answer, elapsedMillis);
      this.#record(stream, attempt, answer, { number, last, router: router.name, scheduledAt, sentAt });
      if (last) {
        break;
      }
      await delay(answer.retryAfterMillis ?? stream.retryDelayMillis);
    }
    this.#finish(common.service, answer as AttemptAnswer, scheduledAt);
  }

  #record(stream: CallerStream, attempt: Attempt, answer: AttemptAnswer, context: AttemptContext): void {
    this.#journal.write({
      type: 'attempt',
      at: machineMillis(),
      wall: Date.now(),
      caller: this.#settings.name,
      service: attempt.service,
      request: attempt.request,
      attempt: context.number,
      router: context.router,
      key: attempt.key,
      idempotencyKey: attempt.idempotencyKey,
      repeatable: stream.repeatable,
      pipelined: this.#settings.pipelining > 1,
      scheduledAt: context.scheduledAt,
      sentAt: context.sentAt,
      verdict: answer.verdict,
      status: answer.status,
      outcome: answer.outcome,
      reason: answer.reason,
      routerRequest: answer.routerRequest,
      last: context.last,
    });
  }

  /** An order without an idempotency key is resent only after the promise that it hasn't run. */
  #shouldResend(
    stream: CallerStream,
    attempt: Attempt,
    answer: AttemptAnswer,
    elapsedMillis: number,
  ): boolean {
    if (answer.verdict === 'left') {
      // Closed for another request of this caller.
      return stream.repeatable && attempt.leaveMillis === null && elapsedMillis < stream.deadlineMillis;
    }
    if (this.#settings.form === 'by-route' && !stream.repeatable) {
      return answer.outcome === 'not-run' && elapsedMillis < stream.deadlineMillis;
    }
    return shouldResend(stream, answer, elapsedMillis);
  }

  #finish(service: string, answer: AttemptAnswer, scheduledAt: number): void {
    this.#summary.add({
      service,
      verdict: answer.verdict,
      outcome: answer.outcome,
      latencyMillis: machineMillis() - scheduledAt,
    });
  }
}

/** Resolves at the first `POST /start`. */
async function waitForStart(address: string): Promise<void> {
  let server: RunningServer | undefined;
  await new Promise<void>((resolve, reject) => {
    const listener: RequestListener = (request, response) => {
      const isStart = request.method === 'POST' && request.url === '/start';
      response.writeHead(isStart ? NO_CONTENT : NOT_FOUND, { connection: 'close' });
      response.end(isStart ? resolve : undefined);
    };
    listenHttp(listener, address).then((running) => {
      server = running;
    }, reject);
  });
  void server?.close();
}

interface AttemptContext {
  readonly number: number;
  readonly last: boolean;
  readonly router: string;
  readonly scheduledAt: number;
  readonly sentAt: number;
}

/**
 * A request with an idempotency key can't run twice, so it is resent whether it was refused or lost. A read is resent
 * only if its connection failed and its deadline hasn't passed: a late answer is of no use to its caller.
 */
function shouldResend(stream: CallerStream, answer: AttemptAnswer, elapsedMillis: number): boolean {
  if (stream.repeatable) {
    return answer.verdict === 'lost' && elapsedMillis < stream.deadlineMillis;
  }
  return answer.verdict === 'refused' || answer.verdict === 'lost';
}
