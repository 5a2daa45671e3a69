/** Answers that have no body, whatever length their head names (RFC 9110, 8.6 and 15.4.5). */
import { expect } from 'chai';
import { LogRecorder } from './log-recorder.js';
import { call, RouterFixture } from './router-fixture.js';
import { headFor, ScriptedUpstream } from './scripted-upstream.js';

const LENGTH = 'content-length: 15';
const CASES = [
  { status: '304 Not Modified', method: 'GET', lines: [] },
  { status: '304 Not Modified', method: 'GET', lines: [LENGTH] },
  { status: '304 Not Modified', method: 'HEAD', lines: [LENGTH] },
  { status: '304 Not Modified', method: 'GET', lines: [LENGTH, 'connection: close'] },
  { status: '304 Not Modified', method: 'GET', lines: ['transfer-encoding: chunked'] },
  { status: '204 No Content', method: 'GET', lines: [LENGTH] },
  { status: '200 OK', method: 'HEAD', lines: [LENGTH] },
  { status: '200 OK', method: 'HEAD', lines: ['transfer-encoding: chunked'] },
] as const;

describe('an answer without a body', () => {
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

  for (const { status, method, lines } of CASES) {
    // Guards against a 502 for a whole answer whose head names the length that the body of another one would have.
    it(`is passed on: ${[status, `to ${method}`, ...lines].join(', ')}`, async () => {
      upstream.script = (request) =>
        request.socket.write(headFor(request, ...lines).replace('200 OK', status));
      for (const path of ['/reads/1', '/reads/2', '/reads/3']) {
        const answer = await call(router.address, { method, path, headers: {} });
        expect([answer.status, answer.whole, answer.body]).to.deep.equal([
          Number(status.slice(0, 3)),
          true,
          '',
        ]);
      }
      expect(upstream.requests).to.have.length(3);
    });

    it(`is broken if its head is cut: ${[status, `to ${method}`, ...lines].join(', ')}`, async () => {
      upstream.script = (request) =>
        request.socket.end(
          headFor(request, ...lines)
            .replace('200 OK', status)
            .slice(0, -1),
        );
      expect((await call(router.address, { method, path: '/reads/1', headers: {} })).status).to.be.oneOf([
        502, 503, 504,
      ]);
    });
  }
});
