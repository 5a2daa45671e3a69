/** The log names each request whose connection ended without its whole answer, and why. */
import { expect } from 'chai';
import { LogRecorder } from '../log-recorder.js';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, postHead, RawCaller } from './raw-caller.js';

const LARGE_BYTES = 4096;
const STOP_GRACE_MILLIS = 1500;

describe('requests without an answer', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let caller: RawCaller;
  let log: LogRecorder;

  beforeEach(async () => {
    log = new LogRecorder();
    upstream = await new ScriptedUpstream(() => {}).start();
    router = await RouterFixture.start([upstream], { reads: { wholeAnswerBytes: 1024 }, log });
    caller = await RawCaller.connect(router.address);
  });

  afterEach(async () => {
    caller.disconnect();
    await router.stop();
    await upstream.stop();
  });

  function logged(): unknown[] {
    return log
      .fieldsOf('request-unanswered')
      .map(({ cause, method, isWhole, wasDispatched }) => ({ cause, method, isWhole, wasDispatched }));
  }

  it('are logged when their caller leaves, with whether they were handed on', async () => {
    caller.send(getHead('/reads/1') + postHead('/orders/1', 'body'));
    await until(() => upstream.requests.length === 1);
    caller.disconnect();
    await until(() => logged().length === 2);
    expect(logged()).to.have.deep.members([
      { cause: 'connection-closed', method: 'GET', isWhole: true, wasDispatched: true },
      { cause: 'connection-closed', method: 'POST', isWhole: true, wasDispatched: false },
    ]);
  });

  it('are logged when an answer is broken off, and those that were answered are not', async () => {
    upstream.script = (request) => {
      if (request.target === '/reads/1') {
        request.socket.write(
          headFor(request, `content-length: ${LARGE_BYTES}`) + 'x'.repeat(LARGE_BYTES / 2),
        );
      } else {
        answerWhole(request);
      }
    };
    caller.send(getHead('/reads/0'));
    await until(() => caller.answers.length === 1);
    caller.send(getHead('/reads/1'));
    await until(() => upstream.requests.length === 2 && caller.rest !== '');
    const broken = upstream.requests.find(({ target }) => target === '/reads/1') as ScriptedRequest;
    await until(() => router.daemon.openRequests === 1);
    broken.socket.destroy();
    await until(() => logged().length > 0);
    expect(logged()).to.deep.equal([
      { cause: 'answer-broken', method: 'GET', isWhole: true, wasDispatched: true },
    ]);
  });

  it('are logged when the grace time of a planned stop is over, and those that run in it with their times', async () => {
    const timings = { stopGraceMillis: STOP_GRACE_MILLIS };
    const stopping = await RouterFixture.start([upstream], {
      reads: { wholeAnswerBytes: 1024 },
      settings: { timings },
      log,
    });
    const slow = await RawCaller.connect(stopping.address);
    slow.send(getHead('/reads/1'));
    await until(() => upstream.requests.length === 1);
    const stopped = stopping.stop();
    const first = upstream.requests[0] as ScriptedRequest;
    const head = headFor(first, `content-length: ${LARGE_BYTES}`);
    first.socket.write(head + 'x'.repeat(LARGE_BYTES / 2));
    await until(() => log.fieldsOf('answer-in-stop').length === 1);
    slow.send(getHead('/reads/2'));
    await until(() => log.fieldsOf('stop-overdue').length === 1);
    expect(log.fieldsOf('answer-in-stop')).to.have.length(1);
    expect(logged()).to.deep.include({
      cause: 'stop-ended',
      method: 'GET',
      isWhole: true,
      wasDispatched: true,
    });
    slow.disconnect();
    await stopped;
    await stopping.control.stop();
  });
});
