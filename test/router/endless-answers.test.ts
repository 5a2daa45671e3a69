/** Streamed answers to callers that read more slowly than the upstream sends: what was made in time arrives, and none goes on for ever. */
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture, until } from './router-fixture.js';
import { headFor, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

const MEBIBYTE = 1024 * 1024;
const PIECE = Buffer.alloc(256 * 1024, 'x');
const READ_INTERVAL_MILLIS = 10;
const DEADLINE_MILLIS = 300;
/** A caller gives up where a router should have ended the answer long before. */
const GIVES_UP_BYTES = 160 * MEBIBYTE;

interface Reading {
  readonly bytes: number;
  readonly whole: boolean;
  readonly gaveUp: boolean;
}

/** Writes `count` pieces as fast as they are taken, then `end`. */
function writePieces(
  { socket }: ScriptedRequest,
  count: number,
  frame: (piece: Buffer) => Buffer,
  end = '',
): void {
  const framed = frame(PIECE);
  let left = count;
  const write = (): void => {
    while (left > 0 && !socket.destroyed) {
      left -= 1;
      if (!socket.write(framed)) {
        socket.once('drain', write);
        return;
      }
    }
    socket.write(end);
  };
  write();
}

function inChunk(piece: Buffer): Buffer {
  const size = Buffer.from(`${piece.length.toString(16)}\r\n`);
  return Buffer.concat([size, piece, Buffer.from('\r\n')]);
}

/** Reads an answer at a given speed. */
async function readSlowly(address: string, bytesPerSecond: number): Promise<Reading> {
  const headers = { 'ternmount-deadline-ms': String(DEADLINE_MILLIS) };
  const sent = httpRequest(`http://${address}/reads/1`, { agent: false, headers });
  sent.on('error', () => {});
  sent.end();
  const [response] = (await once(sent, 'response')) as [IncomingMessage];
  let isOver = false;
  response.on('error', () => {});
  response.on('close', () => {
    isOver = true;
  });
  const startedAt = performance.now();
  let bytes = 0;
  while (!isOver && bytes < GIVES_UP_BYTES) {
    const due = ((performance.now() - startedAt) / 1000) * bytesPerSecond;
    while (bytes < due) {
      const chunk = response.read() as Buffer | null;
      if (chunk === null) {
        break;
      }
      bytes += chunk.length;
    }
    await sleep(READ_INTERVAL_MILLIS);
  }
  response.destroy();
  return { bytes, whole: response.complete, gaveUp: !isOver };
}

describe('a streamed answer to a caller that reads more slowly than its upstream sends', function suite() {
  this.timeout(60_000);
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], { announced: true, log: new LogRecorder() });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  for (const megabytesPerSecond of [8, 30]) {
    for (const [framing, line, frame] of [
      ['in chunks', 'transfer-encoding: chunked', inChunk],
      ['that ends with its connection', 'connection: close', (piece: Buffer) => piece],
    ] as const) {
      // Guards against an answer without end that a router passes on for as long as its caller reads.
      it(`is broken off if it has no end: ${framing}, ${megabytesPerSecond} MiB/s`, async () => {
        upstream.script = (request) => {
          request.socket.write(headFor(request, line));
          writePieces(request, Number.POSITIVE_INFINITY, frame);
        };
        const { whole, gaveUp } = await readSlowly(router.address, megabytesPerSecond * MEBIBYTE);
        expect({ whole, gaveUp }).to.deep.equal({ whole: false, gaveUp: false });
        await until(() => upstream.requests[0]?.socket.destroyed === true);
      });
    }
  }

  for (const [framing, line, pieces, frame] of [
    ['in chunks', 'transfer-encoding: chunked', 48, inChunk],
    ['of a known length', `content-length: ${160 * PIECE.length}`, 160, (piece: Buffer) => piece],
  ] as const) {
    it(`arrives whole if its upstream had made it in time: ${framing}`, async () => {
      upstream.script = (request) => {
        request.socket.write(headFor(request, line));
        writePieces(request, pieces, frame, framing === 'in chunks' ? '0\r\n\r\n' : '');
      };
      const reading = await readSlowly(router.address, 6 * MEBIBYTE);
      expect(reading).to.deep.equal({ bytes: pieces * PIECE.length, whole: true, gaveUp: false });
    });
  }
});
