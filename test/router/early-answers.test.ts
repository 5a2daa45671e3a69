/** Answers without a length that come while the request is still being written: whole only if their connection was seen to end with a FIN. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import { ResettableClient } from '../../src/router/attempts/resettable-client.js';
import { SocketConnection } from '../../src/router/attempts/socket-connection.js';
import type { UpstreamConnection } from '../../src/router/attempts/upstream-connection.js';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import { RelayStream } from '../../src/router/relay/relay-stream.js';
import type { AttemptResult } from '../../src/routing/types.js';
import { DEFAULT_MAX_FRAME_BYTES, encodeFrame, FRAME_KINDS, FrameDecoder } from '../../src/wire/index.js';
import { BlockedSocket } from './blocked-socket.js';
import { type EarlyAnswer, EarlyUpstream } from './early-upstream.js';
import { until } from './router-fixture.js';
import { attemptOnce } from './single-attempt.js';

const ORIGIN = new URL('http://127.0.0.1:1');
const UPLOAD = Buffer.alloc(100_000, 'x');
/** Uploads of each kind over real connections; the environment sets another number. */
const UPLOADS = Number(process.env.UPLOADS ?? 100);
/** More than the buffers of a connection hold. */
const LARGE_UPLOAD = Buffer.alloc(8_000_000, 'x');
const AT_A_TIME = 3;
const CONNECT_MILLIS = 5000;
/** Times from an answer to the end of its connection; -1: none. */
const HOLDS_MILLIS = [-1, 0, 3];
const PART = [
  'HTTP/1.1 200 OK',
  `${DEFAULT_HEADER_NAMES.requestId}: q-1`,
  'connection: close',
  '',
  'part of the sheet',
].join('\r\n');

/** A kind of connection to an upstream, over a socket. */
interface Path {
  readonly connect: (socket: BlockedSocket) => UpstreamConnection;
  /** Frames the bytes of an upstream as the socket gets them. */
  readonly frame: (text: string) => Uint8Array;
}

const DIRECT: Path = {
  connect: (socket) => new SocketConnection(socket as never),
  frame: (text) => Buffer.from(text, 'latin1'),
};

const RELAYED: Path = {
  connect: (socket) => new RelayStream(socket as never, new FrameDecoder(DEFAULT_MAX_FRAME_BYTES)),
  frame: (text) => {
    const data = { kind: FRAME_KINDS.relayData, correlation: 0, payload: Buffer.from(text, 'latin1') };
    return encodeFrame(data, DEFAULT_MAX_FRAME_BYTES);
  },
};

/** Sends an upload whose bytes the socket doesn't take, and ends its connection behind an answer without a length. */
async function answerEarly(
  path: Path,
  end: (socket: BlockedSocket, connection: UpstreamConnection) => unknown,
): Promise<AttemptResult> {
  const socket = new BlockedSocket();
  const connection = path.connect(socket);
  const client = new ResettableClient(
    ORIGIN,
    { connect: (_target, callback) => callback(null, connection as never) },
    (error) => {
      throw error;
    },
  );
  let hasHead = false;
  const result = attemptOnce(client, {
    ...{ id: 'q-1', target: '/uploads/1', method: 'POST', body: UPLOAD },
    onHead: () => {
      hasHead = true;
    },
  });
  await until(() => socket.isBlocked);
  socket.receive(path.frame(PART));
  await until(() => hasHead);
  await nextTurn();
  end(socket, connection);
  const ended = await result;
  await client.destroy();
  return ended;
}

describe('an answer without a length to a request that is still being written', () => {
  for (const code of ['ECONNRESET', 'EPIPE', 'ECONNABORTED']) {
    // Guards against parts of answers that look whole: a write may report the end of its connection before the socket does.
    it(`is broken if a write fails with ${code} before the socket reports an end`, async () => {
      const result = await answerEarly(DIRECT, (socket) => socket.failWrite(code));
      expect(result).to.deep.equal({ type: 'broken', how: 'reset' });
    });

    // Guards against parts of answers that look whole: the end of the other router isn't that of the answer, whoever reports it.
    it(`is broken if a write to the router that carries it fails with ${code} before the socket reports an end`, async () => {
      const result = await answerEarly(RELAYED, (socket) => socket.failWrite(code));
      expect(result).to.deep.equal({ type: 'broken', how: 'relay-lost' });
    });
  }
});

/** Ways in which a connection may be gone without the end of its upstream's bytes. */
const LOSSES: Readonly<Record<string, (connection: UpstreamConnection) => unknown>> = {
  'without an error': (connection) => connection.destroy(),
  'by a reset': (connection) => connection.resetAndDestroy(),
  'with an error of the system': (connection) =>
    connection.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' })),
  'with a time limit of the system': (connection) =>
    connection.destroy(Object.assign(new Error('read ETIMEDOUT'), { code: 'ETIMEDOUT' })),
};

describe('an answer without a length whose connection is gone', () => {
  for (const [name, path] of Object.entries({ direct: DIRECT, relayed: RELAYED })) {
    for (const [how, lose] of Object.entries(LOSSES)) {
      // Guards against parts of answers that look whole: only the end that was seen proves that nothing is missing.
      it(`is broken, however the client learns of it (${name}, ${how})`, async () => {
        const { type } = await answerEarly(path, (_socket, connection) => lose(connection));
        expect(type).to.equal('broken');
      });
    }
  }
});

describe('uploads to an upstream that answers without a length before it has read them', function suite() {
  this.timeout(60_000 + UPLOADS * 10);
  let upstream: EarlyUpstream;

  before(async () => {
    upstream = await EarlyUpstream.start();
  });

  after(() => upstream.stop());

  /** Sends uploads that get the same answer, and counts what became of them. */
  async function countResults(answer: EarlyAnswer): Promise<Record<string, number>> {
    const counts: Record<string, number> = {};
    let left = UPLOADS;
    const work = async (): Promise<void> => {
      const pools = createPools();
      while (left > 0) {
        left -= 1;
        const result = await attemptOnce(
          pools.poolFor({ upstream: 'u1', address: upstream.address, via: null }),
          { id: 'q-1', target: EarlyUpstream.targetOf(answer), method: 'POST', body: LARGE_UPLOAD },
        );
        const name = result.type === 'broken' ? `broken: ${result.how}` : result.type;
        counts[name] = (counts[name] ?? 0) + 1;
      }
      await pools.stop();
    };
    await Promise.all(Array.from({ length: AT_A_TIME }, work));
    return counts;
  }

  for (const reads of [true, false]) {
    for (const holdMillis of HOLDS_MILLIS) {
      // Guards against parts of answers that look whole: the order in which the system reports data, reset and failed write varies.
      it(`are broken by a reset (${reads ? 'reading' : 'not reading'}, after ${holdMillis} ms)`, async () => {
        const answer: EarlyAnswer = { ending: 'reset', bodyBytes: 60, holdMillis, reads };
        expect(await countResults(answer)).to.deep.equal({ 'broken: reset': UPLOADS });
      });

      // Guards against whole answers that are lost: an upstream may answer and end before it has read its request.
      it(`are answered if a FIN ends the answer (${reads ? 'reading' : 'not reading'}, after ${holdMillis} ms)`, async () => {
        const answer: EarlyAnswer = { ending: 'FIN', bodyBytes: 60, holdMillis, reads };
        expect(await countResults(answer)).to.deep.equal({ answered: UPLOADS });
      });
    }
  }
});

describe('a request behind an upload that was answered before its upstream has read it', () => {
  // Guards against requests that wait for the rest of another one to be read.
  it('has a connection of its own', async () => {
    const upstream = await EarlyUpstream.start();
    const pools = createPools();
    const client = pools.poolFor({ upstream: 'u1', address: upstream.address, via: null });
    const target = EarlyUpstream.targetOf({ ending: 'none', bodyBytes: 60, holdMillis: 0, reads: false });
    for (const id of ['q-1', 'q-2', 'q-3']) {
      const result = await attemptOnce(client, { id, target, method: 'POST', body: LARGE_UPLOAD });
      expect(result).to.include({ type: 'answered', status: 200 });
    }
    await pools.stop();
    await upstream.stop();
  });
});

function createPools(): UpstreamPools {
  const greeting = { type: 'greeting', cluster: 'c', kind: 'router', name: 'r1', zone: 'a' } as const;
  return new UpstreamPools({
    connectionsPerUpstream: 1,
    connectMillis: CONNECT_MILLIS,
    dialer: new RelayDialer({
      identity: { greeting, secret: 's', expects: ['router'] },
      onClosing: () => {},
    }),
    onClientFailed: (_address, error) => {
      throw error;
    },
  });
}
