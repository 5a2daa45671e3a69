/** An upstream that sends the first bytes of an answer and ends its connection there. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** How the bytes are written before their connection ends. */
export const WRITINGS = {
  'in one piece': async (socket: Socket, bytes: Buffer): Promise<void> => {
    await write(socket, bytes);
  },
  'in pieces with pauses': async (socket: Socket, bytes: Buffer): Promise<void> => {
    const middle = Math.floor(bytes.length / 2);
    for (const [from, to] of [
      [0, middle],
      [middle, bytes.length - 1],
      [bytes.length - 1, bytes.length],
    ]) {
      await write(socket, bytes.subarray(from, to));
      await sleep(PAUSE_MILLIS);
    }
  },
} as const;

export const ENDINGS = {
  FIN: (socket: Socket): unknown => socket.end(),
  reset: (socket: Socket): unknown => socket.resetAndDestroy(),
} as const;

/** An answer of which the first bytes are sent. */
export interface CutAnswer {
  readonly answer: string;
  /** Number of bytes that are sent; the connection ends behind them. */
  readonly cut: number;
  readonly writing: keyof typeof WRITINGS;
  readonly ending: keyof typeof ENDINGS;
}

/** Requests for this target are answered whole. */
export const WHOLE_TARGET = '/whole';

const PAUSE_MILLIS = 10;
const HEAD_END = '\r\n\r\n';

/** Requests name the answer that they get by `/N`, its index in `answers`. */
export class CutUpstream {
  answers: readonly CutAnswer[] = [];
  /** Answer to `WHOLE_TARGET`. */
  wholeAnswer = '';
  /** Answers that were begun, by their index. */
  readonly sent = new Set<number>();
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor() {
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

  stop(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#server.close();
  }

  /** Bodies aren't read: a connection carries one request with a body at most. */
  #accept(socket: Socket): void {
    let received = '';
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd === -1) {
        return;
      }
      const [, target = ''] = received.split(' ', 2);
      if (target === WHOLE_TARGET) {
        received = received.slice(headEnd + HEAD_END.length);
        socket.write(this.wholeAnswer);
      } else {
        socket.pause();
        void this.#answer(socket, Number(target.slice(1)));
      }
    });
  }

  async #answer(socket: Socket, number: number): Promise<void> {
    const { answer, cut, writing, ending } = this.answers[number] as CutAnswer;
    this.sent.add(number);
    await WRITINGS[writing](socket, Buffer.from(answer.slice(0, cut), 'latin1'));
    ENDINGS[ending](socket);
  }
}

/** Resolves once the system has taken the bytes: a reset discards what it hasn't. */
function write(socket: Socket, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    socket.write(bytes, () => resolve());
  });
}
