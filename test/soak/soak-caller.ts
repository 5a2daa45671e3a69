/** A caller that keeps one connection to a router and uses it until it ends: one request at a time, or several at once. */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import { AnswerReader, type ReceivedAnswer } from './answer-reader.js';
import { CALLER_PORT, type Machine } from './machine-fleet.js';
import { type AnswerRecord, CONNECTION_END, type ConnectionEnd, type RequestRecord } from './records.js';
import { type Demand, DRAFTS, type DraftKind, SHORT_DEMAND } from './request-drafts.js';
import { bodyOf, sealOf } from './soak-upstream.js';

export type CallerKind =
  | 'single'
  | 'singleOrders'
  | 'pipedReads'
  | 'pipedOrders'
  | 'slowBody'
  | 'halfCloser'
  | 'longSingle'
  | 'longBurst'
  | 'longSlowBody'
  | 'longTrain'
  | 'longReads'
  | 'brief';

interface CallerPlan {
  readonly draft: DraftKind;
  /** How many requests are sent at once. */
  readonly least: number;
  readonly most: number;
  /** Whether all are orders, none is, or that is drawn. */
  readonly isOrder: boolean | null;
  /** Time before each part of a body that is sent slowly. */
  readonly partMillis: readonly [number, number] | null;
  readonly halfCloses: boolean;
  /** Whether a served caller waits before its next request. */
  readonly rests: boolean;
}

const PLAIN: CallerPlan = {
  draft: 'mixed',
  least: 1,
  most: 1,
  isOrder: true,
  partMillis: null,
  halfCloses: false,
  rests: true,
};

/** Kinds of callers. */
const CALLERS: Readonly<Record<CallerKind, CallerPlan>> = {
  single: { ...PLAIN, isOrder: null },
  singleOrders: PLAIN,
  pipedReads: { ...PLAIN, most: 6, isOrder: false },
  pipedOrders: { ...PLAIN, most: 4 },
  slowBody: { ...PLAIN, partMillis: [10, 350] },
  halfCloser: { ...PLAIN, most: 3, isOrder: false, halfCloses: true },
  longSingle: { ...PLAIN, draft: 'long', rests: false },
  longBurst: { ...PLAIN, draft: 'long', rests: false, least: 3, most: 3 },
  longSlowBody: { ...PLAIN, draft: 'long', rests: false, partMillis: [10, 1000] },
  longTrain: { ...PLAIN, draft: 'long', rests: false, least: 8, most: 8, partMillis: [10, 250] },
  longReads: { ...PLAIN, draft: 'long', rests: false, most: 3, isOrder: false },
  brief: { ...PLAIN, draft: 'brief', rests: false, most: 2 },
};

export const HOST = 'soak.example';
/** Beyond a request's deadline, after which its caller gives up. */
const GIVE_UP_MILLIS = 1500;
const CONNECT_MILLIS = 1000;
const BODY_PARTS = 4;
const MAX_REST_MILLIS = 250;

interface Draft {
  readonly id: string;
  readonly isOrder: boolean;
  readonly bytes: number;
  readonly deadlineMillis: number;
  readonly head: string;
  readonly body: string;
}

interface OpenRequest {
  readonly draft: Draft;
  /** Time of its first byte. */
  startedAt: number;
  sentAt: number | null;
  answer: AnswerRecord | null;
}

export class SoakCaller {
  readonly records: RequestRecord[] = [];
  connections = 0;
  #count = 0;

  constructor(
    readonly kind: CallerKind,
    private readonly name: string,
    private readonly machine: Machine,
    private readonly random: Random,
    private readonly demand: Demand = SHORT_DEMAND,
  ) {}

  /** Uses one connection until it ends. */
  async useConnection(isOver: () => boolean): Promise<void> {
    const socket = await open(this.machine.host);
    if (socket === null) {
      await sleep(100);
      return;
    }
    this.connections += 1;
    const connection = new CallerSocket(socket);
    while (!connection.isEnded && !isOver()) {
      const isServed = await this.#exchange(connection);
      if (CALLERS[this.kind].rests || !isServed) {
        await sleep(this.random.chance(0.3) ? 0 : this.random.integer(0, MAX_REST_MILLIS));
      }
    }
    connection.close();
    await sleep(this.random.integer(0, MAX_REST_MILLIS));
  }

  /** Resolves to whether all of its requests were served. */
  async #exchange(connection: CallerSocket): Promise<boolean> {
    const { least, most, halfCloses } = CALLERS[this.kind];
    const drafts = Array.from({ length: this.random.integer(least, most) }, () => this.#draft());
    const startedAt = performance.now();
    const batch: OpenRequest[] = drafts.map((draft) => ({ draft, startedAt, sentAt: null, answer: null }));
    const deadline = Math.max(...drafts.map(({ deadlineMillis }) => deadlineMillis));
    const answered = connection.expect(batch, deadline + GIVE_UP_MILLIS);
    await this.#send(connection, batch);
    if (halfCloses) {
      connection.halfClose();
    }
    await answered;
    this.#record(batch, connection);
    return batch.every(({ answer }) => answer?.isSealed === true);
  }

  async #send(connection: CallerSocket, batch: OpenRequest[]): Promise<void> {
    const { partMillis } = CALLERS[this.kind];
    if (partMillis === null) {
      connection.write(batch.map(({ draft }) => draft.head + draft.body).join(''));
      markSent(batch);
      return;
    }
    for (const request of batch) {
      const { head, body } = request.draft;
      request.startedAt = performance.now();
      connection.write(head);
      const part = Math.ceil(body.length / BODY_PARTS);
      for (let at = 0; at < body.length; at += part) {
        await sleep(this.random.integer(...partMillis));
        if (connection.isEnded) {
          return;
        }
        connection.write(body.slice(at, at + part));
      }
      markSent([request]);
    }
  }

  #record(batch: readonly OpenRequest[], connection: CallerSocket): void {
    for (const { draft, startedAt, sentAt, answer } of batch) {
      if (sentAt === null) {
        continue;
      }
      const { id, isOrder, deadlineMillis } = draft;
      this.records.push({
        id,
        router: this.machine.name,
        caller: this.kind,
        isOrder,
        startedAt,
        sentAt,
        deadlineMillis,
        isHalfClosed: CALLERS[this.kind].halfCloses,
        isLast: draft === batch.at(-1)?.draft,
        answer,
        endedAt: answer === null ? connection.endedAt : null,
        end: answer === null ? connection.end : null,
      });
    }
  }

  #draft(): Draft {
    const { random } = this;
    this.#count += 1;
    const id = `${this.name}-${this.#count}`;
    const plan = CALLERS[this.kind];
    const wish = DRAFTS[plan.draft](random, plan.isOrder, this.demand);
    const { isOrder, prefix, key, bytes, workMillis, deadlineMillis } = wish;
    const body = 'x'.repeat(wish.bodyBytes);
    const lines = [
      `${isOrder ? 'POST' : 'GET'} /${prefix}/1?bytes=${bytes}&work=${workMillis} HTTP/1.1`,
      `Host: ${HOST}`,
      `Request-Id: ${id}`,
      `Request-Deadline-Ms: ${deadlineMillis}`,
      ...(key === null ? [] : [`Shard-Key: ${key}`]),
      ...(isOrder ? [`Content-Length: ${body.length}`] : []),
    ];
    return { id, isOrder, bytes, deadlineMillis, head: `${lines.join('\r\n')}\r\n\r\n`, body };
  }
}

function markSent(batch: readonly OpenRequest[]): void {
  for (const request of batch) {
    request.sentAt = performance.now();
  }
}

/** The caller's side of a connection. */
class CallerSocket {
  readonly #socket: Socket;
  readonly #reader = new AnswerReader();
  #batch: OpenRequest[] = [];
  #answers = 0;
  #done: () => void = () => {};
  #timer: NodeJS.Timeout | undefined;
  endedAt: number | null = null;
  end: ConnectionEnd | null = null;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (bytes) => this.#onBytes(bytes));
    socket.on('error', () => this.#onEnd(CONNECTION_END.reset));
    socket.on('end', () => this.#onEnd(CONNECTION_END.router));
    socket.on('close', () => this.#onEnd(CONNECTION_END.router));
  }

  get isEnded(): boolean {
    return this.end !== null;
  }

  /** Resolves once each of the requests has its answer, or the connection has ended. */
  expect(batch: OpenRequest[], millis: number): Promise<void> {
    this.#batch = batch;
    this.#answers = 0;
    return new Promise((resolve) => {
      this.#done = resolve;
      if (this.isEnded) {
        resolve();
        return;
      }
      this.#timer = setTimeout(() => this.#onEnd(CONNECTION_END.givenUp), millis);
    });
  }

  write(text: string): void {
    if (!this.isEnded) {
      this.#socket.write(text);
    }
  }

  halfClose(): void {
    this.#socket.end();
  }

  close(): void {
    this.#socket.destroy();
    clearTimeout(this.#timer);
  }

  #onBytes(bytes: Buffer): void {
    for (const answer of this.#reader.add(bytes)) {
      this.#take(answer);
    }
  }

  #take(answer: ReceivedAnswer): void {
    const request = this.#batch[this.#answers];
    this.#answers += 1;
    if (request !== undefined) {
      request.answer = recordOf(answer, request.draft);
    }
    if (doesClose(answer)) {
      this.#onEnd(CONNECTION_END.router);
    } else if (this.#answers >= this.#batch.length) {
      clearTimeout(this.#timer);
      this.#done();
    }
  }

  #onEnd(end: ConnectionEnd): void {
    if (this.isEnded) {
      return;
    }
    this.end = end;
    this.endedAt = performance.now();
    clearTimeout(this.#timer);
    this.#socket.destroy();
    this.#done();
  }
}

function recordOf(answer: ReceivedAnswer, { id, bytes }: Draft): AnswerRecord {
  const { status, headers, body } = answer;
  const seal = headers.get('response-seal');
  const sealer = seal?.slice(0, seal.lastIndexOf('.')) ?? '';
  const isSuccess = status >= 200 && status < 300;
  const isWhole = seal !== undefined && body.equals(bodyOf(id, bytes)) && seal === sealOf(sealer, body);
  const isForIt = !headers.has('request-id') || headers.get('request-id') === id;
  const isRight = isForIt && (isSuccess ? isWhole : seal === undefined);
  return { at: performance.now(), status, isSealed: seal !== undefined, isRight, closes: doesClose(answer) };
}

function doesClose({ headers }: ReceivedAnswer): boolean {
  return headers.get('connection')?.toLowerCase() === 'close';
}

function open(host: string): Promise<Socket | null> {
  return new Promise((resolve) => {
    const socket = connect({ host, port: CALLER_PORT, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(() => socket.destroy(), CONNECT_MILLIS);
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.on('error', () => {});
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(null);
    });
  });
}
