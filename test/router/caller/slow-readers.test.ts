/** Large answers to callers that read slowly or not at all are buffered within limits, delivered whole, and aborted when no bytes pass. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { LogFields } from '../../../src/logging/logger.js';
import { LogRecorder } from '../log-recorder.js';
import { type FixtureOptions, RouterFixture, until } from '../router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, RawCaller } from './raw-caller.js';

const MEGABYTE = 1024 * 1024;
/** More than the socket buffers on the way hold. */
const LARGE_BYTES = 24 * MEGABYTE;
const HELD_BYTES = 2 * MEGABYTE;
const HELD_PER_CONNECTION = MEGABYTE;
/** Largest piece of an answer that one read of a socket returns. */
const PIECE_BYTES = 64 * 1024;
const STALL_MILLIS = 300;
/** The system takes that much although nothing is read. */
const SYSTEM_HELD_BYTES = 500_000;
const LATE_REQUESTS = 5;
const SEND_MILLIS = 50;

class EventRecorder extends LogRecorder {
  readonly events: { readonly event: string; readonly fields: LogFields | undefined }[] = [];

  override info(event: string, fields?: LogFields): void {
    this.events.push({ event, fields });
  }
}

/** Bytes of answers that upstreams have written, by target. */
type Written = Map<string, number>;

function writeLarge(written: Written, bytes: number): (request: ScriptedRequest) => void {
  return (request) => {
    const { socket, target } = request;
    const piece = Buffer.alloc(PIECE_BYTES, 'x');
    let remaining = bytes;
    const write = (): void => {
      for (let canWrite = true; canWrite && remaining > 0; ) {
        const next = piece.subarray(0, Math.min(remaining, PIECE_BYTES));
        remaining -= next.length;
        canWrite = socket.write(next);
        written.set(target, bytes - remaining);
      }
    };
    socket.setMaxListeners(0).on('drain', write);
    socket.write(headFor(request, `content-length: ${bytes}`));
    write();
  };
}

function answerLarge(request: ScriptedRequest): void {
  request.socket.write(
    `${headFor(request, `content-length: ${SYSTEM_HELD_BYTES}`)}${'x'.repeat(SYSTEM_HELD_BYTES)}`,
  );
}

describe('large answers to slow readers', () => {
  const written: Written = new Map();
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  async function start(options: FixtureOptions = {}): Promise<void> {
    router = await RouterFixture.start([upstream], {
      reads: { slotsPerUpstream: 300, wholeAnswerBytes: 256 * 1024, deadlineMillis: 30_000 },
      frontEnd: 'node',
      ...options,
      settings: {
        limits: {
          heldAnswerBytes: HELD_BYTES,
          heldBytesPerConnection: HELD_PER_CONNECTION,
          connectionsPerUpstream: 300,
        },
        ...options.settings,
      },
    });
  }

  function heldBytes(): number {
    return router.daemon.connectionsUsage().heldAnswerBytes;
  }

  /** Connects callers that send one request each and read nothing. */
  async function connectIdleReaders(paths: readonly string[]): Promise<RawCaller[]> {
    return Promise.all(
      paths.map(async (path) => (await RawCaller.connect(router.address)).pause().send(getHead(path))),
    );
  }

  beforeEach(async () => {
    written.clear();
    upstream = await new ScriptedUpstream(writeLarge(written, LARGE_BYTES)).start();
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  it('are buffered up to the limit of a connection, and the rest stays at the upstream', async () => {
    await start();
    const [caller] = (await connectIdleReaders(['/reads/0'])) as [RawCaller];
    await until(() => heldBytes() >= HELD_PER_CONNECTION);
    await router.get('/nothing/1');
    expect(heldBytes()).to.be.at.most(HELD_PER_CONNECTION + PIECE_BYTES);
    expect(written.get('/reads/0')).to.be.below(LARGE_BYTES);
    caller.resume();
    await until(() => caller.answers.length === 1);
    expect(caller.bodies[0]?.length).to.equal(LARGE_BYTES);
    expect(heldBytes()).to.equal(0);
    caller.disconnect();
  });

  it('are buffered up to the total limit, and all arrive whole once they are read', async () => {
    await start();
    const callers = await connectIdleReaders(Array.from({ length: 6 }, (_, index) => `/reads/${index}`));
    await until(() => router.daemon.connectionsUsage().waitingAnswers === callers.length);
    expect(heldBytes()).to.be.at.most(HELD_BYTES + callers.length * PIECE_BYTES);
    for (const caller of callers) {
      caller.resume();
    }
    await until(() => callers.every(({ answers }) => answers.length === 1));
    expect(callers.map(({ bodies }) => bodies[0]?.length)).to.deep.equal(callers.map(() => LARGE_BYTES));
    expect(heldBytes()).to.equal(0);
    for (const caller of callers) {
      caller.disconnect();
    }
  });

  it('leave capacity for answers to callers that read', async () => {
    await start();
    const callers = await connectIdleReaders(['/reads/0', '/reads/1', '/reads/2']);
    await until(() => router.daemon.connectionsUsage().waitingAnswers === callers.length);
    upstream.script = writeLarge(written, 90_000);
    const { status, body } = await router.get('/reads/small');
    expect([status, body.length]).to.deep.equal([200, 90_000]);
    for (const caller of callers) {
      caller.disconnect();
    }
    await until(() => heldBytes() === 0);
  });

  it('are cancelled at their upstream when their caller disconnects', async () => {
    await start();
    const [caller] = (await connectIdleReaders(['/reads/0'])) as [RawCaller];
    await until(() => heldBytes() >= HELD_PER_CONNECTION);
    caller.disconnect();
    await until(() => upstream.requests[0]?.socket.destroyed === true);
    await until(() => router.daemon.openRequests === 0);
    expect(heldBytes()).to.equal(0);
  });

  it('are aborted when their caller reads nothing, and what waits behind them never runs', async () => {
    const log = new EventRecorder();
    const large = writeLarge(written, LARGE_BYTES);
    upstream.script = (request) => request.target === '/reads/0' && large(request);
    await start({ log, settings: { timings: { streamStallMillis: STALL_MILLIS } } });
    const caller = await RawCaller.connect(router.address);
    caller.pause().send(`${getHead('/reads/0')}${getHead('/reads/1')}`);
    await until(() => upstream.requests.length === 1 && router.daemon.openRequests === 2);
    await until(() => upstream.requests.every(({ socket }) => socket.destroyed));
    await until(() => router.daemon.openRequests === 0);
    expect(upstream.requests).to.have.length(1);
    expect(heldBytes()).to.equal(0);
    expect(log.events.filter(({ event }) => event === 'answer-broken-off')).to.deep.equal([
      {
        event: 'answer-broken-off',
        fields: { request: 1, id: null, reason: 'caller-stalled', lostBehind: 1 },
      },
    ]);
    caller.disconnect();
  });

  // Guards against answers that the system held for a slow caller and threw away, since the answer behind them broke and its caller sent more.
  it('are delivered when the answer behind them breaks, whatever their caller sends', async () => {
    upstream.script = (request) => request.target === '/reads/0' && answerLarge(request);
    await start();
    const caller = await RawCaller.connect(router.address);
    caller.pause().send(getHead('/reads/0'));
    await until(() => upstream.requests.length === 1 && router.daemon.openRequests === 0);
    caller.send(getHead('/reads/1'));
    await until(() => upstream.requests.length === 2 && router.daemon.openRequests === 1);
    const broken = upstream.requests.find(({ target }) => target === '/reads/1') as ScriptedRequest;
    broken.socket.write(`${headFor(broken, `content-length: ${MEGABYTE}`)}${'y'.repeat(MEGABYTE / 2)}`);
    await until(() => router.daemon.connectionsUsage().deepest === 1);
    await sleep(SEND_MILLIS);
    broken.socket.resetAndDestroy();
    await until(() => router.daemon.openRequests === 0);
    for (let count = 0; count < LATE_REQUESTS; count += 1) {
      caller.send(getHead('/reads/late'));
      await sleep(SEND_MILLIS);
    }
    caller.resume();
    await until(() => caller.closed);
    expect(caller.bodies.map((body) => body.length)).to.deep.equal([SYSTEM_HELD_BYTES]);
    expect(caller.rest).to.match(/y$/);
    expect(upstream.requests).to.have.length(2);
  });

  it('that were received whole are not truncated by a planned stop', async () => {
    const bytes = 12 * MEGABYTE;
    upstream.script = writeLarge(written, bytes);
    await start({
      reads: { wholeAnswerBytes: 16 * MEGABYTE, deadlineMillis: 30_000 },
      settings: { limits: { heldAnswerBytes: 32 * MEGABYTE }, timings: { idleMillis: 0 } },
    });
    const [caller] = (await connectIdleReaders(['/reads/0'])) as [RawCaller];
    await until(() => heldBytes() >= bytes);
    const stopped = router.daemon.stop();
    await new Promise((resolve) => setTimeout(resolve, 100));
    caller.resume();
    await until(() => caller.answers.length === 1);
    await stopped;
    expect(caller.bodies[0]?.length).to.equal(bytes);
  });

  it('arrive whole when the capacity ends with their last byte and their upstream then closes the connection', async () => {
    const bytes = 100_000;
    upstream.script = (request) => {
      if (request.target === '/reads/1') {
        request.socket.end(headFor(request, `content-length: ${bytes}`) + 'x'.repeat(bytes));
      }
    };
    await start({
      reads: { slotsPerUpstream: 8, wholeAnswerBytes: 1024, deadlineMillis: 30_000 },
      settings: { limits: { heldBytesPerConnection: bytes } },
    });
    const { script } = upstream;
    upstream.script = answerWhole;
    await router.get('/reads/known');
    upstream.script = script;
    upstream.requests.length = 0;
    const caller = await RawCaller.connect(router.address);
    caller.send(`${getHead('/reads/0')}${getHead('/reads/1')}`);
    await until(() => heldBytes() === bytes && upstream.requests.length === 2);
    const [first, second] = upstream.requests as [ScriptedRequest, ScriptedRequest];
    await until(() => second.socket.destroyed);
    answerWhole(first.target === '/reads/0' ? first : second);
    await until(() => caller.answers.length === 2);
    expect(caller.answers.map(({ status, body }) => [status, body.length])).to.deep.equal([
      [200, '/reads/0'.length],
      [200, bytes],
    ]);
    caller.disconnect();
  });

  it('of 200 callers are buffered, and their upstreams are free before they are read', async () => {
    const bytes = 90_000;
    upstream.script = writeLarge(written, bytes);
    await start({ settings: { limits: { heldAnswerBytes: 32 * MEGABYTE, connectionsPerUpstream: 300 } } });
    const paths = Array.from({ length: 200 }, (_, index) => `/reads/${index}`);
    const callers = await connectIdleReaders(paths);
    await until(() => upstream.requests.length === paths.length && router.daemon.status().inFlight === 0);
    for (const caller of callers) {
      caller.resume();
    }
    await until(() => callers.every(({ answers }) => answers.length === 1));
    await until(() => heldBytes() === 0);
    for (const caller of callers) {
      caller.disconnect();
    }
  });
});
