/**
 * A server without ternmount's library, like those of the users' platform: announces itself by heartbeat, receives plain
 * grants of key ranges by calls or in heartbeat responses, and marks the responses to requests that it didn't run.
 */
import { createServer, type IncomingMessage, request, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const KEYS = 65_536;
const HEARTBEAT_MILLIS = 200;
const MAX_REDIRECTS = 2;
/** Default health path of upstreams in declarations. */
const HEALTH_PATH = '/health';

/** A request that ran. */
export interface Run {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly deadline: string;
  readonly key: string | null;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
}

/** A request that arrived at this server, whether or not it ran. */
export interface Arrival {
  readonly at: number;
  /** Host of the router. */
  readonly router: string;
}

export interface AnnouncedOptions {
  readonly id: string;
  readonly host: string;
  readonly service: string;
  readonly keyed?: boolean;
  /** Requests that it runs at once; 2 if left out. */
  readonly slots?: number;
  /** Whether it receives its ranges in heartbeat responses and accepts no calls. */
  readonly byHeartbeat?: boolean;
  readonly zone?: string;
  /** Addresses of the control members' HTTP API, tried in order. */
  readonly control: readonly string[];
  /** Takes a request over before anything else; returns whether it did, and then writes to the socket itself. */
  readonly takeOver?: (request: IncomingMessage) => boolean;
  /** Runs a request; sends the response itself, or returns the body of an ordinary one. */
  readonly work?: (run: Run, response: ServerResponse, request: IncomingMessage) => Promise<string | null>;
}

export class AnnouncedUpstream {
  readonly runs: Run[] = [];
  readonly arrivals: Arrival[] = [];
  /** Additional headers of each response. */
  words: Readonly<Record<string, string>> = {};
  /** Back-off in seconds with which it rejects each request; `null`: it serves requests. */
  backoffSeconds: number | null = null;
  /** Number of requests rejected because their key isn't held or they are for another instance. */
  rejectedRequests = 0;
  readonly grants: {
    readonly from: number;
    readonly to: number;
    readonly fence: number;
    readonly handover?: string;
  }[] = [];
  state: 'ready' | 'draining' = 'ready';
  /** Ranges of the latest response, as rows of first key, last key and fence. */
  rows: readonly (readonly [number, number, number])[] = [];
  #released: (readonly [number, number, string])[] = [];
  readonly #fences = new Float64Array(KEYS);
  readonly #heldUntil = new Float64Array(KEYS);
  readonly #server: Server;
  #sequence = 0;
  #isAnnouncing = true;
  #running = 0;

  private constructor(private readonly options: AnnouncedOptions) {
    this.#server = createServer((incoming, response) => void this.#handle(incoming, response));
  }

  static async start(options: AnnouncedOptions, port = 0): Promise<AnnouncedUpstream> {
    const upstream = new AnnouncedUpstream(options);
    await new Promise<void>((resolve) => upstream.#server.listen(port, options.host, resolve));
    void upstream.#sendHeartbeats();
    return upstream;
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Sends one heartbeat and returns the status of the response. */
  async announce(): Promise<number> {
    this.#sequence += 1;
    const { id, service, zone = 'zone-1', byHeartbeat = false, slots = 2 } = this.options;
    const sentAt = performance.now();
    const released = this.#released;
    const answer = await this.#call(`/v1/upstreams/${id}/heartbeat`, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      warmupMillis: 0,
      sequence: this.#sequence,
      ...(byHeartbeat && { holds: this.rows, released }),
    });
    if (byHeartbeat && answer.status === 200) {
      this.#released = this.#released.filter((row) => !released.includes(row));
      this.#applyHeartbeatAnswer(answer.body as HeartbeatAnswer, sentAt);
    }
    return answer.status;
  }

  async withdraw(): Promise<number> {
    return (await this.#call(`/v1/upstreams/${this.options.id}/withdraw`, {})).status;
  }

  holds(key: number): boolean {
    return performance.now() < (this.#heldUntil[key] ?? 0);
  }

  async stop(): Promise<void> {
    this.#isAnnouncing = false;
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Simulates a crash of the process: closes connections and listener, and sends no more heartbeats. */
  /** Sends no more heartbeats, and serves on. */
  fallSilent(): void {
    this.#isAnnouncing = false;
  }

  crash(): void {
    this.#isAnnouncing = false;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #sendHeartbeats(): Promise<void> {
    while (this.#isAnnouncing) {
      await this.announce().catch(() => 0);
      await sleep(HEARTBEAT_MILLIS);
    }
  }

  async #call(path: string, body: object): Promise<ControlAnswer> {
    for (const member of this.options.control) {
      const answer = await follow(`http://${member}${path}`, body).catch(() => NO_ANSWER);
      if (answer.status >= 200 && answer.status < 300) {
        return answer;
      }
    }
    return NO_ANSWER;
  }

  /** Takes over the ranges of a heartbeat response and releases omitted ones at once; without ranges, renews nothing. */
  #applyHeartbeatAnswer({ holds, holdMillis = 0 }: HeartbeatAnswer, sentAt: number): void {
    if (holds === undefined) {
      return;
    }
    const isOmitted = ([from, to]: readonly [number, number, number]): boolean =>
      !holds.some(([first, last]) => first <= from && to <= last);
    const omitted = this.rows.filter(isOmitted);
    for (const [from, to] of omitted) {
      this.#heldUntil.fill(0, from, to + 1);
      this.#released.push([from, to, `${this.options.id}:${from}-${to}`]);
    }
    for (const [from, to, fence, handover] of holds) {
      this.#fences.fill(fence, from, to + 1);
      this.#heldUntil.fill(sentAt + holdMillis, from, to + 1);
      this.grants.push({ from, to, fence, ...(handover !== '' && { handover }) });
    }
    this.rows = holds.map(([from, to, fence]) => [from, to, fence] as const);
  }

  async #handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.options.takeOver?.(incoming) === true) {
      return;
    }
    const body = await bodyOf(incoming);
    const { url = '' } = incoming;
    if (this.options.byHeartbeat === true && url.startsWith('/ternmount/')) {
      response.writeHead(404).end();
    } else if (url === HEALTH_PATH && incoming.headers['ternmount-instance'] !== undefined) {
      this.#identify(incoming, response);
    } else if (url === '/ternmount/grant') {
      this.#grant(JSON.parse(body), response);
    } else if (url === '/ternmount/release') {
      await this.#release(JSON.parse(body), response);
    } else {
      await this.#serve(incoming, body, response);
    }
  }

  #identify({ headers }: IncomingMessage, response: ServerResponse): void {
    const { id } = this.options;
    response.writeHead(headers['ternmount-instance'] === id ? 200 : 421, { 'ternmount-instance': id }).end();
  }

  #grant(
    grant: { from: number; to: number; fence: number; holdMillis: number; handover?: string },
    response: ServerResponse,
  ): void {
    const { from, to, fence, holdMillis } = grant;
    if (this.#fences.subarray(from, to + 1).some((seen) => seen > fence)) {
      response.writeHead(409).end();
      return;
    }
    this.grants.push(grant);
    this.#fences.fill(fence, from, to + 1);
    this.#heldUntil.fill(performance.now() + holdMillis, from, to + 1);
    response.writeHead(200).end();
  }

  async #release(
    { from, to, fence }: { from: number; to: number; fence: number },
    response: ServerResponse,
  ): Promise<void> {
    this.#fences.fill(fence, from, to + 1);
    this.#heldUntil.fill(0, from, to + 1);
    while (this.#running > 0) {
      await sleep(2);
    }
    response.writeHead(200, { 'ternmount-handover': `${this.options.id}:${from}-${to}` }).end();
  }

  async #serve(incoming: IncomingMessage, body: string, response: ServerResponse): Promise<void> {
    const { headers, method = '', url = '' } = incoming;
    const id = String(headers['ternmount-request-id'] ?? '');
    response.setHeader('ternmount-request-id', id);
    const key = headers['ternmount-key'] === undefined ? null : String(headers['ternmount-key']);
    if (headers['ternmount-instance'] !== this.options.id) {
      this.rejectedRequests += 1;
      response.writeHead(421).end();
      return;
    }
    if (this.options.keyed === true && !this.holds(Number(key))) {
      this.rejectedRequests += 1;
      response.writeHead(421, { 'ternmount-not-run': '1' }).end();
      return;
    }
    this.arrivals.push({ at: performance.now(), router: String(incoming.socket.remoteAddress) });
    for (const [name, value] of Object.entries(this.words)) {
      response.setHeader(name, value);
    }
    if (this.backoffSeconds !== null) {
      response.writeHead(503, { 'ternmount-not-run': '1', 'retry-after': String(this.backoffSeconds) }).end();
      return;
    }
    const run = {
      id,
      method,
      path: url,
      deadline: String(headers['ternmount-deadline-ms']),
      key,
      body,
      headers,
    };
    this.runs.push(run);
    this.#running += 1;
    try {
      const answer = (await this.options.work?.(run, response, incoming)) ?? `${this.options.id} ran ${id}`;
      if (!response.headersSent && !response.destroyed) {
        response
          .writeHead(200, { 'ternmount-load': `${this.#running},0,2`, seal: this.options.id })
          .end(answer);
      }
    } finally {
      this.#running -= 1;
    }
  }
}

interface ControlAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Grants in a heartbeat response: rows of first key, last key, fence, and handover or ''. */
interface HeartbeatAnswer {
  readonly holds?: readonly (readonly [number, number, number, string])[];
  readonly holdMillis?: number;
}

const NO_ANSWER: ControlAnswer = { status: 0, body: null };

async function follow(url: string, body: object, redirects = 0): Promise<ControlAnswer> {
  const response = await fetch(url, {
    method: 'POST',
    redirect: 'manual',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(1000),
  });
  const text = await response.text();
  const location = response.headers.get('location');
  if (response.status === 307 && location !== null && redirects < MAX_REDIRECTS) {
    return follow(location, body, redirects + 1);
  }
  return { status: response.status, body: text === '' ? null : JSON.parse(text) };
}

async function bodyOf(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** The response that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

export interface CallOptions {
  readonly host?: string;
  readonly id?: string;
  readonly key?: number;
  readonly deadline?: number;
  readonly method?: string;
  readonly body?: string;
}

/** Sends one request to a router. */
export function callRouter(address: string, path: string, options: CallOptions = {}): Promise<CallerAnswer> {
  const { host = 'menu.example', id = 'r1', key, deadline = 2000, method = 'GET', body } = options;
  const [name = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host: name,
        port,
        path,
        method,
        agent: false,
        headers: {
          host,
          'ternmount-request-id': id,
          'ternmount-deadline-ms': String(deadline),
          ...(key !== undefined && { 'ternmount-key': String(key) }),
        },
      },
      (response) => {
        bodyOf(response).then(
          (text) => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text }),
          reject,
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
