/** The HTTP clients compared for the path to upstreams; each does only what a router needs: read a whole answer. */
import { Agent, type IncomingMessage, request as nodeRequest } from 'node:http';
import got, { type Got } from 'got';
import { type Dispatcher, Pool } from 'undici';
import type { Address } from '../../../model/identifiers.js';
import type { UpstreamClientName } from './child-messages.js';

export interface WholeAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** The answer is `null` if the upstream sent no complete one. */
export type AnswerCallback = (answer: WholeAnswer | null) => void;

export interface UpstreamClient {
  get(address: Address, path: string, done: AnswerCallback): void;
}

const CONNECTIONS_PER_UPSTREAM = 32;

const CLIENTS: Readonly<Record<UpstreamClientName, () => UpstreamClient>> = {
  undici: () => new UndiciClient(),
  node: () => new NodeClient(),
  got: () => new GotClient(),
};

export function createUpstreamClient(name: UpstreamClientName): UpstreamClient {
  return CLIENTS[name]();
}

class UndiciClient implements UpstreamClient {
  private readonly pools = new Map<Address, Pool>();

  get(address: Address, path: string, done: AnswerCallback): void {
    this.poolOf(address).dispatch({ path, method: 'GET' }, new UndiciAnswer(done));
  }

  private poolOf(address: Address): Pool {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, { connections: CONNECTIONS_PER_UPSTREAM, pipelining: 1 });
      this.pools.set(address, pool);
    }
    return pool;
  }
}

class UndiciAnswer implements Dispatcher.DispatchHandlers {
  private status = 0;
  private contentType = '';
  private readonly chunks: Buffer[] = [];

  constructor(private readonly done: AnswerCallback) {}

  onConnect(): void {}

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    this.status = status;
    const index = rawHeaders.findIndex((part) => part.toString('latin1').toLowerCase() === 'content-type');
    this.contentType = rawHeaders[index + 1]?.toString('latin1') ?? '';
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.chunks.push(chunk);
    return true;
  }

  onComplete(): void {
    this.done({ status: this.status, contentType: this.contentType, body: Buffer.concat(this.chunks) });
  }

  onError(): void {
    this.done(null);
  }
}

class NodeClient implements UpstreamClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_UPSTREAM });

  get(address: Address, path: string, done: AnswerCallback): void {
    const request = nodeRequest(`http://${address}${path}`, { agent: this.agent });
    request.on('response', (response) => readWhole(response, done));
    request.on('error', () => done(null));
    request.end();
  }
}

function readWhole(response: IncomingMessage, done: AnswerCallback): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('end', () => {
    const contentType = response.headers['content-type'] ?? '';
    done({ status: response.statusCode ?? 0, contentType, body: Buffer.concat(chunks) });
  });
}

class GotClient implements UpstreamClient {
  private readonly client: Got = got.extend({
    agent: { http: new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_UPSTREAM }) },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    responseType: 'buffer',
  });

  get(address: Address, path: string, done: AnswerCallback): void {
    this.client(`http://${address}${path}`, { responseType: 'buffer' }).then(
      ({ statusCode, headers, body }) =>
        done({ status: statusCode, contentType: headers['content-type'] ?? '', body }),
      () => done(null),
    );
  }
}
