/** A caller that writes raw bytes, so that requests can be pipelined, sent in pieces, or cut short. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { parseAddress } from '../../../src/wire/index.js';

/** An answer with a length, as parsed from the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

const HEAD_END = '\r\n\r\n';

export function getHead(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: r\r\n\r\n`;
}

export function postHead(path: string, body: string): string {
  const identity = `Idempotency-Key: ${crypto.randomUUID()}\r\nIdempotency-Issued-At: ${Date.now()}`;
  return `POST ${path} HTTP/1.1\r\nHost: r\r\n${identity}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

export class RawCaller {
  readonly answers: RawAnswer[] = [];
  closed = false;
  #received = '';
  /** Length of the answer that is being received, once its head has arrived. */
  #answerLength = 0;

  private constructor(readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('error', () => {});
    socket.on('close', () => {
      this.closed = true;
    });
    socket.on('data', (piece: string) => this.#parse(piece));
  }

  static async connect(address: string): Promise<RawCaller> {
    const socket = connect(parseAddress(address));
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  send(text: string): this {
    this.socket.write(text);
    return this;
  }

  /** Stops reading until `resume` is called. */
  pause(): this {
    this.socket.pause();
    return this;
  }

  resume(): this {
    this.socket.resume();
    return this;
  }

  /** Closes the connection in both directions. */
  disconnect(): void {
    this.socket.destroy();
  }

  get bodies(): string[] {
    return this.answers.map(({ body }) => body);
  }

  get statuses(): number[] {
    return this.answers.map(({ status }) => status);
  }

  /** Received text that is not yet a whole answer. */
  get rest(): string {
    return this.#received;
  }

  #parse(piece: string): void {
    this.#received += piece;
    while (this.#received.length >= this.#answerLength) {
      const end = this.#received.indexOf(HEAD_END);
      if (end === -1) {
        return;
      }
      const head = this.#received.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? Number.POSITIVE_INFINITY);
      const bodyStart = end + HEAD_END.length;
      this.#answerLength = bodyStart + length;
      if (this.#received.length < this.#answerLength) {
        return;
      }
      const body = this.#received.slice(bodyStart, this.#answerLength);
      this.answers.push({ status: Number(head.slice(9, 12)), head, body });
      this.#received = this.#received.slice(this.#answerLength);
      this.#answerLength = 0;
    }
  }
}
