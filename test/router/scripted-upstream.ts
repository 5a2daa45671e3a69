/** An upstream for which a test writes every byte itself. */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { HEADERS } from '../../src/model/outcome.js';
import { OWN_HOST } from './free-address.js';

/** One request as received, with its body if it has a `content-length`. */
export interface ScriptedRequest {
  readonly method: string;
  readonly target: string;
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Number of its connection among those that carried a request, from 1. */
  readonly connection: number;
  readonly socket: Socket;
}

export type Script = (request: ScriptedRequest) => void;

const HEAD_END = '\r\n\r\n';

export class ScriptedUpstream {
  /** All requests in the order of arrival. */
  readonly requests: ScriptedRequest[] = [];
  script: Script;
  /** Accepts connections and resets each a moment later. */
  resetsConnections = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private connections = 0;
  private carriers = 0;

  constructor(script: Script = answerWhole) {
    this.script = script;
    this.server = createServer((socket) => this.accept(socket));
  }

  async start(port = 0): Promise<this> {
    await new Promise<void>((resolve) => this.server.listen(port, OWN_HOST, resolve));
    return this;
  }

  /** Number of accepted connections that carried no request. */
  get unusedConnections(): number {
    return this.connections - this.carriers;
  }

  get address(): string {
    return `${OWN_HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    if (this.resetsConnections) {
      socket.on('error', () => {});
      setImmediate(() => socket.resetAndDestroy());
      return;
    }
    this.connections += 1;
    let connection: number | null = null;
    let received = '';
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    socket.setEncoding('latin1');
    socket.on('data', (chunk: string) => {
      received += chunk;
      for (let parsed = parseRequest(received); parsed !== null; parsed = parseRequest(received)) {
        received = parsed.rest;
        if (connection === null) {
          this.carriers += 1;
          connection = this.carriers;
        }
        this.handle({ ...parsed.request, connection, socket });
      }
    });
  }

  private handle(request: ScriptedRequest): void {
    this.requests.push(request);
    this.script(request);
  }
}

type ParsedRequest = {
  readonly request: Omit<ScriptedRequest, 'connection' | 'socket'>;
  readonly rest: string;
};

/** Splits the first request off the received text; `null` if it isn't complete. */
function parseRequest(received: string): ParsedRequest | null {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd === -1) {
    return null;
  }
  const [line = '', ...lines] = received.slice(0, headEnd).split('\r\n');
  const [method = '', target = ''] = line.split(' ');
  const headers = new Map(
    lines.map((header) => {
      const colon = header.indexOf(':');
      return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()] as const;
    }),
  );
  const bodyStart = headEnd + HEAD_END.length;
  const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0);
  if (received.length < bodyEnd) {
    return null;
  }
  const body = received.slice(bodyStart, bodyEnd);
  return { request: { method, target, headers, body }, rest: received.slice(bodyEnd) };
}

/** Returns the head of an answer with the router's request id. */
export function headFor(request: ScriptedRequest, ...lines: readonly string[]): string {
  const id = `${HEADERS.requestId}: ${request.headers.get(HEADERS.requestId)}`;
  return ['HTTP/1.1 200 OK', id, ...lines, '', ''].join('\r\n');
}

/** Returns a whole answer; its body is the target of the request if left out. */
export function wholeAnswer(request: ScriptedRequest, body = request.target): string {
  return `${headFor(request, `content-length: ${body.length}`)}${body}`;
}

export function answerWhole(request: ScriptedRequest): void {
  request.socket.write(wholeAnswer(request));
}
