/** Which reads of a service with `coalesce` share an attempt, and which answers may be shared. */
import { expect } from 'chai';
import { RouterFixture, until } from './router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

type Headers = Record<string, string>;

interface PairCase {
  readonly pair: string;
  readonly first: Headers;
  readonly second: Headers;
  readonly shared: boolean;
}

const PAIRS: readonly PairCase[] = [
  { pair: 'that are alike', first: { accept: 'a' }, second: { accept: 'a' }, shared: true },
  {
    pair: 'of two browsers',
    first: { 'user-agent': 'a', 'x-request-id': '1', 'sec-ch-ua': 'x' },
    second: { 'user-agent': 'b', 'x-request-id': '2', 'sec-ch-ua': 'y' },
    shared: true,
  },
  {
    pair: 'with different credentials',
    first: { authorization: 'a' },
    second: { authorization: 'b' },
    shared: false,
  },
  { pair: 'one with a cookie', first: { cookie: 'session=1' }, second: {}, shared: false },
  {
    pair: 'in two languages',
    first: { 'accept-language': 'si' },
    second: { 'accept-language': 'ta' },
    shared: false,
  },
  { pair: 'one of a range', first: {}, second: { range: 'bytes=0-3' }, shared: false },
  { pair: 'one with a condition', first: { 'if-none-match': '"1"' }, second: {}, shared: false },
  {
    pair: 'with a header of the service',
    first: { 'x-home': '1' },
    second: { 'x-home': '2' },
    shared: false,
  },
  { pair: 'one with a body', first: { 'content-length': '2' }, second: {}, shared: false },
];

interface AnswerCase {
  readonly answer: string;
  readonly line: string;
  readonly shared: boolean;
}

const ANSWERS: readonly AnswerCase[] = [
  { answer: 'that is public', line: 'cache-control: max-age=1', shared: true },
  { answer: 'that varies by what both have in common', line: 'vary: Accept-Language', shared: true },
  { answer: 'that sets a cookie', line: 'set-cookie: session=1', shared: false },
  { answer: 'that is private', line: 'Cache-Control: max-age=1, Private', shared: false },
  { answer: 'that must not be stored', line: 'cache-control: no-store', shared: false },
  { answer: 'that varies by anything', line: 'vary: *', shared: false },
  { answer: 'that varies by the browser', line: 'Vary: accept, User-Agent', shared: false },
];

describe('reads that may share an attempt', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  before(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], { reads: { coalesce: true, slotsPerUpstream: 8 } });
  });

  beforeEach(() => {
    upstream.requests.splice(0);
    upstream.script = () => {};
  });

  after(async () => {
    await router.stop();
    await upstream.stop();
  });

  for (const { pair, first, second, shared } of PAIRS) {
    it(`two ${pair}: ${shared ? 'share it' : 'one each'}`, async () => {
      const one = router.get('/reads/1', first, first['content-length'] === undefined ? '' : 'ab');
      await until(() => upstream.requests.length === 1);
      const other = router.get('/reads/1', second);
      await until(() => upstream.requests.length === (shared ? 1 : 2) && openRequests(router) === 2);
      upstream.requests.forEach((request, index) => {
        request.socket.write(`${headFor(request, 'content-length: 1')}${index}`);
      });
      expect([(await one).body, (await other).body]).to.deep.equal(['0', shared ? '0' : '1']);
    });
  }

  for (const { answer, line, shared } of ANSWERS) {
    it(`an answer ${answer} goes to ${shared ? 'both' : 'the first caller only'}`, async () => {
      const one = router.get('/reads/1');
      await until(() => upstream.requests.length === 1);
      const other = router.get('/reads/1');
      await until(() => openRequests(router) === 2);
      const [request] = upstream.requests as [ScriptedRequest];
      request.socket.write(`${headFor(request, 'content-length: 5', line)}first`);
      expect((await one).body).to.equal('first');
      if (!shared) {
        await until(() => upstream.requests.length === 2);
        answerWhole(upstream.requests[1] as ScriptedRequest);
      }
      expect((await other).body).to.equal(shared ? 'first' : '/reads/1');
    });
  }

  it('a caller that joined gets no personal answer after the first caller disconnected', async () => {
    const aborter = new AbortController();
    const lost = router.get('/reads/1', {}, '', aborter.signal);
    await until(() => upstream.requests.length === 1);
    const joined = router.get('/reads/1');
    await until(() => openRequests(router) === 2);
    aborter.abort();
    await lost;
    await until(() => openRequests(router) === 1);
    const [request] = upstream.requests as [ScriptedRequest];
    request.socket.write(`${headFor(request, 'content-length: 5', 'set-cookie: a=1')}first`);
    await until(() => upstream.requests.length === 2);
    answerWhole(upstream.requests[1] as ScriptedRequest);
    const { body, headers } = await joined;
    expect({ body, cookie: headers['set-cookie'] }).to.deep.equal({ body: '/reads/1', cookie: undefined });
  });
});

/** Number of callers' requests that are open at the router. */
function openRequests(router: RouterFixture): number {
  return router.daemon.openRequests;
}
