/** An upstream that writes the bytes of a play: once it has a request, once it has the head of one, or as soon as a connection is open. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';

/** What it waits for before it writes. */
export const MOMENT = { request: 'request', head: 'head', connection: 'connection' } as const;
export type Moment = (typeof MOMENT)[keyof typeof MOMENT];

export interface StatusPlay {
  readonly answer: string;
  readonly moment: Moment;
  /** Whether the connection ends behind the answer. */
  readonly ends: boolean;
}

/** Target whose requests get a sound answer, whatever the play is. */
export const SOUND_TARGET = '/sound';

const HEAD_END = '\r\n\r\n';
const CONTENT_LENGTH = /\ncontent-length: (\d+)/i;
const REQUEST_ID = new RegExp(`\\n${DEFAULT_HEADER_NAMES.requestId}: (\\S+)`, 'i');

export class StatusUpstream {
  play: StatusPlay = { answer: '', moment: MOMENT.request, ends: false };
  /** Number of the connection, from 1, of each request whose head was read. */
  readonly carriers: number[] = [];
  readonly #sound: (id: string) => string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #connections = 0;

  /** `sound` returns a whole answer to the request with an id. */
  constructor(sound: (id: string) => string) {
    this.#sound = sound;
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
  }

  async start(): Promise<this> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return this;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of connections that were accepted. */
  get connections(): number {
    return this.#connections;
  }

  stop(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.#connections += 1;
    const connection = this.#connections;
    let received = '';
    let isCounted = false;
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    if (this.play.moment === MOMENT.connection) {
      this.#write(socket);
    }
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd === -1) {
        return;
      }
      const isSound = received.startsWith(`GET ${SOUND_TARGET} `);
      if (!isCounted) {
        isCounted = true;
        this.carriers.push(connection);
        if (this.play.moment === MOMENT.head && !isSound) {
          // The rest of the request is left unread.
          socket.pause();
          this.#write(socket);
          return;
        }
      }
      const head = received.slice(0, headEnd);
      const bodyBytes = Number(CONTENT_LENGTH.exec(head)?.[1] ?? 0);
      if (received.length < headEnd + HEAD_END.length + bodyBytes) {
        return;
      }
      received = received.slice(headEnd + HEAD_END.length + bodyBytes);
      isCounted = false;
      if (isSound) {
        socket.write(this.#sound(REQUEST_ID.exec(head)?.[1] ?? ''), 'latin1');
      } else if (this.play.moment === MOMENT.request) {
        this.#write(socket);
      }
    });
  }

  #write(socket: Socket): void {
    const { answer, ends } = this.play;
    socket.write(answer, 'latin1');
    if (ends) {
      socket.end();
    }
  }
}
