/** Interim answers (RFC 9110, 15.2) in front of an answer: they end no exchange, whatever they say about their connection. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture } from './router-fixture.js';
import {
  answerWhole,
  headFor,
  type ScriptedRequest,
  ScriptedUpstream,
  wholeAnswer,
} from './scripted-upstream.js';

const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n';
const CLOSING_HINTS = `${EARLY_HINTS}Connection: close\r\n\r\n`;
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const BODY = 'the whole sheet';
const MAX_INTERIM_BYTES = 64 * 1024;
const PAUSE_MILLIS = 5;

const INTERIMS: Readonly<Record<string, string>> = {
  'early hints': `${EARLY_HINTS}\r\n`,
  'early hints that close': CLOSING_HINTS,
  'several that close': CLOSING_HINTS.repeat(3),
  'a continue that nobody waits for': CONTINUE,
  'a continue that closes': 'HTTP/1.1 100 Continue\r\nconnection: close\r\n\r\n',
  'a continue, then early hints that close': CONTINUE + CLOSING_HINTS,
  'early hints of HTTP/1.0': 'HTTP/1.0 103 Early Hints\r\n\r\n',
  'a status without a reason': 'HTTP/1.1 102\r\nconnection: close\r\n\r\n',
};

const FINALS: Readonly<Record<string, (request: ScriptedRequest) => string>> = {
  'a length': (request) => wholeAnswer(request, BODY),
  chunks: (request) =>
    `${headFor(request, 'transfer-encoding: chunked')}${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  'a length, closes': (request) =>
    `${headFor(request, 'connection: close', `content-length: ${BODY.length}`)}${BODY}`,
};

describe('an answer behind interim answers', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], { log: new LogRecorder() });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  for (const [interim, text] of Object.entries(INTERIMS)) {
    // Guards against a 502 for an answer that its upstream had sent whole.
    it(`is passed on whole behind ${interim}`, async () => {
      for (const [framing, final] of Object.entries(FINALS)) {
        upstream.script = (request) => request.socket.write(text + final(request));
        const together = await router.order('/orders/1');
        upstream.script = async (request) => {
          request.socket.write(text);
          await sleep(PAUSE_MILLIS);
          request.socket.write(final(request));
        };
        const apart = await router.order('/orders/2');
        for (const { status, whole, body } of [together, apart]) {
          expect({ framing, status, whole, body }).to.deep.equal({
            framing,
            status: 200,
            whole: true,
            body: BODY,
          });
        }
      }
    });
  }

  // Guards against a request that is sent into a connection which its upstream is about to close.
  it('closes the connection if an interim answer says so', async () => {
    upstream.script = (request) => request.socket.write(CLOSING_HINTS + wholeAnswer(request));
    expect((await router.order('/orders/1')).status).to.equal(200);
    upstream.script = answerWhole;
    expect((await router.order('/orders/2')).status).to.equal(200);
    expect(upstream.requests.map(({ connection }) => connection)).to.deep.equal([1, 2]);
  });

  it('keeps the connection if none says so', async () => {
    upstream.script = (request) => request.socket.write(INTERIMS['early hints'] + wholeAnswer(request));
    await router.order('/orders/1');
    await router.order('/orders/2');
    expect(upstream.requests.map(({ connection }) => connection)).to.deep.equal([1, 1]);
  });

  for (const [end, bytes] of [
    ['in an interim answer', CLOSING_HINTS.slice(0, -1)],
    ['behind one', CLOSING_HINTS],
    ['behind one that switches protocols', 'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n'],
  ] as const) {
    it(`is broken if its connection ends ${end}`, async () => {
      upstream.script = ({ socket }) => socket.end(bytes);
      expect((await router.order('/orders/1')).status).to.equal(502);
    });
  }

  for (const [what, text] of [
    ['one that is too long', `${EARLY_HINTS}x: ${'x'.repeat(2 * MAX_INTERIM_BYTES)}`],
    ['too many', CLOSING_HINTS.repeat((2 * MAX_INTERIM_BYTES) / CLOSING_HINTS.length)],
  ] as const) {
    it(`isn't waited for behind ${what}`, async () => {
      upstream.script = ({ socket }) => socket.write(text);
      expect((await router.order('/orders/1')).status).to.equal(502);
    });
  }
});
