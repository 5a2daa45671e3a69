/** What callers may send a router: bounds, malformed requests, and headers that are none of theirs. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { HEADERS } from '../../src/model/outcome.js';
import { parseAddress } from '../../src/wire/index.js';
import { RawCaller } from '../router/caller/raw-caller.js';
import { RouterFixture, until } from '../router/router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../router/scripted-upstream.js';

const MAX_BODY = 1000;
const MAX_HEADER = 2048;
const SERVICE_DEADLINE = 3000;
const HTTP = { maxHeaderBytes: MAX_HEADER, headersMillis: 300, requestMillis: 600, keepAliveMillis: 5000 };

/** Sends bytes and gives all that comes back until the router closes the connection. */
async function exchange(router: RouterFixture, bytes: string): Promise<string> {
  const socket = connect(parseAddress(router.address));
  let received = '';
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => {
    received += chunk;
  });
  socket.on('error', () => {});
  socket.write(bytes);
  await once(socket, 'close');
  return received;
}

function statusIn(answer: string): number {
  return Number(answer.split(' ', 2)[1]);
}

const CLOSE = 'Host: r\r\nConnection: close';

interface MalformedCase {
  readonly request: string;
  readonly bytes: string;
  /** `null`: the connection is closed without an answer. */
  readonly status: number | null;
}

const MALFORMED: readonly MalformedCase[] = [
  { request: 'no HTTP at all', bytes: 'hello\r\n\r\n', status: 400 },
  { request: 'without a Host', bytes: 'GET /reads/1 HTTP/1.1\r\n\r\n', status: 400 },
  { request: 'with two Hosts', bytes: `GET /reads/1 HTTP/1.1\r\nHost: q\r\n${CLOSE}\r\n\r\n`, status: 400 },
  { request: 'for no service', bytes: `GET / HTTP/1.1\r\n${CLOSE}\r\n\r\n`, status: 400 },
  {
    request: 'with a target that is no path',
    bytes: `GET http://x/reads/1 HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    status: 400,
  },
  {
    request: 'for a service that there is not',
    bytes: `GET /other/1 HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    status: 404,
  },
  {
    request: 'with a key that is no UTF-8',
    bytes: `GET /reads/%ff HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    status: 400,
  },
  {
    request: 'with a deadline that is no number',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\n${HEADERS.deadlineMillis}: soon\r\n\r\n`,
    status: 400,
  },
  {
    request: 'with no time left',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\n${HEADERS.deadlineMillis}: 0\r\n\r\n`,
    status: 400,
  },
  {
    request: 'with two lengths',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab`,
    status: 400,
  },
  {
    request: 'with a length and chunks',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    status: 400,
  },
  {
    request: 'with a header above the bound',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\nX-Long: ${'x'.repeat(MAX_HEADER)}\r\n\r\n`,
    status: 431,
  },
  {
    request: 'with a body that is announced above the bound',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: ${MAX_BODY + 1}\r\n\r\n`,
    status: 413,
  },
  {
    request: 'with chunks above the bound',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n${'x'.repeat(1024)}\r\n`,
    status: 413,
  },
  {
    request: 'whose header comes too slowly',
    bytes: 'GET /reads/1 HTTP/1.1\r\nHost: r\r\nX-Slow: ',
    status: 408,
  },
  {
    request: 'whose body comes too slowly',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 10\r\n\r\npart`,
    status: 408,
  },
  { request: 'to open a tunnel', bytes: 'CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n', status: 400 },
  {
    request: 'that must not be repeated, without a key',
    bytes: `POST /orders/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 0\r\n\r\n`,
    status: 400,
  },
  {
    request: 'that must not be repeated, with a key of unknown age',
    bytes: `POST /orders/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 0\r\nIdempotency-Key: a\r\n\r\n`,
    status: 400,
  },
];

interface UnusualCase {
  readonly request: string;
  readonly bytes: string;
  /** As the upstream gets it. */
  readonly method: string;
  readonly body: string;
}

const UNUSUAL: readonly UnusualCase[] = [
  {
    request: 'with an empty header',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\nX-Empty:\r\n\r\n`,
    method: 'GET',
    body: '',
  },
  {
    request: 'with a header in Latin-1',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\nX-Name: caf\u00e9\r\n\r\n`,
    method: 'GET',
    body: '',
  },
  { request: 'of HTTP/1.0', bytes: 'GET /reads/1 HTTP/1.0\r\n\r\n', method: 'GET', body: '' },
  {
    request: 'in chunks',
    bytes: `POST /reads/1 HTTP/1.1\r\n${CLOSE}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n`,
    method: 'POST',
    body: 'abc',
  },
  {
    request: 'that waits to be told to go on',
    bytes: `PUT /reads/1 HTTP/1.1\r\n${CLOSE}\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab`,
    method: 'PUT',
    body: 'ab',
  },
  {
    request: 'that expects something unheard of',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\nExpect: better\r\n\r\n`,
    method: 'GET',
    body: '',
  },
  {
    request: 'with a body that its method has no use for',
    bytes: `GET /reads/1 HTTP/1.1\r\n${CLOSE}\r\nContent-Length: 2\r\n\r\nab`,
    method: 'GET',
    body: 'ab',
  },
  {
    request: 'to switch protocols',
    bytes: 'GET /reads/1 HTTP/1.1\r\nHost: r\r\nConnection: close, Upgrade\r\nUpgrade: websocket\r\n\r\n',
    method: 'GET',
    body: '',
  },
  {
    request: 'of another method',
    bytes: `PROPFIND /reads/1 HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    method: 'PROPFIND',
    body: '',
  },
  {
    request: 'for the head alone',
    bytes: `HEAD /reads/1 HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    method: 'HEAD',
    body: '',
  },
];

describe('requests of callers', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  before(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], {
      reads: { deadlineMillis: SERVICE_DEADLINE },
      settings: { http: HTTP, limits: { maxBodyBytes: MAX_BODY } },
    });
  });

  beforeEach(() => upstream.requests.splice(0));

  after(async () => {
    await router.stop();
    await upstream.stop();
  });

  for (const { request, bytes, status } of MALFORMED) {
    it(`${request}: ${status ?? 'no answer'}, and nothing reaches an upstream`, async () => {
      const answer = await exchange(router, bytes);
      expect(answer === '' ? null : statusIn(answer)).to.equal(status);
      if (status !== null) {
        expect(answer.toLowerCase()).to.contain(`\r\n${HEADERS.outcome}: not-run\r\n`);
      }
      expect(upstream.requests).to.have.length(0);
    });
  }

  for (const { request, bytes, method, body } of UNUSUAL) {
    it(`${request}: answered, and the upstream gets it whole`, async () => {
      upstream.script = (sent) =>
        sent.method === 'HEAD' ? sent.socket.write(headFor(sent, 'content-length: 8')) : answerWhole(sent);
      const answer = await exchange(router, bytes);
      expect(statusIn(answer.replace('HTTP/1.1 100 Continue\r\n\r\n', ''))).to.equal(200);
      expect(upstream.requests).to.have.length(1);
      expect(upstream.requests[0]).to.include({ method, body, target: '/reads/1' });
      expect(upstream.requests[0]?.headers.has('upgrade')).to.equal(false);
    });
  }

  it('an answer of its own says what became of the request', async () => {
    const answer = await router.get('/other/1');
    expect(answer.headers[HEADERS.outcome]).to.equal('not-run');
    expect(JSON.parse(answer.body)).to.include({ outcome: 'not-run', reason: 'unknown-service' });
  });

  it('with internal headers of their own: none of them reaches the upstream', async () => {
    const forged = {
      [HEADERS.epoch]: '999',
      [HEADERS.shard]: 'reads/all@1/0',
      [HEADERS.incarnation]: 'x',
      [HEADERS.outcome]: 'not-run',
      [HEADERS.requestId]: 'forged.1',
      [HEADERS.load]: '0',
      'Ternmount-Anything': 'x',
      connection: 'keep-alive, x-own',
      'x-own': 'dropped',
    };
    expect(await router.get('/reads/1', forged)).to.include({ status: 200, body: '/reads/1' });
    const { headers } = upstream.requests[0] as ScriptedRequest;
    const internal = [...headers.keys()].filter((name) => name.startsWith('ternmount-'));
    expect(internal.sort()).to.deep.equal([HEADERS.deadlineMillis, HEADERS.requestId].sort());
    expect(headers.get(HEADERS.requestId)).to.match(new RegExp(`^${router.daemon.incarnation}\\.`));
    expect(headers.has('x-own')).to.equal(false);
  });

  for (const [asked, most] of [
    [60_000, SERVICE_DEADLINE],
    [500, 500],
  ] as const) {
    it(`with a deadline of ${asked} ms: the upstream is told of ${most} ms at most`, async () => {
      await router.get('/reads/1', { [HEADERS.deadlineMillis]: `${asked}` });
      const told = Number(upstream.requests[0]?.headers.get(HEADERS.deadlineMillis));
      expect(told).to.be.within(1, most);
    });
  }

  it('one after the other on one connection, sent without waiting: answered in their order', async () => {
    const one = 'GET /reads/1 HTTP/1.1\r\nHost: r\r\n\r\n';
    const answer = await exchange(
      router,
      `${one}${one.replace('/1', '/2')}GET /reads/3 HTTP/1.1\r\n${CLOSE}\r\n\r\n`,
    );
    expect(answer.match(/\/reads\/\d/g)).to.deep.equal(['/reads/1', '/reads/2', '/reads/3']);
  });

  it('and garbage behind one that runs: it gets its own answer, and the garbage one behind that', async () => {
    upstream.script = () => {};
    const head = `POST /orders/1 HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n`;
    const key = `Idempotency-Key: garbage\r\nIdempotency-Issued-At: ${Date.now()}\r\n\r\n`;
    const caller = await RawCaller.connect(router.address);
    caller.send(`${head}${key}garbage\r\n\r\n`);
    await until(() => upstream.requests.length === 1);
    await router.get('/other/1');
    expect([caller.answers, caller.rest, caller.closed]).to.deep.equal([[], '', false]);
    answerWhole(upstream.requests[0] as ScriptedRequest);
    await until(() => caller.closed);
    expect(caller.statuses).to.deep.equal([200, 400]);
    expect(caller.bodies[0]).to.equal('/orders/1');
    expect(JSON.parse(caller.bodies[1] as string)).to.include({ outcome: 'not-run', reason: 'bad-request' });
    expect(caller.rest).to.equal('');
    upstream.script = answerWhole;
  });

  it('of many slow callers do not keep others from being served', async () => {
    const slow: Socket[] = Array.from({ length: 50 }, () => connect(parseAddress(router.address)));
    for (const socket of slow) {
      socket.on('error', () => {}).resume();
      socket.write('POST /reads/slow HTTP/1.1\r\nHost: r\r\nContent-Length: 10\r\n\r\nx');
    }
    expect(await router.get('/reads/1')).to.include({ status: 200, body: '/reads/1' });
    await until(() => slow.every((socket) => socket.destroyed));
    expect(upstream.requests.map(({ target }) => target)).to.deep.equal(['/reads/1']);
  });
});
