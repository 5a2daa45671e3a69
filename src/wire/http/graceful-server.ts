/** Stops an HTTP server as planned: what was sent to it is answered, and callers get what was answered, however slowly they read. */
import type { Server } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { acceptWaiting } from './accept-waiting.js';
import { type CutConnection, LingeringConnections } from './lingering-connections.js';
import { ServedConnections } from './served-connections.js';

/** Timings of a graceful stop. */
export interface HttpStopTimes {
  /** How long requests on open connections are still served after new connections are no longer accepted. */
  readonly idleMillis: number;
  /** How long connections are still accepted, `answersMillis` at most. Default: 0. */
  readonly lameDuckMillis?: number;
  /** From this time on, connections on which nothing is answered are closed, also where a request is on its way. Default: `graceMillis`. */
  readonly answersMillis?: number;
  /** After this time from the start of the stop, nothing waits any longer for callers to close their ends. */
  readonly graceMillis: number;
}

const IDLE_CHECK_MILLIS = 20;

export class GracefulServer {
  readonly #server: Server;
  readonly #connections: ServedConnections;
  readonly #lingering: LingeringConnections;
  readonly #closesWithLastOpen: boolean;
  #isStopping = false;

  /**
   * Takes over how connections of a server are closed, from those accepted next on. `onCut` is called with each that is closed before its caller has
   * closed its end. `closesWithLastOpen`: whether a stop closes connections with the answers to requests that were read before; otherwise who answers
   * decides.
   */
  constructor(server: Server, onCut: (cut: CutConnection) => void = () => {}, closesWithLastOpen = false) {
    this.#server = server;
    this.#closesWithLastOpen = closesWithLastOpen;
    this.#connections = new ServedConnections(server);
    this.#lingering = new LingeringConnections(onCut);
    this.#closeInStages();
    server.prependListener('request', (request, response) => {
      if (this.#isStopping) {
        this.#keepOpenBehind(request.socket);
        // Setting the header instead would make Node keep only the last of several headers with the same name.
        response.shouldKeepAlive = false;
      }
    });
  }

  /**
   * Sends `Connection: close` with each response from now on. Stops accepting connections after `lameDuckMillis`, once those that wait
   * to be accepted have been; serves requests on open ones for another `idleMillis`, so that a request already on its way isn't lost;
   * then closes idle connections and waits for the rest, and for their callers to close their ends.
   */
  async stop(times: HttpStopTimes): Promise<void> {
    const { idleMillis, lameDuckMillis = 0, graceMillis, answersMillis = graceMillis } = times;
    this.#isStopping = true;
    this.#closeWithLastOpen();
    this.#lingering.closeWithin(graceMillis);
    const unanswered = setTimeout(() => this.#closeUnanswered(), answersMillis);
    if (lameDuckMillis > 0) {
      await sleep(Math.min(lameDuckMillis, answersMillis));
    }
    const readAccepted = await acceptWaiting(this.#server);
    const closed = new Promise<void>((resolve) => {
      // The HTTP server's own `close` would immediately close idle connections, on which a request may be on its way.
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
    readAccepted();
    let sweep: NodeJS.Timeout | undefined;
    const closeIdle = (): void => this.#connections.closeIdle((socket) => this.#closeUnlessReceived(socket));
    const idle = setTimeout(() => {
      closeIdle();
      sweep = setInterval(closeIdle, IDLE_CHECK_MILLIS);
    }, idleMillis);
    await closed;
    clearTimeout(idle);
    clearTimeout(unanswered);
    clearInterval(sweep);
    this.#server.close(() => {});
  }

  /** Closes the connections whose callers haven't closed their ends at once, as `onCut` is told. */
  cutLingering(): void {
    this.#lingering.cutAll();
  }

  #closeWithLastOpen(): void {
    if (!this.#closesWithLastOpen) {
      return;
    }
    for (const response of this.#connections.lastOpenResponses()) {
      response.shouldKeepAlive = response.headersSent && response.shouldKeepAlive;
    }
  }

  /** Another request was read behind the last one, so that its answer doesn't close the connection. */
  #keepOpenBehind(socket: Socket): void {
    const last = this.#closesWithLastOpen ? this.#connections.lastResponse(socket) : null;
    if (last !== null && !last.headersSent) {
      last.shouldKeepAlive = true;
    }
  }

  /** Closes connections in stages wherever the server or its users end one after its answers, and where it was idle for too long. */
  #closeInStages(): void {
    this.#server.on('connection', (socket: Socket) => {
      socket.destroySoon = () => this.#lingering.close(socket, this.#connections.idleMillis(socket));
    });
    // Without a listener the server destroys the connection.
    this.#server.on('timeout', (socket: Socket) => {
      if (this.#connections.hasOpenResponse(socket)) {
        socket.destroy();
      } else {
        this.#closeUnlessReceived(socket);
      }
    });
  }

  /** Closes the connections on which nothing is answered, after sockets were read: timers run before that. */
  #closeUnanswered(): void {
    setImmediate(() => this.#connections.closeUnanswered((socket) => socket.destroySoon()));
  }

  /** Closes an idle connection unless a request waited to be read: timers run before sockets are read, also after the process was held up. */
  #closeUnlessReceived(socket: Socket): void {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroySoon();
      }
    });
  }
}
