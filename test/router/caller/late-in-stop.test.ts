/** A planned stop takes no work that it can't finish: connections close with their next answers, and what comes late is refused. */
import { expect } from 'chai';
import { LogRecorder } from '../log-recorder.js';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { postHead, RawCaller } from './raw-caller.js';

/** Grace time of a stop; answers end half a second before it does, at the latest. */
const STOP_GRACE_MILLIS = 3000;
const IDLE_MILLIS = 1000;

const CLOSES = /connection: close/i;

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
});
