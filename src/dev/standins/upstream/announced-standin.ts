/**
 * A stand-in for one server without the project's library: announces itself, gives back the caller's id, marks what it didn't run, and
 * has faults on its connections. It owns no keys.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import { DEFAULT_HEADER_NAMES } from '../../../model/header-names.js';
import type { Address } from '../../../model/identifiers.js';
import { parseAddress } from '../../../wire/address.js';
import type { JournalWriter } from '../../journal/journal-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { RandomSource } from '../../virtual/random-source.js';
import { makeAnswerBody } from '../answer-body.js';
import { Announcer } from './announcer.js';
import { AnswerCopies, breakOff, type PlainAnswer } from './connection-faults.js';
import { FaultSwitchboard } from './fault-switchboard.js';
import { callerRequestOf, headerOf, type RunFacts, RunRecorder } from './run-recorder.js';
import { SlotQueue } from './slot-queue.js';
import type { Standin } from './standin.js';
import type { UpstreamSettings } from './upstream-settings.js';
import { WorkModel } from './work-model.js';

const HEALTH_PATH = '/health';
const STATUSES = { ok: 200, misdirected: 421, unavailable: 503, timeout: 504 } as const;
const NAMES = DEFAULT_HEADER_NAMES;
/** Longest wait for the acknowledgement that it leaves, and how long it serves on afterwards. */
const LEAVE_MILLIS = 2000;
const SERVE_ON_MILLIS = 2500;
/** Interval at which connections that became idle are closed, and when all others are. */
const SWEEP_MILLIS = 50;
const CLOSE_MILLIS = 3000;
/** Share of the runs that go on after their connection has closed. */
const STUBBORN_SHARE = 0.3;
const NOT_RUN = { [NAMES.notRun]: '1' };

/** An upstream of a process, and where it announces itself. */
export interface AnnouncedStandinParts {
  readonly upstream: UpstreamSettings;
  /** Admin addresses of the control members. */
  readonly control: readonly Address[];
  /** Name of the process. */
  readonly process: string;
  /** How long it serves on once control knows that it leaves. */
  readonly serveOnMillis?: number;
}

export class AnnouncedStandin implements Standin {
  readonly faults: FaultSwitchboard;
  readonly #settings: UpstreamSettings;
  readonly #serveOnMillis: number;
  /** Id of this run. */
  readonly #runId: string;
  readonly #random: RandomSource;
  readonly #slots: SlotQueue;
  readonly #model: WorkModel;
  readonly #recorder: RunRecorder;
  readonly #copies: AnswerCopies;
  readonly #announcer: Announcer;
  readonly #server: Server;
  /** Time at which a connection that is still being set up can transfer its first request. */
  readonly #openAt = new WeakMap<Socket, number>();

  constructor(
    { upstream, control, process, serveOnMillis = SERVE_ON_MILLIS }: AnnouncedStandinParts,
    journal: JournalWriter,
    random: RandomSource,
  ) {
    const { id, service, zone, slots, listen, advertised } = upstream;
    this.#settings = upstream;
    this.#serveOnMillis = serveOnMillis;
    this.#runId = `${id}.${Date.now()}`;
    this.#random = random;
    this.faults = new FaultSwitchboard(random);
    this.#slots = new SlotQueue(slots, upstream.queueLimit);
    this.#model = new WorkModel(upstream, random, machineMillis());
    this.#copies = new AnswerCopies(random);
    const identity = { process, upstream: id, incarnation: this.#runId, service };
    this.#recorder = new RunRecorder(identity, journal);
    const address = advertised ?? listen;
    const { host } = parseAddress(listen);
    this.#announcer = new Announcer({ id: this.#runId, service, address, zone, slots, control, host });
    this.#server = this.#createServer();
  }

  async start(): Promise<void> {
    const { host, port } = parseAddress(this.#settings.listen);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    void this.#announcer.run();
  }

  async stop(): Promise<void> {
    if (await this.#announcer.leave(LEAVE_MILLIS)) {
      await delay(this.#serveOnMillis);
    }
    await this.#announcer.stop();
    const sweep = setInterval(() => this.#server.closeIdleConnections(), SWEEP_MILLIS);
    // What is left after its runs have ended is silent.
    const end = setTimeout(() => this.#server.closeAllConnections(), CLOSE_MILLIS);
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    clearInterval(sweep);
    clearTimeout(end);
  }

  #createServer(): Server {
    const server = createServer((request, response) => void this.#handle(request, response));
    server.maxConnections = this.#settings.connections;
    server.on('connection', (socket) =>
      this.#openAt.set(socket, machineMillis() + this.#settings.connectMillis),
    );
    return server;
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket, url = '' } = request;
    await this.#waitForConnection(socket);
    this.#copies.onRequest(socket);
    if (url === HEALTH_PATH) {
      response.writeHead(STATUSES.ok, { [NAMES.instance]: this.#runId, 'content-length': 0 }).end();
      return;
    }
    if (this.#slots.isFull() && this.faults.affects('early')) {
      this.#answer(request, response, { status: STATUSES.unavailable, headers: NOT_RUN, body: '' });
      request.resume();
      return;
    }
    const isWhole = await buffer(request).then(
      () => true,
      () => false,
    );
    if (isWhole) {
      await this.#admit(request, response);
    }
  }

  /** Delays the first request of a connection until the connection is set up. */
  async #waitForConnection(socket: Socket): Promise<void> {
    const openAt = this.#openAt.get(socket);
    if (openAt !== undefined) {
      this.#openAt.delete(socket);
      await delay(Math.max(0, openAt - machineMillis()));
    }
  }

  async #admit(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (headerOf(request, NAMES.instance) !== this.#runId) {
      this.#answer(request, response, { status: STATUSES.misdirected, headers: {}, body: '' });
    } else if (this.#slots.isFull()) {
      this.#answer(request, response, { status: STATUSES.unavailable, headers: NOT_RUN, body: '' });
    } else {
      await this.#runWhenFree(request, response);
    }
  }

  /** Runs a request as soon as a slot is free, unless its caller leaves or its deadline passes before. */
  async #runWhenFree(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const aborter = new AbortController();
    const { signal } = aborter;
    response.once('close', () => aborter.abort());
    const deadline = setTimeout(() => aborter.abort(), Number(headerOf(request, NAMES.deadline)));
    const release = await this.#slots.acquire(signal);
    if (release === undefined) {
      clearTimeout(deadline);
      this.#answer(request, response, { status: STATUSES.unavailable, headers: NOT_RUN, body: '' });
      return;
    }
    const run = this.#recorder.start(factsOf(request));
    const startedAt = machineMillis();
    const isStubborn = this.#random.fraction() < STUBBORN_SHARE;
    const isDone = await this.#work(startedAt, isStubborn ? null : signal);
    clearTimeout(deadline);
    release();
    if (isDone) {
      this.#takeEffect(run, request, response, startedAt);
    } else {
      this.#recorder.end(run, 'cancelled', machineMillis() - startedAt);
      this.#answer(request, response, { status: STATUSES.timeout, headers: {}, body: '' });
    }
  }

  /** Takes the time of a run. Returns `false` if it was aborted. */
  #work(startedAt: number, signal: AbortSignal | null): Promise<boolean> {
    const options = signal === null ? {} : { signal };
    return delay(this.#model.drawServiceMillis(startedAt), true, options).catch(() => false);
  }

  #takeEffect(run: number, request: IncomingMessage, response: ServerResponse, startedAt: number): void {
    const at = machineMillis();
    this.#recorder.effect(run, at);
    const { id, payloadBytes } = this.#settings;
    const body = makeAnswerBody(callerRequestOf(request), headerOf(request, NAMES.key), id, payloadBytes);
    if (this.faults.affects('break-off')) {
      this.#recorder.end(run, 'broken-by-fault', at - startedAt);
      breakOff(
        response,
        this.#withHeaders(request, { status: STATUSES.ok, headers: {}, body }),
        this.#random,
      );
      return;
    }
    this.#recorder.end(run, 'answered', at - startedAt);
    const status = this.faults.affects('unmarked') ? STATUSES.unavailable : STATUSES.ok;
    this.#answer(request, response, { status, headers: {}, body });
  }

  #answer(request: IncomingMessage, response: ServerResponse, plain: PlainAnswer): void {
    if (response.destroyed) {
      return;
    }
    const answer = this.#withHeaders(request, plain);
    const { status, headers, body } = answer;
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
    response.end(body);
    if (this.faults.affects('repeat')) {
      this.#copies.repeat(request.socket, answer);
    }
  }

  #withHeaders(request: IncomingMessage, { status, headers, body }: PlainAnswer): PlainAnswer {
    const { busy, waiting } = this.#slots;
    const own = {
      [NAMES.requestId]: headerOf(request, NAMES.requestId) ?? '',
      [NAMES.load]: `${busy},${waiting},${this.#settings.slots}`,
    };
    return { status, headers: { ...own, ...headers }, body };
  }
}

/** A request that must not be repeated runs at most once for each id of its caller. */
function factsOf(request: IncomingMessage): RunFacts {
  const id = headerOf(request, NAMES.requestId);
  return {
    request: callerRequestOf(request),
    routerRequest: id,
    key: headerOf(request, NAMES.key),
    idempotencyKey: request.method === 'POST' ? id : null,
    shard: null,
    epoch: null,
  };
}
