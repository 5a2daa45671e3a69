/** Answers above the service's buffering limit are streamed: the caller gets them whole, or sees the connection break. */
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/index.js';
import { RouterFixture, until } from './router-fixture.js';
import { headFor, type Script, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

const WHOLE_ANSWER_BYTES = 1024;
const PIECE = 'x'.repeat(WHOLE_ANSWER_BYTES);
const PIECES = 40;
const STALL_MILLIS = 300;
/** More than the socket buffers on the way hold. */
const ENDLESS_PIECES = 20_000;

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function sendPieces(request: ScriptedRequest, count: number): void {
  for (let piece = 0; piece < count; piece++) {
    request.socket.write(PIECE);
  }
}

interface StreamCase {
  readonly answer: string;
  readonly script: Script;
  /** Bytes that the caller gets as a whole answer, or `null` if its connection breaks. */
  readonly bytes: number | null;
}

const withLength = (request: ScriptedRequest) =>
  headFor(request, `content-length: ${PIECES * WHOLE_ANSWER_BYTES}`);
const inChunks = (request: ScriptedRequest) => headFor(request, 'transfer-encoding: chunked');

const CASES: readonly StreamCase[] = [
  {
    answer: 'of a known length',
    script: (request) => {
      request.socket.write(withLength(request));
      sendPieces(request, PIECES);
    },
    bytes: PIECES * WHOLE_ANSWER_BYTES,
  },
  {
    answer: 'in chunks',
    script: (request) => {
      request.socket.write(`${inChunks(request)}${chunk(PIECE).repeat(PIECES)}0\r\n\r\n`);
    },
    bytes: PIECES * WHOLE_ANSWER_BYTES,
  },
  {
    answer: 'of a known length, broken off',
    script: (request) => {
      request.socket.write(withLength(request));
      sendPieces(request, PIECES / 2);
      request.socket.end();
    },
    bytes: null,
  },
  {
    answer: 'of a known length, reset',
    script: (request) => {
      request.socket.write(withLength(request));
      sendPieces(request, PIECES / 2);
      setTimeout(() => request.socket.resetAndDestroy(), 20);
    },
    bytes: null,
  },
  {
    answer: 'in chunks, broken off between two',
    script: (request) => request.socket.end(`${inChunks(request)}${chunk(PIECE).repeat(PIECES)}`),
    bytes: null,
  },
  {
    answer: 'in chunks, one of them no chunk',
    script: (request) =>
      request.socket.write(`${inChunks(request)}${chunk(PIECE).repeat(PIECES)}no chunk\r\n`),
    bytes: null,
  },
  {
    answer: 'that stalls half-way',
    script: (request) => {
      request.socket.write(withLength(request));
      sendPieces(request, PIECES / 2);
    },
    bytes: null,
  },
  {
    answer: 'in chunks, that stalls after few',
    script: (request) => {
      request.socket.write(`${inChunks(request)}${chunk(PIECE).repeat(2)}`);
    },
    bytes: null,
  },
];

describe('long answers', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], {
      reads: { wholeAnswerBytes: WHOLE_ANSWER_BYTES, deadlineMillis: 1000 },
      orders: { wholeAnswerBytes: WHOLE_ANSWER_BYTES },
      settings: { timings: { streamStallMillis: STALL_MILLIS } },
    });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  for (const { answer, script, bytes } of CASES) {
    it(answer, async () => {
      upstream.script = script;
      const { whole, body } = await router.get('/reads/1');
      expect(whole ? body.length : null).to.equal(bytes);
    });
  }

  it('are read no faster than their caller reads them, and aborted when it reads nothing', async () => {
    let written = 0;
    upstream.script = (request) => {
      request.socket.write(headFor(request, `content-length: ${ENDLESS_PIECES * WHOLE_ANSWER_BYTES}`));
      const write = (): void => {
        while (written < ENDLESS_PIECES && request.socket.write(PIECE)) {
          written += 1;
        }
      };
      request.socket.on('drain', write);
      write();
    };
    const response = await openRead(router.address);
    await until(() => upstream.requests[0]?.socket.destroyed === true);
    expect(written).to.be.below(ENDLESS_PIECES);
    expect(router.daemon.status().inFlight).to.equal(0);
    response.destroy();
  });

  for (const [answer, script, status, received] of [
    ['in chunks, which only closing the connection could end', CASES[1]?.script, 502, 0],
    ['of a known length', CASES[0]?.script, 200, PIECES * WHOLE_ANSWER_BYTES],
  ] as const) {
    it(`${answer}, to a caller of HTTP/1.0: ${received === 0 ? 'nothing of it, but 502' : 'whole'}`, async () => {
      upstream.script = script as Script;
      const socket = connect(parseAddress(router.address));
      let text = '';
      socket.setEncoding('latin1').on('data', (piece: string) => {
        text += piece;
      });
      socket.on('error', () => {});
      socket.write('GET /reads/1 HTTP/1.0\r\nHost: r\r\n\r\n');
      await once(socket, 'close');
      const [head = '', body = ''] = text.split('\r\n\r\n');
      expect(Number(head.split(' ')[1])).to.equal(status);
      expect(Number(/content-length: (\d+)/i.exec(head)?.[1])).to.equal(body.length);
      expect(status === 200 ? body.length : body.indexOf(PIECE.slice(0, 100)) + 1).to.equal(received);
    });
  }

  it('are cancelled when their caller disconnects', async () => {
    upstream.script = (request) => {
      request.socket.write(withLength(request));
      sendPieces(request, PIECES / 2);
    };
    const response = await openRead(router.address);
    response.destroy();
    await until(() => upstream.requests[0]?.socket.destroyed === true);
  });
});

/** Sends a read and returns its response before any of the body is read. */
async function openRead(address: string): Promise<IncomingMessage> {
  const sent = httpRequest(`http://${address}/reads/1`, { agent: false });
  sent.on('error', () => {});
  sent.end();
  const [response] = (await once(sent, 'response')) as [IncomingMessage];
  response.on('error', () => {});
  return response;
}
