/** A planned stop takes no work that it can't finish: connections close with their next answers, and what comes late is refused. */
import { setImmediate as nextImmediate, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { HEADERS } from '../../../src/model/outcome.js';
import { LogRecorder } from '../log-recorder.js';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, postHead, RawCaller } from './raw-caller.js';

/** Grace time of a stop, whose last twelfth is for the last answers. */
const STOP_GRACE_MILLIS = 3000;
const IDLE_MILLIS = 1000;
/** Half of an answer that isn't read whole before it is passed on. */
const LARGE_BYTES = 300_000;
/** A part of a request's head. */
const HEAD_PART_BYTES = 40;

/** More than the buffers of two sockets hold. */
const UNTAKEN_BYTES = 16 * 1024 * 1024;
/** Between two chunks of a streamed answer. */
const STREAM_PAUSE_MILLIS = 100;
/** Ends an answer that is sent in chunks. */
const LAST_CHUNK = /(?:^|\r\n)0\r\n\r\n$/;

const STOPPING = new RegExp(`${HEADERS.reason}: stopping`, 'i');
const CLOSES = /connection: close/i;

/** A part of an answer that is sent in chunks. */
function chunkOf(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Keeps the process from timers and sockets. */
function holdUp(millis: number): void {
  const end = performance.now() + millis;
  while (performance.now() < end) {
    // Busy.
  }
}

describe('requests that come late in a planned stop', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let caller: RawCaller;
  let log: LogRecorder;
  let stopped: Promise<void>;

  beforeEach(async () => {
    log = new LogRecorder();
    upstream = await new ScriptedUpstream(() => {}).start();
    const timings = { idleMillis: IDLE_MILLIS, stopGraceMillis: STOP_GRACE_MILLIS };
    router = await RouterFixture.start([upstream], { settings: { timings }, log });
    caller = await RawCaller.connect(router.address);
  });

  afterEach(async () => {
    caller.disconnect();
    await stopped;
    await router.stop();
    await upstream.stop();
  });

  // Guards against orders on connections that were kept open by answers written after the stop had begun.
  it('are none where an answer begins in the stop to a request that was read before', async () => {
    caller.send(postHead('/orders/1', 'a'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    answerWhole(upstream.requests[0] as ScriptedRequest);
    await until(() => caller.answers.length === 1);
    expect(caller.answers[0]?.head).to.match(CLOSES);
  });

  // Guards against orders that wait behind a running one, are passed on when it ends and outlive the process.
  it('are refused as not run when their turn comes too late for their own time limit', async () => {
    caller.send(postHead('/orders/1', 'a') + postHead('/orders/2', 'b') + postHead('/orders/3', 'c'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    await sleep(STOP_GRACE_MILLIS * 0.6);
    answerWhole(upstream.requests[0] as ScriptedRequest);
    await until(() => caller.answers.length === 3);
    expect(upstream.requests).to.have.length(1);
    expect(caller.statuses).to.deep.equal([200, 503, 503]);
    expect(caller.answers[1]?.head).to.match(STOPPING);
    expect(caller.answers[2]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against requests that a caller sends in one piece, and of which all but the first are ignored since it was refused at once.
  it('are each refused as not run where they come together on an idle connection', async () => {
    caller.disconnect();
    await router.stop();
    const timings = { idleMillis: STOP_GRACE_MILLIS, stopGraceMillis: STOP_GRACE_MILLIS };
    router = await RouterFixture.start([upstream], { settings: { timings }, log });
    caller = await RawCaller.connect(router.address);
    stopped = router.stop();
    await sleep(STOP_GRACE_MILLIS * 0.6);
    caller.send(getHead('/reads/1') + getHead('/reads/2') + getHead('/reads/3'));
    await until(() => caller.closed);
    expect(caller.statuses).to.deep.equal([503, 503, 503]);
    expect(caller.answers[2]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against requests that were read behind one without an answer, and ended with the process.
  it('are refused as not run at the end behind one whose upstream is silent', async () => {
    caller.send(postHead('/orders/1', 'a') + postHead('/orders/2', 'b'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    await until(() => caller.answers.length === 2);
    expect(upstream.requests).to.have.length(1);
    expect(caller.statuses[0]).to.be.oneOf([502, 504]);
    expect(caller.answers[1]?.status).to.equal(503);
    expect(caller.answers[1]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against requests that end with the process behind an answer whose rest doesn't come.
  it('are refused as not run at the end behind an answer that is not whole then', async () => {
    caller.send(getHead('/reads/1') + postHead('/orders/2', 'b'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    const first = upstream.requests[0] as ScriptedRequest;
    const head = headFor(first, `content-length: ${2 * LARGE_BYTES}`);
    first.socket.write(head + 'x'.repeat(LARGE_BYTES));
    await until(() => caller.answers.length === 2);
    expect(upstream.requests).to.have.length(1);
    expect(caller.statuses).to.deep.equal([502, 503]);
    expect(caller.answers[1]?.head).to.match(STOPPING).and.match(CLOSES);
    expect(log.fieldsOf('answer-replaced').map(({ reason }) => reason)).to.deep.equal(['stop-ended']);
  });

  // Guards against requests that a connection ignored from 1.5 s into a stop on, and ended without an answer.
  it('are refused as not run where they come while another one runs in front', async () => {
    caller.send(postHead('/orders/1', 'a'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    caller.send(postHead('/orders/2', 'b'));
    await sleep(STOP_GRACE_MILLIS * 0.55);
    caller.send(postHead('/orders/3', 'c') + getHead('/reads/4'));
    await sleep(50);
    answerWhole(upstream.requests[0] as ScriptedRequest);
    await until(() => caller.answers.length === 4);
    expect(caller.statuses).to.deep.equal([200, 503, 503, 503]);
    expect(caller.answers[3]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against orders whose body comes late, that are passed on and cut at the end.
  it('are refused as not run where their body comes at the end', async () => {
    const order = postHead('/orders/1', 'late');
    caller.send(order.slice(0, -2));
    await sleep(50);
    stopped = router.stop();
    await sleep(STOP_GRACE_MILLIS * 0.7);
    caller.send(order.slice(-2));
    await until(() => caller.answers.length === 1);
    expect(upstream.requests).to.have.length(0);
    expect(caller.statuses).to.deep.equal([503]);
    expect(caller.answers[0]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against orders that have run and are told otherwise, since the process was held up over the end and timers run before sockets are read.
  it('end with the answer that came while the process was held up over their end', async () => {
    caller.send(postHead('/orders/1', 'a'));
    await until(() => upstream.requests.length === 1);
    stopped = router.stop();
    await sleep(STOP_GRACE_MILLIS * 0.85);
    await nextImmediate();
    answerWhole(upstream.requests[0] as ScriptedRequest);
    holdUp(STOP_GRACE_MILLIS * 0.12);
    await until(() => caller.answers.length === 1);
    expect(caller.statuses).to.deep.equal([200]);
  });

  // Guards against requests that are discarded unread, since the process was held up over the end and timers run before sockets are read.
  it('are refused as not run where their heads came whole while the process was held up over the end', async () => {
    const order = postHead('/orders/1', 'a');
    caller.send(order.slice(0, HEAD_PART_BYTES));
    await sleep(50);
    stopped = router.stop();
    await sleep(STOP_GRACE_MILLIS * 0.85);
    await nextImmediate();
    caller.send(order.slice(HEAD_PART_BYTES));
    holdUp(STOP_GRACE_MILLIS * 0.12);
    await until(() => caller.answers.length === 1 || caller.closed || caller.socket.readableEnded);
    expect(caller.statuses).to.deep.equal([503]);
    expect(caller.answers[0]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against requests that are ignored at the end behind an answer whose head had promised that the connection stays open.
  it('are refused as not run after the end, behind an answer that began before the stop', async () => {
    caller.send(getHead('/reads/1'));
    await until(() => upstream.requests.length === 1);
    const first = upstream.requests[0] as ScriptedRequest;
    first.socket.write(headFor(first, `content-length: ${2 * LARGE_BYTES}`) + 'x'.repeat(LARGE_BYTES));
    await until(() => caller.rest.length >= LARGE_BYTES);
    stopped = router.stop();
    await until(() => log.fieldsOf('stop-overdue').length === 1);
    caller.send(postHead('/orders/2', 'b'));
    await sleep(50);
    first.socket.write('x'.repeat(LARGE_BYTES));
    await until(() => caller.answers.length === 2);
    expect(caller.statuses).to.deep.equal([200, 503]);
    expect(caller.answers[1]?.head).to.match(STOPPING).and.match(CLOSES);
    expect(upstream.requests).to.have.length(1);
  });
});

describe('the end of a planned stop', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let caller: RawCaller;
  let log: LogRecorder;

  beforeEach(async () => {
    log = new LogRecorder();
    upstream = await new ScriptedUpstream(() => {}).start();
    const timings = { idleMillis: IDLE_MILLIS, stopGraceMillis: STOP_GRACE_MILLIS };
    router = await RouterFixture.start([upstream], { settings: { timings }, log });
    caller = await RawCaller.connect(router.address);
  });

  afterEach(async () => {
    caller.disconnect();
    await router.stop();
    await upstream.stop();
  });

  async function requestOf(path: string): Promise<ScriptedRequest> {
    caller.send(getHead(path));
    await until(() => upstream.requests.length === 1);
    return upstream.requests[0] as ScriptedRequest;
  }

  /** Stops the router and returns how long that took. */
  async function stopMillis(): Promise<number> {
    const startedAt = performance.now();
    await router.daemon.stop();
    return performance.now() - startedAt;
  }

  // Guards against stops that only the kill ends, since an answer is streamed whose upstream sends on.
  it('breaks off a streamed answer, and comes before the process is killed', async () => {
    const request = await requestOf('/reads/1');
    request.socket.write(headFor(request, 'transfer-encoding: chunked') + chunkOf(LARGE_BYTES));
    await until(() => caller.rest.length >= LARGE_BYTES);
    const sending = setInterval(() => request.socket.write(chunkOf(1000)), STREAM_PAUSE_MILLIS);
    const millis = await stopMillis();
    clearInterval(sending);
    await until(() => caller.closed);
    expect(millis).to.be.within(STOP_GRACE_MILLIS * (11 / 12), STOP_GRACE_MILLIS);
    expect(caller.rest).to.not.match(LAST_CHUNK);
    expect(log.fieldsOf('answer-broken-off').map(({ reason }) => reason)).to.deep.equal(['stop-ended']);
  });

  // Guards against stops that only the kill ends, since an answer of a named length isn't whole and its upstream is silent.
  it('breaks off an answer of which its upstream owes the rest', async () => {
    const request = await requestOf('/reads/1');
    const head = headFor(request, `content-length: ${2 * LARGE_BYTES}`);
    request.socket.write(head + 'x'.repeat(LARGE_BYTES));
    await until(() => caller.rest.length >= LARGE_BYTES);
    expect(await stopMillis()).to.be.below(STOP_GRACE_MILLIS);
    await until(() => caller.closed);
    expect(caller.answers).to.have.length(0);
  });

  // Guards against requests that are cut off without the answer that is due at the end, since the process was held up over the end and the time to take answers.
  it('answers what waits first, also if it is noticed after the time to take answers', async () => {
    caller.send(postHead('/orders/1', 'a') + postHead('/orders/2', 'b'));
    await until(() => upstream.requests.length === 1);
    const stopped = stopMillis();
    await sleep(STOP_GRACE_MILLIS * 0.85);
    await nextImmediate();
    holdUp(STOP_GRACE_MILLIS * 0.14);
    await stopped;
    await until(() => caller.closed);
    expect(caller.statuses).to.have.length(2);
    expect(caller.answers[1]?.head).to.match(STOPPING).and.match(CLOSES);
  });

  // Guards against stops that only the kill ends, since a caller doesn't take its answer.
  it('waits no longer for a caller that takes none of its answer', async () => {
    const request = await requestOf('/reads/1');
    caller.pause();
    const head = headFor(request, `content-length: ${UNTAKEN_BYTES}`);
    request.socket.write(head + 'x'.repeat(UNTAKEN_BYTES));
    await sleep(STREAM_PAUSE_MILLIS);
    expect(await stopMillis()).to.be.below(STOP_GRACE_MILLIS);
  });
});
