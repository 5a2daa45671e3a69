/** Faults on the connections of a stand-in upstream: answers that are sent again, and ways in which an answer or its connection ends. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RandomSource } from '../../virtual/random-source.js';

/** Time after which the copy of an answer follows, unless it waits for the place of the next one. */
const COPY_MILLIS = [1, 200] as const;
/** Share of copies that come in the place of the next answer of their connection. */
const IN_PLACE_SHARE = 0.5;

/** An answer as it is written. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Sends answers a second time, later or where the next answer is due. */
export class AnswerCopies {
  readonly #random: RandomSource;
  /** Copies that are written before the next answer of their connection. */
  readonly #inPlace = new WeakMap<Socket, string[]>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Schedules the copy of an answer that was just written. */
  repeat(socket: Socket, answer: PlainAnswer): void {
    const text = textOf(answer);
    if (this.#random.fraction() < IN_PLACE_SHARE) {
      this.#inPlace.set(socket, [...(this.#inPlace.get(socket) ?? []), text]);
      return;
    }
    const [least, most] = COPY_MILLIS;
    setTimeout(() => writeIfOpen(socket, text), least + this.#random.fraction() * (most - least)).unref();
  }

  /** Called when a request has arrived whose answer is due next. */
  onRequest(socket: Socket): void {
    for (const text of this.#inPlace.get(socket) ?? []) {
      writeIfOpen(socket, text);
    }
    this.#inPlace.delete(socket);
  }
}

type Ending = (response: ServerResponse, answer: PlainAnswer) => void;

/** Ends of a connection at which the answer isn't whole, so that it must not count as one. */
const BROKEN_ENDINGS: readonly Ending[] = [
  ({ socket }) => socket?.destroy(),
  ({ socket }) => socket?.resetAndDestroy(),
  ({ socket }) => socket?.end('HTTP/1.1 200 OK\r\nconte'),
  ({ socket }, answer) => socket?.end(textOf(answer).slice(0, -1)),
  ({ socket }, answer) => socket?.write(textOf(answer).slice(0, -1), () => socket.resetAndDestroy()),
  ({ socket }, answer) => socket?.end(chunkedTextOf(answer)),
];

/** Ends an answer in one of several broken ways. */
export function breakOff(response: ServerResponse, answer: PlainAnswer, random: RandomSource): void {
  const index = Math.floor(random.fraction() * BROKEN_ENDINGS.length);
  BROKEN_ENDINGS[index]?.(response, answer);
}

function textOf({ status, headers, body }: PlainAnswer): string {
  return `${headOf(status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })}${body}`;
}

/** The answer in one chunk, without the last one. */
function chunkedTextOf({ status, headers, body }: PlainAnswer): string {
  const chunk = `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`;
  return `${headOf(status, { ...headers, 'transfer-encoding': 'chunked' })}${chunk}`;
}

function headOf(status: number, headers: Readonly<Record<string, string>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return ['HTTP/1.1 '.concat(String(status), ' Status'), ...lines, '', ''].join('\r\n');
}

function writeIfOpen(socket: Socket, text: string): void {
  if (!socket.destroyed && !socket.writableEnded) {
    socket.write(text);
  }
}
