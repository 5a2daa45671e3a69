/** A server behind the fence on a port of its own, with a clock that the test moves. */
import { createServer, request as httpRequest, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { SessionAnswer, SessionRequest } from '../../src/lease/types.js';
import { formatShardId } from '../../src/model/identifiers.js';
import {
  createFence,
  createNodeHandler,
  type Fence,
  type FenceOptions,
  SESSION_PATH,
} from '../../src/upstream/index.js';

export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

export const CLUSTER = 'north';
export const UPSTREAM_ID = 'menu-1';
export const INCARNATION = 'run-1';
export const SHARD = formatShardId({ service: 'menu', keyspace: 'all', generation: 5, number: 0 });
export const KEY_MAP = {
  service: 'menu',
  generation: 5,
  keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 1 }],
} as const;

/** A message of the leader that changes nothing. */
export const GREETING: SessionRequest = {
  cluster: CLUSTER,
  leader: 'r-1',
  term: 3,
  sequence: 1,
  upstream: UPSTREAM_ID,
  incarnation: null,
  validUntil: null,
  keyMap: null,
  orders: [],
  complete: false,
  drain: false,
};

/** A lease with the grant of the only shard. */
export const GRANT: SessionRequest = {
  ...GREETING,
  sequence: 2,
  incarnation: INCARNATION,
  validUntil: 2500,
  keyMap: KEY_MAP,
  orders: [{ type: 'grant', shard: SHARD, epoch: 9, revision: 9 }],
  complete: true,
};

/** Headers of a request that the fence lets in after `GRANT`. */
export const GOOD_HEAD = {
  'ternmount-request-id': 'router-1/run/1',
  'ternmount-key': 'home-12',
  'ternmount-shard': SHARD,
  'ternmount-epoch': '9',
  'ternmount-incarnation': INCARNATION,
  'ternmount-deadline-ms': '2000',
} as const;

export class UpstreamHarness {
  /** The fence's clock. */
  now = 1000;
  /** Requests that reached the handler. */
  runs = 0;
  fence: Fence | undefined;
  #server: Server = createServer();

  async start(options: Partial<FenceOptions> = {}): Promise<void> {
    this.runs = 0;
    this.fence = createFence({
      cluster: CLUSTER,
      upstream: UPSTREAM_ID,
      service: 'menu',
      incarnation: INCARNATION,
      clock: () => this.now,
      ...options,
    });
    const listener = createNodeHandler(this.fence, (_request, response, guarded) => {
      this.runs += 1;
      const effect = guarded.confirmEffect();
      response.writeHead(200, { 'content-type': 'text/plain', 'content-length': 5 });
      response.end(effect ? 'sheet' : 'stale');
    });
    this.#server = createServer(listener);
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  send(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body = '',
  ): Promise<UpstreamAnswer> {
    return new Promise((resolve, reject) => {
      const request = httpRequest(
        `http://${this.address}${path}`,
        { method, agent: false, headers: { ...headers, 'content-length': String(Buffer.byteLength(body)) } },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('end', () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              text: Buffer.concat(chunks).toString('utf8'),
            }),
          );
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  /** Sends a message of the leader, whatever it is. */
  post(message: unknown): Promise<UpstreamAnswer> {
    const body = typeof message === 'string' ? message : JSON.stringify(message);
    return this.send('POST', SESSION_PATH, { 'content-type': 'application/json' }, body);
  }

  /** Sends a message of the leader that is well formed. */
  async session(message: SessionRequest): Promise<SessionAnswer> {
    return JSON.parse((await this.post(message)).text) as SessionAnswer;
  }
}
