/**
 * A stand-in for one server that owns keys: embeds the fence, has a limited number of slots, starts cold, sheds load,
 * reports a load that may be delayed or false, honours deadlines and cancellation, and injects faults on command.
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { ClusterId } from '../../../model/identifiers.js';
import { HEADERS } from '../../../model/outcome.js';
import {
  createFence,
  createNodeHandler,
  type Fence,
  type GuardedRequest,
  HEALTH_PATH,
} from '../../../upstream/index.js';
import { parseAddress } from '../../../wire/address.js';
import type { JournalWriter } from '../../journal/journal-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { RandomSource } from '../../virtual/random-source.js';
import { makeAnswerBody } from '../answer-body.js';
import { type IdentifiedAnswer, writeAnswer, writeFenced } from './answer-writer.js';
import { FaultSwitchboard } from './fault-switchboard.js';
import { callerRequestOf, headerOf, type RunFacts, RunRecorder } from './run-recorder.js';
import { SlotQueue } from './slot-queue.js';
import type { Standin } from './standin.js';
import { StandinNotices } from './standin-notices.js';
import type { UpstreamSettings } from './upstream-settings.js';
import { LoadReporter, WorkModel } from './work-model.js';

/** Path that platforms probe; equivalent to the fence's own health path. */
const PLAIN_HEALTH_PATH = '/health';
const SERVICE_UNAVAILABLE = 503;
/** Higher than the load of any upstream. */
const EXCESSIVE_LOAD = 10_000;

/** The process that a stand-in runs in. */
export interface StandinProcess {
  readonly name: string;
  readonly cluster: ClusterId;
  /** Empty: control isn't authenticated. */
  readonly secret: string;
}

export class UpstreamStandin implements Standin {
  readonly faults: FaultSwitchboard;
  readonly fence: Fence;
  readonly #settings: UpstreamSettings;
  readonly #slots: SlotQueue;
  readonly #model: WorkModel;
  readonly #reporter: LoadReporter;
  readonly #recorder: RunRecorder;
  readonly #notices: StandinNotices;
  readonly #server: Server;
  #previousAnswer: IdentifiedAnswer = { requestId: null, body: '' };
  #reportedLoad = 0;
  /** Time at which a connection that is still being set up can transfer its first request. */
  readonly #openAt = new WeakMap<Socket, number>();

  constructor(
    settings: UpstreamSettings,
    process: StandinProcess,
    journal: JournalWriter,
    random: RandomSource,
  ) {
    this.#settings = settings;
    this.faults = new FaultSwitchboard(random);
    this.#slots = new SlotQueue(settings.slots, settings.queueLimit);
    this.#model = new WorkModel(settings, random, machineMillis());
    this.#reporter = new LoadReporter(settings.loadReport.lagMillis, settings.loadReport.factor);
    this.fence = createFence({
      cluster: process.cluster,
      ...(process.secret !== '' && { secret: process.secret }),
      upstream: settings.id,
      service: settings.service,
      keyed: settings.keyed,
      maxInFlight: settings.slots + settings.queueLimit,
      load: () => this.#reportLoad(),
      onWarm: () => delay(settings.coldStart.shardWarmMillis),
    });
    const { id: upstream, service } = settings;
    const { incarnation } = this.fence;
    const identity = { process: process.name, upstream, incarnation, service };
    this.#recorder = new RunRecorder(identity, journal);
    this.#notices = new StandinNotices(this.faults, journal, identity);
    this.#server = this.#createServer();
  }

  async start(): Promise<void> {
    const { host, port } = parseAddress(this.#settings.listen);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  async stop(): Promise<void> {
    await this.fence.drain();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #createServer(): Server {
    const guarded = createNodeHandler(this.fence, (request, response, guard) =>
      this.#handle(request, response, guard),
    );
    const server = createServer((request, response) => void this.#route(request, response, guarded));
    server.maxConnections = this.#settings.connections;
    server.on('connection', (socket) =>
      this.#openAt.set(socket, machineMillis() + this.#settings.connectMillis),
    );
    return server;
  }

  async #route(request: IncomingMessage, response: ServerResponse, guarded: RequestListener): Promise<void> {
    await this.#waitForConnection(request.socket);
    if (request.url === PLAIN_HEALTH_PATH || request.url === HEALTH_PATH) {
      request.url = HEALTH_PATH;
      await this.#occupySlotForProbe();
      if (this.faults.falsifies('health-ill') || this.#notices.isLeaving) {
        response.writeHead(SERVICE_UNAVAILABLE, { 'content-length': 0 }).end();
        return;
      }
    } else if (!isControlMessage(request) && this.#notices.write(request, response)) {
      return;
    }
    guarded(request, response);
  }

  /** Delays the first request of a connection until the connection is set up. */
  async #waitForConnection(socket: Socket): Promise<void> {
    const openAt = this.#openAt.get(socket);
    if (openAt !== undefined) {
      this.#openAt.delete(socket);
      await delay(Math.max(0, openAt - machineMillis()));
    }
  }

  /** Occupies a slot, if one is free, for the duration of a probe. */
  async #occupySlotForProbe(): Promise<void> {
    if (this.#slots.busy >= this.#settings.slots) {
      return;
    }
    const release = await this.#slots.acquire(new AbortController().signal);
    await delay(this.#settings.probeMillis);
    release?.();
  }

  async #handle(request: IncomingMessage, response: ServerResponse, guard: GuardedRequest): Promise<void> {
    const callerRequest = callerRequestOf(request);
    const run = this.#recorder.start(factsOf(request, guard));
    request.resume();
    const release = await this.#slots.acquire(guard.signal);
    const startedAt = machineMillis();
    try {
      if (release && (await this.#simulateWork(guard.signal, startedAt))) {
        this.#takeEffect(run, response, guard, callerRequest, startedAt);
      } else {
        this.#recorder.end(run, 'cancelled', machineMillis() - startedAt);
      }
    } finally {
      release?.();
    }
  }

  /** Waits for the drawn service time. Returns `false` if the request is aborted meanwhile. */
  async #simulateWork(signal: AbortSignal, startedAt: number): Promise<boolean> {
    try {
      await delay(this.#model.drawServiceMillis(startedAt), undefined, { signal });
      return true;
    } catch {
      return false;
    }
  }

  /** Synchronous, so that nothing happens between the fence's confirmation and the record of the effect. */
  #takeEffect(
    run: number,
    response: ServerResponse,
    guard: GuardedRequest,
    callerRequest: string,
    startedAt: number,
  ): void {
    const at = machineMillis();
    if (!guard.confirmEffect()) {
      writeFenced(response);
      this.#recorder.end(run, 'refused', at - startedAt);
      return;
    }
    this.#recorder.effect(run, at);
    const fault = this.faults.draw();
    const { id, payloadBytes } = this.#settings;
    const body = makeAnswerBody(callerRequest, guard.key, id, payloadBytes);
    writeAnswer(response, body, fault, this.#previousAnswer);
    this.#previousAnswer = { requestId: guard.requestId, body };
    const whole = fault === null || fault === 'answer-twice' || fault === 'fail';
    this.#recorder.end(run, whole ? 'answered' : 'broken-by-fault', at - startedAt);
  }

  #reportLoad(): number {
    const now = machineMillis();
    this.#reporter.observe(this.#slots.busy + this.#slots.waiting, now);
    if (this.faults.falsifies('load-wild')) {
      return this.#reportedLoad === 0 ? this.#setReportedLoad(EXCESSIVE_LOAD) : this.#setReportedLoad(0);
    }
    return this.faults.falsifies('load-frozen')
      ? this.#reportedLoad
      : this.#setReportedLoad(this.#reporter.report(now));
  }

  #setReportedLoad(load: number): number {
    this.#reportedLoad = load;
    return load;
  }
}

function factsOf(request: IncomingMessage, { requestId, key, shard }: GuardedRequest): RunFacts {
  const epoch = headerOf(request, HEADERS.epoch);
  return {
    request: callerRequestOf(request),
    routerRequest: requestId,
    key,
    idempotencyKey: headerOf(request, HEADERS.idempotencyKey),
    shard,
    epoch: epoch === null ? null : Number(epoch),
  };
}

/** Whether the request is a message of the control leader, not a router's request. */
function isControlMessage({ url = '' }: IncomingMessage): boolean {
  return url.startsWith('/ternmount/');
}
