/** Writes bytes that are no answer, without end, as a faulty server may: in a head or a body, fast or slowly. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** What is written once, and what is then repeated. */
export interface EndlessShape {
  readonly name: string;
  readonly begin: (requestId: string) => string;
  readonly repeat: string;
  /** Time between two repetitions; 0: as fast as they are read. */
  readonly everyMillis?: number;
  /** Whether it begins as an answer, so that it is passed on until its time is over. */
  readonly isStream?: boolean;
}

const PIECE = 'x'.repeat(16 * 1024);
const PIECE_HEX = PIECE.length.toString(16);
/** A writer gives up after this much, so that a reader without a bound doesn't run for ever. */
const MAX_WRITTEN_BYTES = 256 * 1024 * 1024;

const head = (id: string, ...lines: readonly string[]): string =>
  ['HTTP/1.1 200 OK', `ternmount-request-id: ${id}`, ...lines, '', ''].join('\r\n');
const CHUNKED = 'transfer-encoding: chunked';

export const ENDLESS_SHAPES: readonly EndlessShape[] = [
  { name: 'bytes in place of a head', begin: () => '', repeat: PIECE },
  { name: 'the text of a status line', begin: () => 'HTTP/1.1 200 ', repeat: PIECE },
  { name: 'the value of a header', begin: () => 'HTTP/1.1 200 OK\r\nseal: ', repeat: PIECE },
  { name: 'headers', begin: () => 'HTTP/1.1 200 OK\r\n', repeat: 'seal: x\r\n'.repeat(1000) },
  { name: 'interim answers', begin: () => '', repeat: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500) },
  { name: 'the size of a chunk', begin: (id) => head(id, CHUNKED), repeat: '0'.repeat(16 * 1024) },
  { name: 'the extension of a chunk', begin: (id) => `${head(id, CHUNKED)}5;a=`, repeat: PIECE },
  {
    name: 'trailers',
    begin: (id) => `${head(id, CHUNKED)}1\r\nx\r\n0\r\n`,
    repeat: 'seal: x\r\n'.repeat(1000),
  },
  {
    name: 'headers, one now and then',
    begin: () => 'HTTP/1.1 200 OK\r\n',
    repeat: 'seal: x\r\n',
    everyMillis: 50,
  },
  {
    name: 'a body in chunks',
    begin: (id) => head(id, CHUNKED),
    repeat: `${PIECE_HEX}\r\n${PIECE}\r\n`,
    isStream: true,
  },
  {
    name: 'chunks of one byte',
    begin: (id) => head(id, CHUNKED),
    repeat: '1\r\nx\r\n'.repeat(3000),
    isStream: true,
  },
  {
    name: 'chunks of one byte with long extensions',
    begin: (id) => head(id, CHUNKED),
    repeat: `1;a=${PIECE}\r\nx\r\n`,
    isStream: true,
  },
  {
    name: 'a body of a huge length',
    begin: (id) => head(id, 'content-length: 9000000000000'),
    repeat: PIECE,
    isStream: true,
  },
  { name: 'a body that ends with its connection', begin: (id) => head(id), repeat: PIECE, isStream: true },
  {
    name: 'a body in chunks, one now and then',
    begin: (id) => `${head(id, CHUNKED)}${`${PIECE_HEX}\r\n${PIECE}\r\n`.repeat(20)}`,
    repeat: '1\r\nx\r\n',
    everyMillis: 50,
    isStream: true,
  },
];

export class EndlessWriter {
  shape: EndlessShape = ENDLESS_SHAPES[0] as EndlessShape;
  writtenBytes = 0;
  /** Requests that were answered without end. */
  requests = 0;
  readonly #open = new Set<Socket>();

  /** Connections on which it still writes. */
  get openConnections(): number {
    return this.#open.size;
  }

  reset(shape: EndlessShape): void {
    this.shape = shape;
    this.writtenBytes = 0;
    this.requests = 0;
  }

  answer({ socket, headers }: Pick<IncomingMessage, 'socket' | 'headers'>): void {
    const { begin, repeat, everyMillis = 0 } = this.shape;
    this.requests += 1;
    this.#open.add(socket);
    socket.on('error', () => {});
    socket.write(begin(String(headers['ternmount-request-id'] ?? '')));
    const write = (): void => {
      let isTaken = true;
      while (isTaken && !socket.destroyed && this.writtenBytes < MAX_WRITTEN_BYTES) {
        this.writtenBytes += repeat.length;
        isTaken = socket.write(repeat) && everyMillis === 0;
      }
    };
    const timer = everyMillis === 0 ? undefined : setInterval(write, everyMillis);
    socket.on('drain', write);
    socket.once('close', () => {
      clearInterval(timer);
      this.#open.delete(socket);
    });
    write();
  }

  stop(): void {
    for (const socket of this.#open) {
      socket.destroy();
    }
  }
}
