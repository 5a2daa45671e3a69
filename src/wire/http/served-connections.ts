/**
 * The connections of an HTTP server, and which of them are idle: all answers have left the process and nothing was received since, or nothing at all. The
 * server itself takes a connection for idle as soon as its answer was handed to the socket, whose caller may not have taken it yet.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface ServedConnection {
  /** Responses that haven't left the process. */
  openResponses: number;
  /** The response to the last request; `null`: there was none. */
  last: ServerResponse | null;
  /** Bytes that had been received when the last response left, or the connection was accepted. */
  bytesAtLastResponse: number;
  /** When the last response left, or the connection was accepted. */
  lastResponseAt: number;
}

export class ServedConnections {
  readonly #connections = new Map<Socket, ServedConnection>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => this.#add(socket));
    server.on('request', ({ socket }, response) => this.#onRequest(socket, response));
  }

  /** Calls `close` with each connection that is idle. */
  closeIdle(close: (socket: Socket) => void): void {
    for (const [socket, connection] of this.#connections) {
      if (isIdle(socket, connection)) {
        close(socket);
      }
    }
  }

  /** Calls `close` with each connection on which nothing is answered, also where a request is on its way. */
  closeUnanswered(close: (socket: Socket) => void): void {
    for (const [socket, { openResponses }] of this.#connections) {
      if (openResponses === 0) {
        close(socket);
      }
    }
  }

  /** The last response of each connection on which something is answered. */
  lastOpenResponses(): ServerResponse[] {
    const open = [...this.#connections.values()].filter(({ openResponses }) => openResponses > 0);
    return open.flatMap(({ last }) => last ?? []);
  }

  /** The response to the last request of a connection. */
  lastResponse(socket: Socket): ServerResponse | null {
    return this.#connections.get(socket)?.last ?? null;
  }

  /** Whether a response of a connection hasn't left the process. */
  hasOpenResponse(socket: Socket): boolean {
    const { openResponses = 0 } = this.#connections.get(socket) ?? {};
    return openResponses > 0;
  }

  /** Time since the last response of a connection left the process. */
  idleMillis(socket: Socket): number {
    const connection = this.#connections.get(socket);
    return connection === undefined || connection.openResponses > 0
      ? 0
      : performance.now() - connection.lastResponseAt;
  }

  #add(socket: Socket): void {
    this.#connections.set(socket, {
      openResponses: 0,
      last: null,
      bytesAtLastResponse: 0,
      lastResponseAt: performance.now(),
    });
    socket.once('close', () => this.#connections.delete(socket));
  }

  #onRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.openResponses += 1;
    connection.last = response;
    // Emitted once the system has taken the last byte.
    response.once('close', () => {
      connection.openResponses -= 1;
      connection.bytesAtLastResponse = socket.bytesRead;
      connection.lastResponseAt = performance.now();
    });
  }
}

/** A request whose head hasn't come whole keeps its connection busy; the server bounds the time it has. */
function isIdle(socket: Socket, { openResponses, bytesAtLastResponse }: ServedConnection): boolean {
  return openResponses === 0 && socket.writableLength === 0 && socket.bytesRead === bytesAtLastResponse;
}
