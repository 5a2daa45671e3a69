/** Callers that send a request without end, or bytes that are none, and read nothing. */
import { connect, type Socket } from 'node:net';
import { parseAddress } from '../../src/wire/index.js';

/** What a caller sends once, and what it then repeats. */
export interface EndlessRequest {
  readonly name: string;
  readonly begin: (path: string) => string;
  readonly repeat: (path: string) => string;
}

const PIECE = 'x'.repeat(16 * 1024);
const MAX_WRITES_AT_ONCE = 4;

const head = (path: string, ...lines: readonly string[]): string =>
  [`POST ${path} HTTP/1.1`, 'host: menu.example', 'content-type: application/json', ...lines, '', ''].join(
    '\r\n',
  );
const inChunks = (path: string): string => head(path, 'transfer-encoding: chunked');

export const ENDLESS_REQUESTS: readonly EndlessRequest[] = [
  { name: 'bytes that are no request', begin: () => '', repeat: () => PIECE },
  { name: 'empty lines', begin: () => '', repeat: () => '\r\n'.repeat(4000) },
  { name: 'a target', begin: () => 'GET /', repeat: () => PIECE },
  { name: 'the value of a header', begin: (path) => `GET ${path} HTTP/1.1\r\nx: `, repeat: () => PIECE },
  { name: 'headers', begin: (path) => `GET ${path} HTTP/1.1\r\n`, repeat: () => 'x: y\r\n'.repeat(1000) },
  {
    name: 'a body of a huge length',
    begin: (path) => head(path, 'content-length: 9000000000'),
    repeat: () => PIECE,
  },
  { name: 'a body in chunks', begin: inChunks, repeat: () => `4000\r\n${PIECE}\r\n` },
  { name: 'chunks of one byte', begin: inChunks, repeat: () => '1\r\nx\r\n'.repeat(3000) },
  {
    name: 'chunks of one byte with extensions',
    begin: inChunks,
    repeat: () => `1;a=${'y'.repeat(1000)}\r\nx\r\n`.repeat(10),
  },
  { name: 'the extension of a chunk', begin: (path) => `${inChunks(path)}5;a=`, repeat: () => PIECE },
  {
    name: 'trailers',
    begin: (path) => `${inChunks(path)}1\r\nx\r\n0\r\n`,
    repeat: () => 'x: y\r\n'.repeat(1000),
  },
  {
    name: 'requests with bodies behind one another',
    begin: () => '',
    repeat: (path) => `${head(path, `content-length: ${PIECE.length}`)}${PIECE}`,
  },
  {
    name: 'bytes behind an upgrade',
    begin: (path) => head(path, 'connection: upgrade', 'upgrade: other', 'content-length: 0'),
    repeat: () => PIECE,
  },
];

export class EndlessCaller {
  readonly #sockets = new Set<Socket>();

  /** Sends on `count` connections at once; one that is closed is opened again at once. */
  send(address: string, path: string, request: EndlessRequest, count: number): void {
    const begin = request.begin(path);
    const repeat = Buffer.from(request.repeat(path));
    for (let number = 0; number < count; number += 1) {
      this.#connect(address, begin, repeat);
    }
  }

  stop(): void {
    for (const socket of this.#sockets) {
      socket.removeAllListeners('close');
      socket.destroy();
    }
    this.#sockets.clear();
  }

  #connect(address: string, begin: string, repeat: Buffer): void {
    const socket = connect(parseAddress(address));
    this.#sockets.add(socket);
    const write = (): void => {
      let writes = 0;
      while (!socket.destroyed && writes < MAX_WRITES_AT_ONCE && socket.write(repeat)) {
        writes += 1;
      }
      if (writes === MAX_WRITES_AT_ONCE) {
        setImmediate(write);
      }
    };
    socket.on('error', () => {});
    socket.on('drain', write);
    socket.once('connect', () => {
      socket.write(begin);
      write();
    });
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#connect(address, begin, repeat);
    });
  }
}
