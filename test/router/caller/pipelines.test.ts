/** Pipelined requests on a caller's connection are answered in order, and are all cancelled when the caller disconnects. */
import { expect } from 'chai';
import { HEADERS } from '../../../src/model/outcome.js';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, postHead, RawCaller } from './raw-caller.js';

const BOUND = 8;
const LARGE = 'x'.repeat(4096);
/** Answers above this are streamed. */
const WHOLE_BYTES = 1024;
const IDLE_MILLIS = 200;

function reads(count: number, prefix = ''): string[] {
  return Array.from({ length: count }, (_, index) => `/reads/${prefix}${index}`);
}

function pipeline(paths: readonly string[]): string {
  return paths.map(getHead).join('');
}

function ignore(): void {}

describe('pipelined requests on a connection', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let caller: RawCaller;

  function requestFor(target: string): ScriptedRequest {
    return upstream.requests.find((request) => request.target === target) as ScriptedRequest;
  }

  function targets(): string[] {
    return upstream.requests.map(({ target }) => target);
  }

  /** Only reads of which an answer was read whole are handed on side by side. */
  async function learnThatReadsAreSmall(): Promise<void> {
    upstream.script = answerWhole;
    await router.get('/reads/known');
    upstream.script = ignore;
    upstream.requests.length = 0;
  }

  /** Whether each answer has `connection: close`. */
  function closings(): boolean[] {
    return caller.answers.map(({ head }) => /connection: close/i.test(head));
  }

  /** Waits until a request on another connection is answered, by which time everything sent before it has been read. */
  async function waitForOtherRequest(): Promise<void> {
    await router.get('/nothing/1');
  }

  async function waitUntilIdle(): Promise<void> {
    await until(() => router.daemon.openRequests === 0);
    await until(() => router.daemon.status().inFlight === 0 && router.daemon.status().queued === 0);
  }

  beforeEach(async () => {
    upstream = await new ScriptedUpstream(ignore).start();
    router = await RouterFixture.start([upstream], {
      reads: {
        slotsPerUpstream: 32,
        queueLimit: 5000,
        wholeAnswerBytes: WHOLE_BYTES,
        deadlineMillis: 20_000,
      },
      orders: { slotsPerUpstream: 32, deadlineMillis: 20_000 },
      settings: { limits: { requestsPerConnection: BOUND }, timings: { idleMillis: IDLE_MILLIS } },
      frontEnd: 'node',
      announced: true,
    });
    await learnThatReadsAreSmall();
    caller = await RawCaller.connect(router.address);
  });

  afterEach(async () => {
    caller.disconnect();
    await waitUntilIdle();
    await router.stop();
    await upstream.stop();
  });

  for (const count of [2, 20, 2000]) {
    it(`${count} of them are answered in order, and no more than the limit run at once`, async () => {
      const paths = reads(count);
      let mostInFlight = 0;
      upstream.script = (request) => {
        mostInFlight = Math.max(mostInFlight, router.daemon.status().inFlight);
        answerWhole(request);
      };
      caller.send(pipeline(paths));
      await until(() => caller.answers.length === count);
      expect(caller.bodies).to.deep.equal(paths);
      expect(mostInFlight).to.be.at.most(BOUND);
    });
  }

  it('are answered in order although the last is ready first', async () => {
    caller.send(pipeline(reads(3)));
    await until(() => upstream.requests.length === 3);
    answerWhole(requestFor('/reads/2'));
    answerWhole(requestFor('/reads/1'));
    await waitForOtherRequest();
    expect(caller.answers).to.have.length(0);
    answerWhole(requestFor('/reads/0'));
    await until(() => caller.answers.length === 3);
    expect(caller.bodies).to.deep.equal(reads(3));
  });

  it('are accepted however their bytes are split', async () => {
    upstream.script = answerWhole;
    const text = `${pipeline(reads(3))}${postHead('/orders/1', 'body')}${pipeline(['/reads/last'])}`;
    for (let cut = 1; cut < text.length; cut += 7) {
      const splitCaller = await RawCaller.connect(router.address);
      splitCaller.send(text.slice(0, cut));
      await new Promise(setImmediate);
      splitCaller.send(text.slice(cut));
      await until(() => splitCaller.answers.length === 5);
      expect(splitCaller.bodies).to.deep.equal([...reads(3), '/orders/1', '/reads/last']);
      splitCaller.disconnect();
      await waitUntilIdle();
    }
  });

  it('an unsafe request runs alone: after those in front of it, before those behind', async () => {
    caller.send(`${pipeline(reads(2))}${postHead('/orders/1', 'body')}${pipeline(['/reads/last'])}`);
    await until(() => upstream.requests.length === 2);
    answerWhole(requestFor('/reads/1'));
    await waitForOtherRequest();
    expect(targets()).to.have.members(reads(2));
    answerWhole(requestFor('/reads/0'));
    await until(() => upstream.requests.length === 3);
    await waitForOtherRequest();
    expect(targets()).to.have.members([...reads(2), '/orders/1']);
    answerWhole(requestFor('/orders/1'));
    await until(() => upstream.requests.length === 4);
    answerWhole(requestFor('/reads/last'));
    await until(() => caller.answers.length === 4);
    expect(caller.bodies).to.deep.equal([...reads(2), '/orders/1', '/reads/last']);
  });

  it('the time that a request waits behind others counts towards its deadline', async () => {
    const deadline = 15_000;
    const read = getHead('/reads/0').replace(
      '\r\n\r\n',
      `\r\n${HEADERS.deadlineMillis}: ${deadline}\r\n\r\n`,
    );
    caller.send(`${postHead('/orders/1', 'body')}${read}`);
    await until(() => upstream.requests.length === 1);
    const startedAt = performance.now();
    await new Promise((resolve) => setTimeout(resolve, 50));
    answerWhole(requestFor('/orders/1'));
    const waited = Math.floor(performance.now() - startedAt);
    await until(() => upstream.requests.length === 2);
    const forwardedMillis = Number(requestFor('/reads/0').headers.get(HEADERS.deadlineMillis));
    expect(forwardedMillis).to.be.at.most(deadline - waited);
  });

  it('an immediate rejection is sent after the slower answer in front of it', async () => {
    caller.send(pipeline(['/reads/0', '/nothing/1']));
    await until(() => upstream.requests.length === 1);
    await waitForOtherRequest();
    expect(caller.rest).to.equal('');
    answerWhole(requestFor('/reads/0'));
    await until(() => caller.answers.length === 2);
    expect(caller.statuses).to.deep.equal([200, 404]);
  });

  describe('whose caller disconnects', () => {
    it('at upstreams: all are cancelled', async () => {
      caller.send(pipeline(reads(4)));
      await until(() => upstream.requests.length === 4);
      caller.disconnect();
      await waitUntilIdle();
      await until(() => upstream.requests.every(({ socket }) => socket.destroyed));
    });

    it('before the last head has arrived whole: those before it are cancelled', async () => {
      caller.send(`${pipeline(reads(2))}${getHead('/reads/half').slice(0, 20)}`);
      await until(() => upstream.requests.length === 2);
      caller.disconnect();
      await waitUntilIdle();
      expect(targets()).to.have.members(reads(2));
    });

    it('while a body arrives: its bytes are released', async () => {
      caller.send(`${pipeline(['/reads/0'])}${postHead('/orders/1', 'body').slice(0, -2)}`);
      await until(() => upstream.requests.length === 1);
      caller.disconnect();
      await waitUntilIdle();
      expect(targets()).to.deep.equal(['/reads/0']);
    });

    it('while one waits for those in front of it: it is never sent', async () => {
      caller.send(`${pipeline(['/reads/0'])}${postHead('/orders/1', 'body')}${pipeline(['/reads/1'])}`);
      await until(() => router.daemon.openRequests === 3 && upstream.requests.length === 1);
      caller.disconnect();
      await waitUntilIdle();
      expect(targets()).to.deep.equal(['/reads/0']);
    });

    it('with more than the limit pipelined: the disconnect is detected, and no more are sent', async () => {
      caller.send(pipeline(reads(200)));
      await until(() => upstream.requests.length === BOUND);
      caller.disconnect();
      await waitUntilIdle();
      expect(upstream.requests).to.have.length(BOUND);
    });

    it('while an earlier answer streams: the attempts of all are cancelled at their upstreams', async () => {
      caller.send(pipeline(reads(3)));
      await until(() => upstream.requests.length === 3);
      const first = requestFor('/reads/0');
      first.socket.write(`${headFor(first, `content-length: ${LARGE.length}`)}${LARGE.slice(0, 2000)}`);
      await until(() => router.daemon.connectionsUsage().heldAnswerBytes >= 2000);
      caller.disconnect();
      await waitUntilIdle();
      await until(() => upstream.requests.every(({ socket }) => socket.destroyed));
    });

    it('while a large answer waits behind another: its attempt is cancelled at its upstream', async () => {
      caller.send(pipeline(reads(2)));
      await until(() => upstream.requests.length === 2);
      const second = requestFor('/reads/1');
      second.socket.write(`${headFor(second, `content-length: ${LARGE.length}`)}${LARGE.slice(0, 2000)}`);
      await waitForOtherRequest();
      caller.disconnect();
      await waitUntilIdle();
      await until(() => upstream.requests.every(({ socket }) => socket.destroyed));
    });
  });

  // Guards against truncated answers that look whole: one whose end is the end of the connection can be cut anywhere.
  it('an answer that its upstream ended with its connection has a length, and those behind it are answered', async () => {
    caller.send(`${pipeline(reads(3))}${postHead('/orders/1', 'body')}`);
    await until(() => upstream.requests.length === 3);
    upstream.script = answerWhole;
    const second = requestFor('/reads/1');
    second.socket.end(`${headFor(second)}to the end`);
    answerWhole(requestFor('/reads/0'));
    answerWhole(requestFor('/reads/2'));
    await until(() => caller.answers.length === 4);
    expect(caller.bodies).to.deep.equal(['/reads/0', 'to the end', '/reads/2', '/orders/1']);
    expect(caller.answers[1]?.head).to.match(/content-length: 10\r\n/i);
    expect(caller.answers[1]?.head).not.to.match(/connection: close|transfer-encoding/i);
  });

  describe('behind an answer that closes the connection', () => {
    it('to an invalid request: those in front are answered, those behind never sent', async () => {
      caller.send(`${pipeline(reads(2))}GET /reads/bad HTTP/1.1\r\n\r\n${pipeline(['/reads/behind'])}`);
      await until(() => upstream.requests.length === 2);
      upstream.requests.forEach(answerWhole);
      await until(() => caller.closed);
      expect(caller.statuses).to.deep.equal([200, 200, 400]);
      expect(caller.rest).to.equal('');
      expect(targets()).to.have.members(reads(2));
    });

    it('to a body above the limit: those in front are answered first', async () => {
      caller.send(
        `${pipeline(['/reads/0'])}POST /orders/1 HTTP/1.1\r\nHost: r\r\nContent-Length: 99999999\r\n\r\n`,
      );
      await until(() => upstream.requests.length === 1);
      answerWhole(requestFor('/reads/0'));
      await until(() => caller.answers.length === 2);
      expect(caller.statuses).to.deep.equal([200, 413]);
      expect(caller.answers[1]?.head).to.match(/connection: close/i);
    });
  });

  describe('one of whose upstreams fails in the middle of its answer', () => {
    function closeMidway(request: ScriptedRequest): void {
      request.socket.write(`${headFor(request, `content-length: ${LARGE.length}`)}${LARGE.slice(0, 2000)}`);
      setTimeout(() => request.socket.end(), 20);
    }

    it('behind others: it is answered with 502, and the others are answered', async () => {
      caller.send(pipeline(reads(3)));
      await until(() => upstream.requests.length === 3);
      closeMidway(requestFor('/reads/1'));
      await until(() => requestFor('/reads/1').socket.destroyed);
      answerWhole(requestFor('/reads/2'));
      await until(() => router.daemon.status().inFlight === 1);
      answerWhole(requestFor('/reads/0'));
      await until(() => caller.answers.length === 3);
      expect(caller.statuses).to.deep.equal([200, 502, 200]);
    });

    // Guards against requests that ran at a sound upstream and lost their answers, since one in front of them broke off.
    it('in front of others that run: it is answered with 502, and the others are answered', async () => {
      caller.send(pipeline(reads(4)));
      await until(() => upstream.requests.length === 4);
      answerWhole(requestFor('/reads/0'));
      closeMidway(requestFor('/reads/1'));
      await until(() => requestFor('/reads/1').socket.destroyed);
      answerWhole(requestFor('/reads/2'));
      answerWhole(requestFor('/reads/3'));
      await until(() => caller.answers.length === 4);
      expect(caller.statuses).to.deep.equal([200, 502, 200, 200]);
    });

    it('alone in front: the connection is closed, and what waits behind it is never sent', async () => {
      caller.send(pipeline(['/reads/0']));
      await until(() => upstream.requests.length === 1);
      const { socket } = requestFor('/reads/0');
      const head = headFor(requestFor('/reads/0'), `content-length: ${LARGE.length}`);
      socket.write(`${head}${LARGE.slice(0, 2000)}`);
      await until(() => caller.rest.endsWith('x'));
      caller.send(pipeline(['/reads/1', '/reads/2']));
      await until(() => router.daemon.openRequests === 3);
      socket.end();
      await until(() => caller.closed);
      await waitUntilIdle();
      expect([caller.answers.length, targets()]).to.deep.equal([0, ['/reads/0']]);
    });
  });

  describe('when the router stops as planned', () => {
    it('are answered, and the connection closes after them', async () => {
      caller.send(pipeline(reads(3)));
      await until(() => upstream.requests.length === 3);
      const stopped = router.daemon.stop();
      upstream.requests.forEach(answerWhole);
      await until(() => caller.answers.length === 3);
      await stopped;
      expect(caller.bodies).to.deep.equal(reads(3));
      await until(() => caller.closed);
    });

    it('and more arrive: each is answered, and only the last answer has connection: close', async () => {
      caller.send(pipeline(reads(2)));
      await until(() => upstream.requests.length === 2);
      const stopped = router.daemon.stop();
      caller.send(pipeline(['/reads/2', '/reads/3']));
      await until(() => upstream.requests.length === 4);
      answerWhole(requestFor('/reads/0'));
      await until(() => caller.answers.length === 1);
      answerWhole(requestFor('/reads/3'));
      answerWhole(requestFor('/reads/2'));
      caller.send(pipeline(['/reads/4']));
      await until(() => upstream.requests.length === 5);
      answerWhole(requestFor('/reads/4'));
      answerWhole(requestFor('/reads/1'));
      await until(() => caller.closed);
      await stopped;
      expect(caller.bodies).to.deep.equal(reads(5));
      expect(closings()).to.deep.equal([false, false, false, false, true]);
      expect(targets()).to.have.members(reads(5));
    });

    it('and a large answer waits behind another: requests that come behind it are answered', async () => {
      caller.send(pipeline(['/reads/0']));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      caller.send(pipeline(['/reads/1']));
      await until(() => upstream.requests.length === 2);
      const large = requestFor('/reads/1');
      large.socket.write(`${headFor(large, `content-length: ${LARGE.length}`)}${LARGE}`);
      await until(() => router.daemon.status().inFlight === 1);
      upstream.script = answerWhole;
      caller.send(pipeline(['/reads/behind']));
      await until(() => router.daemon.openRequests === 3);
      answerWhole(requestFor('/reads/0'));
      await until(() => caller.closed);
      await stopped;
      expect(caller.bodies).to.deep.equal(['/reads/0', LARGE, '/reads/behind']);
      expect(closings()).to.deep.equal([false, false, true]);
    });

    // Guards against requests that were read after the stop began, waited for those in front of them, and were dropped with the connection.
    it('and requests wait behind others: each is answered in order', async () => {
      caller.send(postHead('/orders/1', 'body'));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      caller.send(`${pipeline(['/reads/1'])}${postHead('/orders/2', 'body')}${pipeline(['/reads/2'])}`);
      await until(() => router.daemon.openRequests === 4);
      upstream.script = answerWhole;
      answerWhole(requestFor('/orders/1'));
      await until(() => caller.closed);
      await stopped;
      expect(caller.bodies).to.deep.equal(['/orders/1', '/reads/1', '/orders/2', '/reads/2']);
      expect(closings()).to.deep.equal([false, false, false, true]);
    });

    it('and the body of the last request still comes when the first answer starts: it is answered', async () => {
      caller.send(postHead('/orders/1', 'body'));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      const order = postHead('/orders/2', 'body');
      caller.send(order.slice(0, -2));
      await until(() => router.daemon.connectionsUsage().deepest === 2);
      upstream.script = answerWhole;
      answerWhole(requestFor('/orders/1'));
      await until(() => caller.answers.length === 1);
      caller.send(order.slice(-2));
      await until(() => caller.closed);
      await stopped;
      expect(caller.bodies).to.deep.equal(['/orders/1', '/orders/2']);
      expect(closings()).to.deep.equal([false, true]);
    });

    it('and a request that is invalid comes last: those in front of it and it itself are answered', async () => {
      caller.send(postHead('/orders/1', 'body'));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      caller.send(`${pipeline(['/reads/1'])}GET /reads/bad HTTP/1.1\r\n\r\n`);
      await until(() => router.daemon.openRequests === 2);
      upstream.script = answerWhole;
      answerWhole(requestFor('/orders/1'));
      await until(() => caller.closed);
      await stopped;
      expect(caller.statuses).to.deep.equal([200, 200, 400]);
    });

    it('and the last answer has begun: what comes behind it is never forwarded', async () => {
      const stopped = router.daemon.stop();
      caller.send(pipeline(['/reads/0']));
      await until(() => upstream.requests.length === 1);
      const last = requestFor('/reads/0');
      last.socket.write(`${headFor(last, `content-length: ${LARGE.length}`)}${LARGE.slice(0, 2000)}`);
      await until(() => caller.rest.endsWith('x'));
      caller.send(pipeline(['/reads/late']));
      await new Promise((resolve) => setTimeout(resolve, IDLE_MILLIS / 4));
      last.socket.write(LARGE.slice(2000));
      await until(() => caller.closed);
      await stopped;
      expect([caller.bodies, closings(), targets()]).to.deep.equal([[LARGE], [true], ['/reads/0']]);
    });

    it('and its caller sends on and on: the stop ends, each request that ran is answered, and the last ones are refused', async () => {
      caller.send(pipeline(['/reads/0']));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      let sent = 1;
      upstream.script = (request) => {
        sent += 1;
        caller.send(pipeline([`/reads/${sent}`]));
        setTimeout(() => answerWhole(request), IDLE_MILLIS / 4);
      };
      caller.send(pipeline(['/reads/1']));
      answerWhole(requestFor('/reads/0'));
      await stopped;
      await until(() => caller.closed);
      const refused = caller.statuses.filter((status) => status === 503);
      expect(caller.statuses.filter((status) => status === 200)).to.have.length(upstream.requests.length);
      expect(caller.statuses).to.have.length(upstream.requests.length + refused.length);
      expect(closings().indexOf(true)).to.equal(caller.answers.length - 1);
    });

    it('and an order waits behind a read: the order is answered', async () => {
      caller.send(pipeline(['/reads/0']));
      await until(() => upstream.requests.length === 1);
      const stopped = router.daemon.stop();
      caller.send(postHead('/orders/1', 'body'));
      await until(() => router.daemon.openRequests === 2);
      upstream.script = answerWhole;
      answerWhole(requestFor('/reads/0'));
      await until(() => caller.closed);
      await stopped;
      expect(caller.bodies).to.deep.equal(['/reads/0', '/orders/1']);
    });
  });

  // Guards against the last request of a caller that is dropped since it asks for the connection to close while it waits behind another.
  it('the last of them, which asks to close the connection, is answered behind a slower one', async () => {
    const last = postHead('/orders/2', 'body').replace('Host: r', 'Host: r\r\nConnection: close');
    caller.send(`${postHead('/orders/1', 'body')}${last}`);
    await until(() => router.daemon.openRequests === 2 && upstream.requests.length === 1);
    upstream.script = answerWhole;
    upstream.requests.forEach(answerWhole);
    await until(() => caller.closed);
    expect(caller.bodies).to.deep.equal(['/orders/1', '/orders/2']);
    expect(closings()).to.deep.equal([false, true]);
  });

  it('ten thousand of them are all released when their callers disconnect one by one', async function () {
    this.timeout(60_000);
    const connections = 500;
    const each = 20;
    const batch = 50;
    for (let opened = 0; opened < connections; opened += batch) {
      const callers = await Promise.all(
        Array.from({ length: batch }, () => RawCaller.connect(router.address)),
      );
      for (const leaving of callers) {
        leaving.send(pipeline(reads(each)));
      }
      await until(() => router.daemon.openRequests === batch * each);
      for (const leaving of callers) {
        leaving.disconnect();
      }
      await waitUntilIdle();
    }
  });
});
