/** A router finishes its requests on a planned stop; an upstream that an operator drains gets no new requests. */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { HEADERS } from '../../src/model/outcome.js';
import type { UpstreamRecord } from '../../src/registry/types.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import type { RelayStream } from '../../src/router/relay/relay-stream.js';
import { freeAddress } from './free-address.js';
import { LogRecorder } from './log-recorder.js';
import { call, RouterFixture, until } from './router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

const LONG = 'x'.repeat(4096);
const HALF = LONG.length / 2;
/** More than a stop waits for what isn't answered yet. */
const LONG_WORK_MILLIS = 2500;
/** More than a read takes before it is sent elsewhere. */
const OVERDUE_WORK_MILLIS = 1200;
/** How long messages of settlements are lost. */
const LOST_MILLIS = 100;

/** Marks the upstream `id` as drained by the operator. */
function drain(id: string): (record: UpstreamRecord) => UpstreamRecord {
  return (record) =>
    record.definition.id === id ? { ...record, definition: { ...record.definition, leaving: true } } : record;
}

describe('a planned stop of a router', () => {
  let upstream: ScriptedUpstream;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream(() => {}).start();
  });

  afterEach(() => upstream.stop());

  it('finishes requests in flight, waiting requests and streamed answers', async () => {
    const router = await RouterFixture.start([upstream], {
      reads: { slotsPerUpstream: 2, wholeAnswerBytes: 1024 },
    });
    const paths = ['/reads/1', '/reads/long', '/reads/3', '/reads/4'];
    const answers = paths.map((path) => router.get(path));
    const order = router.order('/orders/5');
    await until(() => upstream.requests.length === 3);
    const long = upstream.requests.find(({ target }) => target === '/reads/long') as ScriptedRequest;
    long.socket.write(`${headFor(long, `content-length: ${LONG.length}`)}${LONG.slice(0, HALF)}`);
    const stopped = router.stop();
    upstream.script = answerWhole;
    for (const request of upstream.requests.filter((other) => other !== long)) {
      answerWhole(request);
    }
    long.socket.write(LONG.slice(HALF));
    const results = await Promise.all(answers);
    expect(results.map(({ status, whole }) => ({ status, whole }))).to.deep.equal(
      paths.map(() => ({ status: 200, whole: true })),
    );
    expect(results.map(({ body }) => body)).to.deep.equal(['/reads/1', LONG, '/reads/3', '/reads/4']);
    expect(await order).to.include({ status: 200, body: '/orders/5', whole: true });
    await stopped;
  });

  // Guards against reads that are broken off at a slow upstream during a stop, and answered 502 since another one failed.
  it('waits for a slow upstream rather than send a read elsewhere', async () => {
    const other = await new ScriptedUpstream().start();
    const router = await RouterFixture.start([upstream, other]);
    let arrived = 0;
    upstream.script = other.script = (request) => {
      arrived += 1;
      if (arrived === 1) {
        setTimeout(() => answerWhole(request), OVERDUE_WORK_MILLIS);
      } else {
        request.socket.destroy();
      }
    };
    const answer = router.get('/reads/1');
    await until(() => arrived === 1);
    const stopped = router.stop();
    expect(await answer).to.include({ status: 200, whole: true });
    expect(arrived).to.equal(1);
    await stopped;
    await other.stop();
  });

  it('answers a request that crosses with it, and accepts no new connection afterwards', async () => {
    const cookies = ['set-cookie: a=1', 'set-cookie: b=2'];
    upstream.script = (request) => request.socket.write(headFor(request, 'content-length: 0', ...cookies));
    const router = await RouterFixture.start([upstream], { settings: { timings: { idleMillis: 300 } } });
    const address = router.address;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const get = (path: string) => call(address, { method: 'GET', path, headers: {}, agent });
    const first = await get('/reads/1');
    const stopped = router.stop();
    const second = await get('/reads/2');
    expect([first.status, second.status]).to.deep.equal([200, 200]);
    expect(second.headers.connection).to.equal('close');
    expect(second.headers['set-cookie']).to.deep.equal(['a=1', 'b=2']);
    await stopped;
    expect((await get('/reads/3')).status).to.equal(null);
  });
});

describe('the claims of a router in a planned stop', () => {
  // Guards against keys that stay claimed without a result, since the process ends before control has heard how their orders ended.
  it('are settled and acknowledged before it ends, also where a first message is lost', async () => {
    const upstream = await new ScriptedUpstream().start();
    const router = await RouterFixture.start([upstream]);
    router.control.acknowledgesSettlements = false;
    expect(await router.order('/orders/1')).to.include({ status: 200 });
    const stopped = router.daemon.stop();
    await sleep(LOST_MILLIS);
    expect(router.control.settled).to.have.length(0);
    router.control.acknowledgesSettlements = true;
    await stopped;
    expect(router.control.settled).to.have.length(1);
    await router.stop();
    await upstream.stop();
  });
});

describe('a planned stop of a router that carries connections of others', () => {
  // Guards against answers of other routers' callers that are cut off while there is time to finish them.
  it('lets an answer that it carries come to its end within its grace time', async () => {
    const upstream = await new ScriptedUpstream(() => {}).start();
    const relay = await freeAddress();
    const router = await RouterFixture.start([upstream], { settings: { relay } });
    const { cluster, secret } = BENCH_IDENTITY;
    const greeting = { type: 'greeting', cluster, kind: 'router', name: 'r2', zone: 'a' } as const;
    const dialer = new RelayDialer({
      identity: { greeting, secret, expects: ['router'] },
      onClosing: () => {},
    });
    const peer = { router: 'r1', zone: 'a', address: relay };
    const stream = await new Promise<RelayStream | null>((resolve) => {
      dialer.open({ peer, upstream: 'reads-1', timeoutMillis: 1000 }, (_error, opened) => resolve(opened));
    });
    let received = '';
    stream?.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
    });
    stream?.write('GET /reads/1 HTTP/1.1\r\nHost: r\r\n\r\n');
    await until(() => upstream.requests.length === 1);
    const { socket } = upstream.requests[0] as ScriptedRequest;
    socket.write(LONG.slice(0, HALF));
    const stopped = router.stop();
    await sleep(LONG_WORK_MILLIS);
    socket.write(LONG.slice(HALF));
    await until(() => received === LONG);
    stream?.end();
    await stopped;
    await upstream.stop();
  });
});

describe('a draining upstream', () => {
  it('drained by an operator gets no new requests and finishes those it has', async () => {
    const [first, second] = await Promise.all([
      new ScriptedUpstream().start(),
      new ScriptedUpstream().start(),
    ]);
    const router = await RouterFixture.start([first, second]);
    first.script = () => {};
    second.script = () => {};
    const held = [
      router.get('/reads/1'),
      router.get('/reads/2'),
      router.get('/reads/3'),
      router.get('/reads/4'),
    ];
    await until(() => first.requests.length + second.requests.length === held.length);
    router.changeUpstreams(drain('reads-1'));
    await until(() => router.daemon.status().revision === 11);
    const before = first.requests.length;
    second.script = answerWhole;
    for (const request of [...first.requests, ...second.requests]) {
      answerWhole(request);
    }
    expect((await Promise.all(held)).map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
    for (let index = 0; index < 20; index++) {
      expect((await router.get(`/reads/more-${index}`)).status).to.equal(200);
    }
    expect(first.requests).to.have.length(before);
    await router.stop();
    await Promise.all([first.stop(), second.stop()]);
  });

  it('gets no request from a router without contact to control, whose configuration lease is over', async () => {
    const upstream = await new ScriptedUpstream().start();
    const configLease = { configLeaseMillis: 300, syncMillis: 50, clockRateError: 0.005 };
    const log = new LogRecorder();
    const router = await RouterFixture.start([upstream], { settings: { timings: { configLease } }, log });
    await router.control.stop();
    await until(() => !router.daemon.status().serving);
    const answer = await router.get('/reads/1');
    expect(answer.status).to.equal(503);
    expect(answer.headers[HEADERS.outcome]).to.equal('not-run');
    expect(answer.headers['retry-after']).not.to.equal(undefined);
    await sleep(20);
    expect(upstream.requests).to.have.length(0);
    expect(log.warnings).to.deep.equal(['configuration-lease-over']);
    await router.daemon.stop();
    await upstream.stop();
  });
});
