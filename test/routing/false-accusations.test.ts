/**
 * Guards against harmless requests being refused as quarantined for ten minutes.
 *
 * A device between routers and upstreams briefly resets connections and refuses new ones from the upstreams' addresses. Every request in
 * flight there is accused of ending its run, although the runs live and answer again once the device lets connections through.
 *
 * Cause: a refused connection counted as proof that the run at the address had ended, and later answers of the run did not revoke that.
 */
import { expect } from 'chai';
import type { AttemptResult } from '../../src/routing/types.js';
import {
  ANSWERED,
  controlMessages,
  effectsOfType,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

const HARMLESS = 'a'.repeat(32);
const UNRELATED = 'b'.repeat(32);
const OTHER = 'e'.repeat(32);
const RESET: AttemptResult = { type: 'broken', how: 'reset' };
const IDS = ['u1', 'u2', 'u3'];
const CHECK_MILLIS = 25;
/** Longer than the time for which unanswered attempts are kept. */
const FORGOTTEN_MILLIS = 6000;

function started(): RouterHarness {
  const announced = { slots: 2, warmupMillis: 0 };
  return new RouterHarness().start(
    [service('web', { retryBudget: 0 })],
    IDS.map((id) => upstream(id, 'web', { announced })),
  );
}

/** Sends a request and ends its attempt with `result`. Returns the run that it was sent to; `undefined` if it wasn't sent. */
function attempt(harness: RouterHarness, result: AttemptResult, fingerprint: string): string | undefined {
  const [dispatch] = effectsOfType(harness.request('web', { fingerprint }), 'dispatch');
  if (dispatch !== undefined) {
    harness.ended(dispatch.attempt, result);
  }
  return dispatch?.upstream;
}

/** The device resets the attempt at one upstream and refuses the connection that checks whether its run still exists. */
function resetAndRefuse(harness: RouterHarness, fingerprint: string): string | undefined {
  const run = attempt(harness, RESET, fingerprint);
  harness.advance(CHECK_MILLIS);
  if (run !== undefined) {
    harness.step({ type: 'run-checked', run, check: 'gone' });
  }
  return run;
}

/** All upstreams answer again, with as many concurrent requests as they have slots. */
function answerAll(harness: RouterHarness): void {
  harness.run(FORGOTTEN_MILLIS);
  const answered = new Set<string>();
  for (let round = 0; round < 10 && answered.size < IDS.length; round += 1) {
    const open = IDS.flatMap(() => [OTHER, OTHER]).flatMap((fingerprint) =>
      effectsOfType(harness.request('web', { fingerprint }), 'dispatch'),
    );
    for (const dispatch of open) {
      answered.add(dispatch.upstream);
      harness.ended(dispatch.attempt, ANSWERED);
    }
    harness.run(1000);
  }
  expect([...answered].sort(), 'upstreams that answer again').to.deep.equal(IDS);
}

function accused(harness: RouterHarness, fingerprint: string): unknown[] {
  const crashes = controlMessages(harness.effects, 'crash-report').flatMap((report) => report.crashes);
  return [...new Set(crashes.filter((crash) => crash.fingerprint === fingerprint).map(({ run }) => run))];
}

describe('a device that resets and refuses connections to live runs', () => {
  it('does not make the requests in flight suspects', () => {
    const harness = started();
    const runs = new Set<string | undefined>();
    for (let count = 0; count < 30 && runs.size < IDS.length; count += 1) {
      runs.add(resetAndRefuse(harness, HARMLESS));
      harness.run(300);
    }
    answerAll(harness);
    expect(attempt(harness, ANSWERED, HARMLESS), 'sent').not.to.equal(undefined);
  });

  it('does not affect later requests once those runs answer again', () => {
    const harness = started();
    const runs = new Set<string | undefined>();
    for (let count = 0; count < 30 && runs.size < IDS.length; count += 1) {
      runs.add(resetAndRefuse(harness, `${count}`.padStart(32, '0')));
      harness.run(300);
    }
    expect([...runs].sort(), 'runs checked').to.deep.equal(IDS);
    answerAll(harness);
    // The caller disconnects each time; no connection breaks.
    for (let count = 0; count < 12; count += 1) {
      attempt(harness, { type: 'cancelled' }, UNRELATED);
      harness.run(300);
    }
    expect(accused(harness, UNRELATED), 'runs that it is accused of ending').to.deep.equal([]);
    expect(attempt(harness, ANSWERED, UNRELATED), 'sent').not.to.equal(undefined);
  });
});
