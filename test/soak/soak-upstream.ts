/** An upstream as on the users' platform: heartbeats, slots and a queue, seals, ids, grants; it counts what it runs, and breaks on demand. */
import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { postJson } from './control-call.js';
import { RUN_RESULT, type RunRecord } from './records.js';

const HEARTBEAT_MILLIS = 1500;
const KEYS = 65_536;
const HEALTH_PATH = '/health';
const RESTART_MILLIS = 1000;

const HIDING_HEAD = '\r\nHTTP/1.1 103 Early Hints\r\n\r\n';

/** How an upstream that breaks does so, in place of an answer. */
export const BREAKAGE = {
  nothing: 'reset before an answer',
  part: 'reset in an answer',
  partFin: 'end in an answer',
  silence: 'silence',
  garbage: 'bytes that are no answer',
  status: 'a status that HTTP does not have',
  hiddenStatus: 'such a status behind early hints and an empty line',
} as const;
export type Breakage = (typeof BREAKAGE)[keyof typeof BREAKAGE];

export interface UpstreamOptions {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly isKeyed: boolean;
  readonly slots: number;
  readonly queue: number;
  /** Share of the asked work that it takes. */
  readonly workShare?: number;
  readonly control: () => readonly string[];
}

interface Waiting {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

export class SoakUpstream {
  readonly runs: RunRecord[] = [];
  /** Draws whether and how the next answer breaks. */
  drawBreakage: () => Breakage | null = () => null;
  readonly #options: UpstreamOptions;
  readonly #held = new Float64Array(KEYS);
  readonly #fences = new Float64Array(KEYS);
  readonly #sockets = new Set<Socket>();
  #server: Server | null = null;
  #life = 0;
  #port = 0;
  #sequence = 0;
  #running = 0;
  #waiting: Waiting[] = [];
  #open = new Set<RunRecord>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamOptions) {
    this.#options = options;
  }

  get id(): string {
    return `${this.#options.name}-${this.#life}`;
  }

  async start(): Promise<void> {
    this.#life += 1;
    this.#held.fill(0);
    this.#fences.fill(0);
    this.#running = 0;
    this.#waiting = [];
    const life = this.#life;
    const server = createServer((request, response) => void this.#serve(request, response, life));
    server.keepAliveTimeout = 8000;
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, this.#options.host, resolve));
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
    void this.#beat(life);
    this.#timer = setInterval(() => void this.#beat(life), HEARTBEAT_MILLIS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#life += 1;
    this.#server?.close();
    this.resetConnections();
  }

  /** Ends at once and comes back as another incarnation. */
  crash(): void {
    this.stop();
    setTimeout(() => void this.start(), RESTART_MILLIS).unref();
  }

  resetConnections(): void {
    for (const run of this.#open) {
      run.result = RUN_RESULT.broken;
    }
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  async #beat(life: number): Promise<void> {
    const { service, zone, slots, control } = this.#options;
    this.#sequence += 1;
    const body = {
      service,
      address: `${this.#options.host}:${this.#port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      warmupMillis: 0,
      sequence: this.#sequence,
    };
    for (const member of control()) {
      if (
        life !== this.#life ||
        (await postJson(member, `/v1/upstreams/${this.id}/heartbeat`, body)) === 200
      ) {
        return;
      }
    }
  }

  #load(): string {
    return `${this.#running},${this.#waiting.length},${this.#options.slots}`;
  }

  async #serve(request: IncomingMessage, response: ServerResponse, life: number): Promise<void> {
    const { headers, url = '' } = request;
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk as Buffer);
      }
    } catch {
      return;
    }
    if (life !== this.#life) {
      return;
    }
    const target = headers['target-instance'];
    if (url === HEALTH_PATH) {
      response
        .writeHead(200, { 'Instance-Id': this.id, 'Server-Load': this.#load(), 'content-length': 0 })
        .end();
    } else if (url === '/ternmount/grant') {
      this.#grant(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else if (url === '/ternmount/release') {
      this.#release(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else if (target !== undefined && target !== this.id) {
      response
        .writeHead(421, {
          'Instance-Id': this.id,
          'Request-Id': String(headers['request-id']),
          'Not-Executed': '1',
          'content-length': 0,
        })
        .end();
    } else if (this.#options.isKeyed && !this.#holds(Number(headers['shard-key']))) {
      response
        .writeHead(421, {
          'Request-Id': String(headers['request-id']),
          'Not-Executed': '1',
          'content-length': 0,
        })
        .end();
    } else {
      this.#admit({ request, response });
    }
  }

  #holds(key: number): boolean {
    return performance.now() < (this.#held[key] ?? 0);
  }

  #grant(
    grant: { from: number; to: number; fence: number; holdMillis: number },
    response: ServerResponse,
  ): void {
    const { from, to, fence, holdMillis } = grant;
    if (this.#fences.subarray(from, to + 1).some((seen) => seen > fence)) {
      response.writeHead(409, { 'content-length': 0 }).end();
      return;
    }
    this.#fences.fill(fence, from, to + 1);
    this.#held.fill(performance.now() + holdMillis, from, to + 1);
    response.writeHead(200, { 'content-length': 0 }).end();
  }

  #release({ from, to, fence }: { from: number; to: number; fence: number }, response: ServerResponse): void {
    this.#fences.fill(fence, from, to + 1);
    this.#held.fill(0, from, to + 1);
    const answer = (): void => {
      if (this.#running > 0 && !response.destroyed) {
        setTimeout(answer, 5).unref();
      } else {
        response.writeHead(200, { Handover: `${this.id}:${from}-${to}`, 'content-length': 0 }).end();
      }
    };
    answer();
  }

  #admit(waiting: Waiting): void {
    const { slots, queue } = this.#options;
    const { request, response } = waiting;
    if (this.#running < slots) {
      this.#run(waiting);
    } else if (this.#waiting.length < queue) {
      this.#waiting.push(waiting);
      response.once('close', () => {
        this.#waiting = this.#waiting.filter((other) => other !== waiting);
      });
    } else {
      const words = { 'Request-Id': String(request.headers['request-id']), 'Not-Executed': '1' };
      response.writeHead(503, { ...words, 'Server-Load': this.#load(), 'content-length': 0 }).end();
    }
  }

  #run({ request, response }: Waiting): void {
    const { searchParams } = new URL(request.url ?? '', 'http://upstream');
    const id = String(request.headers['request-id']);
    const run: RunRecord = {
      id,
      upstream: this.id,
      startedAt: performance.now(),
      endedAt: null,
      result: null,
    };
    const life = this.#life;
    this.runs.push(run);
    this.#open.add(run);
    this.#running += 1;
    response.once('close', () => {
      this.#open.delete(run);
      run.endedAt ??= performance.now();
      run.result ??= response.writableFinished ? RUN_RESULT.sound : RUN_RESULT.cut;
    });
    setTimeout(
      () => {
        if (life !== this.#life) {
          return;
        }
        this.#running -= 1;
        this.#answer(run, response, Number(searchParams.get('bytes')));
        const next = this.#waiting.shift();
        if (next !== undefined) {
          this.#run(next);
        }
      },
      Number(searchParams.get('work')) * (this.#options.workShare ?? 1),
    );
  }

  #answer(run: RunRecord, response: ServerResponse, bytes: number): void {
    if (response.destroyed) {
      return;
    }
    const body = bodyOf(run.id, bytes);
    const head = {
      'Request-Id': run.id,
      'Response-Seal': sealOf(this.id, body),
      'Server-Load': this.#load(),
      'content-length': bytes,
    };
    const breakage = this.drawBreakage();
    if (breakage === null) {
      response.writeHead(200, head).end(body);
      return;
    }
    if (breakage === BREAKAGE.silence) {
      run.result = RUN_RESULT.silent;
      run.endedAt = performance.now();
      return;
    }
    run.result = RUN_RESULT.broken;
    const { socket } = response;
    if (breakage === BREAKAGE.nothing) {
      socket?.resetAndDestroy();
    } else if (breakage === BREAKAGE.garbage) {
      socket?.end('these bytes are no answer\r\n\r\n');
    } else if (breakage === BREAKAGE.status) {
      socket?.write(Buffer.concat([Buffer.from(headOf('000', head)), body]));
    } else if (breakage === BREAKAGE.hiddenStatus) {
      socket?.write(Buffer.concat([Buffer.from(HIDING_HEAD + headOf('600', head)), body]));
    } else {
      response.writeHead(200, head).write(body.subarray(0, bytes / 2), () => {
        breakage === BREAKAGE.part ? socket?.resetAndDestroy() : socket?.end();
      });
    }
  }
}

function headOf(status: string, fields: Readonly<Record<string, string | number>>): string {
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status} Odd`, ...lines, '', ''].join('\r\n');
}

/** The body of an answer, which depends on the request's id alone. */
export function bodyOf(id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id} `);
}

export function sealOf(upstream: string, body: Buffer): string {
  return `${upstream}.${createHash('sha256').update(body).digest('hex').slice(0, 16)}`;
}
