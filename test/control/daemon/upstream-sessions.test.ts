/** Sessions with upstreams: however a response ends, it is the outcome of that one exchange. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { UpstreamSessions } from '../../../src/control/daemon/upstream-sessions.js';
import { LogRecorder } from '../../router/log-recorder.js';
import { until } from '../../router/router-fixture.js';
import { type ScriptedRequest, ScriptedUpstream } from '../../router/scripted-upstream.js';

const CALL_MILLIS = 200;
const CALLS = 5;
/** Less than one read of a socket, more than one, and more than the client holds. */
const SIZES_BYTES = [1000, 70_000, 300_000];

const ANSWER = {
  ...{ upstream: 'u1', incarnation: 'i-1', stamp: 1, term: 1, inFlight: 0, refused: null },
  ...{ held: [], draining: [], released: [], warmed: [] },
};

const FRAMINGS: Readonly<Record<string, (body: string) => string>> = {
  'no length': (body) => `\r\n${body}`,
  'a length': (body) => `Content-Length: ${body.length + 1}\r\n\r\n${body}`,
  chunks: (body) => `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}`,
};
const ENDINGS: Readonly<Record<string, (request: ScriptedRequest) => void>> = {
  'a FIN': ({ socket }) => socket.end(),
  'a reset': ({ socket }) => socket.resetAndDestroy(),
  silence: () => {},
};

describe('a response of an upstream to a session request', () => {
  let upstream: ScriptedUpstream;
  let sessions: UpstreamSessions;
  let failed: number;
  let answered: number;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    failed = 0;
    answered = 0;
    const owner = { answered: () => (answered += 1), failed: () => (failed += 1) };
    sessions = new UpstreamSessions({
      timeoutMillis: CALL_MILLIS,
      owner: owner as never,
      log: new LogRecorder(),
      secret: '',
    });
  });

  afterEach(async () => {
    await sessions.stop();
    await upstream.stop();
  });

  // Guards against heads that are checked on new connections alone.
  it('with a status of four digits fails as the second one of its connection too', async () => {
    for (const [sequence, status] of ['200', '200', '0200'].entries()) {
      upstream.script = ({ socket }) => {
        const body = JSON.stringify({ ...ANSWER, sequence });
        socket.write(`HTTP/1.1 ${status} OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
      };
      sessions.call('u1', upstream.address, { upstream: 'u1', sequence } as never);
      await until(() => answered + failed === sequence + 1);
    }
    expect({ answered, failed }).to.deep.equal({ answered: 2, failed: 1 });
    expect(upstream.requests.map(({ connection }) => connection)).to.deep.equal([1, 1, 1]);
  });

  for (const [framing, frame] of Object.entries(FRAMINGS)) {
    for (const [ending, end] of Object.entries(ENDINGS)) {
      // Guards against a member that ends by itself, since its HTTP client throws when a response is broken off.
      it(`with ${framing} that is broken off by ${ending} fails, and ends nothing else`, async () => {
        for (const bytes of SIZES_BYTES) {
          upstream.script = (request) => {
            request.socket.write(`HTTP/1.1 200 OK\r\n${frame('x'.repeat(bytes))}`, () => end(request));
          };
          const before = failed;
          for (let sequence = 0; sequence < CALLS; sequence += 1) {
            sessions.call(`u${sequence}`, upstream.address, { upstream: `u${sequence}`, sequence } as never);
          }
          await until(() => failed === before + CALLS);
          await sleep(0);
        }
        expect(answered).to.equal(0);
      });
    }
  }
});
