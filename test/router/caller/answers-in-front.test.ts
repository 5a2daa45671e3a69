/** Whatever becomes of an answer in front, those that were handed on behind it on the same connection are answered. */
import { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { HEADERS } from '../../../src/model/outcome.js';
import type { RouterTimings } from '../../../src/router/settings.js';
import { LogRecorder } from '../log-recorder.js';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, RawCaller } from './raw-caller.js';

const WHOLE_BYTES = 1024;
const HELD_PER_CONNECTION = 100_000;
const LARGE = 'x'.repeat(4 * HELD_PER_CONNECTION);
const PART_BYTES = 4096;
const PART = 'x'.repeat(PART_BYTES);
const UNWRITABLE_STATUS = 299;
/** The first chunk of a body that isn't whole. */
const CHUNKED = `${PART_BYTES.toString(16)}\r\n${PART}\r\n`;
const DEADLINE_MILLIS = 300;
/** Time for which a caller may leave an answer unread. */
const STALL_MILLIS = 300;
/** Time in which a request that was sent is read. */
const SENT_LATER_MILLIS = 50;
const PIECES = 4;
const PATHS = ['/reads/0', '/reads/1', '/reads/2'];

describe('an answer in front of others that run', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let caller: RawCaller;
  let log: LogRecorder;

  function requestFor(target: string): ScriptedRequest {
    return upstream.requests.find((request) => request.target === target) as ScriptedRequest;
  }

  function startLarge(request: ScriptedRequest, bytes: number): void {
    request.socket.write(`${headFor(request, `content-length: ${LARGE.length}`)}${LARGE.slice(0, bytes)}`);
  }

  /** Writes the first part of an answer of `length` bytes. */
  function startLargeOf(request: ScriptedRequest, length: number): void {
    request.socket.write(`${headFor(request, `content-length: ${length}`)}${PART}`);
  }

  /** Has answers to reads known as small, then sends three on one connection. */
  async function sendReads(deadlineMillis: number | null = null): Promise<void> {
    upstream.script = answerWhole;
    await router.get('/reads/known');
    upstream.script = () => {};
    upstream.requests.length = 0;
    const deadline = `\r\n${HEADERS.deadlineMillis}: ${deadlineMillis}\r\n\r\n`;
    const [first = '', ...others] = PATHS.map(getHead);
    caller.send((deadlineMillis === null ? first : first.replace('\r\n\r\n', deadline)) + others.join(''));
    await until(() => upstream.requests.length === PATHS.length);
  }

  function replaced(): unknown[] {
    return log.fieldsOf('answer-replaced').map(({ reason }) => reason);
  }

  function answerThoseBehind(): void {
    answerWhole(requestFor('/reads/1'));
    answerWhole(requestFor('/reads/2'));
  }

  async function start(timings: Partial<RouterTimings> = {}): Promise<void> {
    router = await RouterFixture.start([upstream], {
      reads: { slotsPerUpstream: 32, wholeAnswerBytes: WHOLE_BYTES, deadlineMillis: 20_000 },
      announced: true,
      settings: { limits: { heldBytesPerConnection: HELD_PER_CONNECTION }, timings },
      log,
    });
    caller = await RawCaller.connect(router.address);
  }

  beforeEach(async () => {
    log = new LogRecorder();
    upstream = await new ScriptedUpstream().start();
    await start();
  });

  afterEach(async () => {
    caller.disconnect();
    await until(() => router.daemon.openRequests === 0);
    expect(router.daemon.connectionsUsage().heldAnswerBytes).to.equal(0);
    await router.stop();
    await upstream.stop();
  });

  for (const how of ['end', 'resetAndDestroy'] as const) {
    it(`that breaks off becomes 502, and they are answered: ${how}`, async () => {
      await sendReads();
      startLarge(requestFor('/reads/0'), PART_BYTES);
      answerThoseBehind();
      await until(() => router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES);
      requestFor('/reads/0').socket[how]();
      await until(() => caller.answers.length === PATHS.length);
      expect(caller.statuses).to.deep.equal([502, 200, 200]);
    });
  }

  it('that goes silent becomes 502 after its time, and they are answered', async () => {
    await sendReads(DEADLINE_MILLIS);
    startLarge(requestFor('/reads/0'), PART_BYTES);
    answerThoseBehind();
    await until(() => caller.answers.length === PATHS.length);
    expect(caller.statuses).to.deep.equal([502, 200, 200]);
  });

  // Guards against answers that wait until they are whole, and are taken for ones that their caller leaves unread.
  for (const when of ['another request comes', 'it comes to the front'] as const) {
    it(`that is held for longer than an answer may be left unread arrives whole: ${when}`, async () => {
      caller.disconnect();
      await router.stop();
      await start({ streamStallMillis: STALL_MILLIS });
      await sendReads();
      const [front, held, behind] = PATHS as [string, string, string];
      const isFirst = when === 'another request comes';
      const large = requestFor(isFirst ? front : held);
      answerWhole(requestFor(behind));
      if (isFirst) {
        answerWhole(requestFor(held));
      }
      large.socket.write(headFor(large, `content-length: ${PIECES * PART_BYTES}`));
      for (let piece = 0; piece < PIECES; piece += 1) {
        large.socket.write(PART);
        if (piece === 0 && isFirst) {
          upstream.script = answerWhole;
          caller.send(getHead('/reads/more'));
        } else if (piece === 0) {
          answerWhole(requestFor(front));
        }
        await sleep(STALL_MILLIS / 2);
      }
      await until(() => caller.answers.length === PATHS.length + (isFirst ? 1 : 0));
      expect(caller.bodies.filter((body) => body === PART.repeat(PIECES))).to.have.length(1);
    });
  }

  // Guards against answers without end that never begin, since another request was read behind them.
  for (const framing of [`content-length: ${PIECES * PART_BYTES}`, 'transfer-encoding: chunked']) {
    it(`that takes long begins before it is whole where others only wait behind it: ${framing}`, async () => {
      upstream.script = (request) => {
        request.socket.write(headFor(request, framing) + (framing.startsWith('t') ? CHUNKED : PART));
      };
      caller.send(PATHS.map(getHead).join(''));
      await until(() => caller.rest.includes(PART));
      expect(upstream.requests).to.have.length(1);
    });
  }

  // Guards against requests that were read, weren't handed on, and end with the broken answer in front of them.
  for (const how of ['end', 'resetAndDestroy'] as const) {
    it(`that breaks off becomes 502 where others only wait behind it, and they are answered: ${how}`, async () => {
      upstream.script = (request) => {
        if (request.target === '/reads/0') {
          startLargeOf(request, 2 * PART_BYTES);
        } else {
          answerWhole(request);
        }
      };
      caller.send(PATHS.map(getHead).join(''));
      await until(() => router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES);
      requestFor('/reads/0').socket[how]();
      await until(() => caller.answers.length === PATHS.length);
      expect(caller.statuses).to.deep.equal([502, 200, 200]);
    });
  }

  /** Has two reads of one connection answered of which the second came before the first was answered, and the next answer begun at the upstream. */
  async function beginAfterPipelining(framing: string): Promise<void> {
    upstream.script = answerWhole;
    caller.send(['/reads/a', '/reads/b'].map(getHead).join(''));
    await until(() => caller.answers.length === 2);
    const part = framing.startsWith('t') ? CHUNKED : PART;
    upstream.script = (request) => void request.socket.write(headFor(request, framing) + part);
    caller.send(getHead('/reads/0'));
    await until(() => upstream.requests.length === 3);
  }

  // Guards against requests that are read just after a large answer began, weren't handed on, and end with it when it breaks off.
  for (const how of ['end', 'resetAndDestroy'] as const) {
    it(`that breaks off becomes 502 where its caller sends the next one later, as it has before: ${how}`, async () => {
      await beginAfterPipelining(`content-length: ${2 * PART_BYTES}`);
      await until(() => caller.rest !== '' || router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES);
      upstream.script = answerWhole;
      caller.send(getHead('/reads/1'));
      await sleep(SENT_LATER_MILLIS);
      requestFor('/reads/0').socket[how]();
      await until(() => caller.closed || caller.answers.length === 4);
      expect(caller.statuses).to.deep.equal([200, 200, 502, 200]);
    });
  }

  // Guards against answers without end that never begin on connections on which requests were pipelined.
  it('that takes long begins before it is whole where more requests may come', async () => {
    await beginAfterPipelining('transfer-encoding: chunked');
    await until(() => caller.rest.includes(PART));
    expect(upstream.requests).to.have.length(3);
  });

  // Guards against answers that a planned stop holds for requests that don't come.
  for (const when of ['before', 'after'] as const) {
    it(`that takes long begins in a planned stop where no more requests come: ${when} its first part`, async () => {
      upstream.script = answerWhole;
      caller.send(['/reads/a', '/reads/b'].map(getHead).join(''));
      await until(() => caller.answers.length === 2);
      upstream.script = () => {};
      caller.send(getHead('/reads/0'));
      await until(() => upstream.requests.length === 3);
      const { socket } = requestFor('/reads/0');
      const part = headFor(requestFor('/reads/0'), 'transfer-encoding: chunked') + CHUNKED;
      if (when === 'after') {
        socket.write(part);
        await until(() => router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES);
      }
      const stopped = router.daemon.stop();
      if (when === 'before') {
        socket.write(part);
      }
      await until(() => caller.rest.includes(PART));
      socket.write('0\r\n\r\n');
      await until(() => caller.closed);
      expect(replaced()).to.deep.equal([]);
      caller.disconnect();
      await stopped;
    });
  }

  // Guards against answers that are held on connections on which nothing comes before the answer in front.
  it('begins as it comes where its caller sends one request at a time', async () => {
    upstream.script = answerWhole;
    caller.send(getHead('/reads/a'));
    await until(() => caller.answers.length === 1);
    upstream.script = (request) => startLargeOf(request, 2 * PART_BYTES);
    caller.send(getHead('/reads/0'));
    const isHeld = (): boolean => router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES;
    await until(() => caller.rest.includes(PART) || isHeld());
    expect(caller.rest).to.include(PART);
  });

  for (const length of [`content-length: ${LARGE.length}`, 'transfer-encoding: chunked']) {
    it(`that there is no room to hold is streamed where others only wait behind it: ${length}`, async () => {
      const isChunked = length.startsWith('transfer');
      upstream.script = () => {};
      caller.send(PATHS.map(getHead).join(''));
      await until(() => upstream.requests.length === 1);
      upstream.script = answerWhole;
      const [first] = upstream.requests as [ScriptedRequest];
      first.socket.write(headFor(first, length));
      first.socket.write(isChunked ? `${LARGE.length.toString(16)}\r\n${LARGE}\r\n` : LARGE.slice(0, -1));
      await until(() => caller.rest.length >= LARGE.length);
      first.socket.write(isChunked ? '0\r\n\r\n' : 'x');
      await until(() => `${caller.bodies.at(-1)}${caller.rest}`.endsWith('/reads/2'));
      expect(replaced()).to.deep.equal([]);
    });
  }

  it('that there is no room to hold begins on a planned stop, which breaks off no answer that is being sent', async () => {
    await sendReads();
    const stopped = router.daemon.stop();
    startLarge(requestFor('/reads/0'), LARGE.length - 1);
    answerThoseBehind();
    await until(() => caller.rest.endsWith('x'));
    requestFor('/reads/0').socket.write('x');
    await until(() => caller.answers.length === PATHS.length);
    expect(caller.bodies).to.deep.equal([LARGE, '/reads/1', '/reads/2']);
    caller.disconnect();
    await stopped;
  });

  it('that is streamed begins once it is whole', async () => {
    await sendReads();
    const { socket } = requestFor('/reads/0');
    socket.write(`${headFor(requestFor('/reads/0'), `content-length: ${2 * PART_BYTES}`)}${PART}`);
    answerThoseBehind();
    await until(() => router.daemon.connectionsUsage().heldAnswerBytes >= PART_BYTES);
    expect(caller.rest).to.equal('');
    socket.write(PART);
    await until(() => caller.answers.length === PATHS.length);
    expect(caller.bodies).to.deep.equal([PART + PART, '/reads/1', '/reads/2']);
  });

  it('that there is no room to hold becomes 502, they are answered, and the next of its kind is streamed', async () => {
    await sendReads();
    startLarge(requestFor('/reads/0'), LARGE.length - 1);
    answerThoseBehind();
    await until(() => caller.answers.length === PATHS.length);
    expect(caller.statuses).to.deep.equal([502, 200, 200]);
    expect(replaced()).to.deep.equal(['no-room']);
    await until(() => requestFor('/reads/0').socket.destroyed);
    caller.send(PATHS.map((path) => getHead(`${path}/again`)).join(''));
    await until(() => upstream.requests.length === PATHS.length + 1);
    upstream.script = answerWhole;
    startLarge(requestFor('/reads/0/again'), LARGE.length);
    await until(() => caller.answers.length === 2 * PATHS.length);
    expect(caller.bodies.slice(PATHS.length)).to.deep.equal([LARGE, '/reads/1/again', '/reads/2/again']);
  });

  // Guards against connections that are closed for a head that can't be written, with the requests behind it.
  for (const length of ['2', `${LARGE.length}`]) {
    it(`whose head can't be written becomes 502, and they are answered: ${length} bytes`, async () => {
      const writeHead = ServerResponse.prototype.writeHead;
      ServerResponse.prototype.writeHead = function (this: ServerResponse, ...args: unknown[]) {
        if (args[0] === UNWRITABLE_STATUS) {
          throw new Error('unwritable');
        }
        return Reflect.apply(writeHead, this, args);
      } as typeof writeHead;
      try {
        await sendReads();
        const request = requestFor('/reads/0');
        const head = headFor(request, `content-length: ${length}`).replace(
          '200 OK',
          `${UNWRITABLE_STATUS} x`,
        );
        request.socket.write(head + LARGE.slice(0, Number(length)));
        answerThoseBehind();
        await until(() => caller.answers.length === PATHS.length);
      } finally {
        ServerResponse.prototype.writeHead = writeHead;
      }
      expect(caller.statuses).to.deep.equal([502, 200, 200]);
    });
  }

  it('that needs a length for its caller of HTTP/1.0 becomes 502', async () => {
    upstream.script = (request) => {
      request.socket.write(`${headFor(request, 'transfer-encoding: chunked')}${CHUNKED}`);
    };
    caller.send(getHead('/reads/0').replace('HTTP/1.1', 'HTTP/1.0'));
    await until(() => caller.closed);
    expect([caller.statuses, replaced()]).to.deep.equal([[502], ['needs-length']]);
    await until(() => requestFor('/reads/0').socket.destroyed);
  });
});
