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
