/** What a router still starts during a planned stop, by the time that is left. */
import { expect } from 'chai';
import { PlannedStop } from '../../src/routing/planned-stop.js';
import { CONFIG, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const STOP_MILLIS = 6000;
const WORK_MILLIS = 100;

describe('a request in a planned stop', () => {
  const stop = new PlannedStop(0, STOP_MILLIS);
  const beyond = { deadline: STOP_MILLIS + 1, expectedMillis: WORK_MILLIS, isRepeatable: true };

  it('may start at any time if its own limit ends in time', () => {
    expect(stop.mayStart({ ...beyond, deadline: STOP_MILLIS }, STOP_MILLIS - 1)).to.equal(true);
  });

  it('may start early with a longer limit if such requests usually end in time', () => {
    expect(stop.mayStart(beyond, 0)).to.equal(true);
    expect(stop.mayStart({ ...beyond, expectedMillis: STOP_MILLIS + 1 }, 0)).to.equal(false);
  });

  // Guards against requests that are started late and outlive the process.
  it('may not start late with a longer limit', () => {
    expect(stop.mayStart(beyond, STOP_MILLIS / 2)).to.equal(false);
  });

  // Guards against orders whose outcome nobody knows, since they took somewhat longer than usual.
  it('needs several times its usual time if it may not run twice', () => {
    const expectedMillis = STOP_MILLIS / 2;
    expect(stop.mayStart({ ...beyond, expectedMillis }, 0)).to.equal(true);
    expect(stop.mayStart({ ...beyond, expectedMillis, isRepeatable: false }, 0)).to.equal(false);
  });
});

describe('the end of a planned stop', () => {
  function start(): RouterHarness {
    const record = service('board', { deadlineMillis: 20_000, slotsPerUpstream: 1, holdLimitMillis: 20_000 });
    return new RouterHarness().start([record], [upstream('u1', 'board')]);
  }

  // Guards against requests that wait or run until the process is killed, and have no answer.
  it('refuses what waits as not run, and answers what runs', () => {
    const harness = start();
    harness.request('board');
    harness.request('board');
    harness.step({ type: 'stopping', endsAt: harness.now + STOP_MILLIS });
    const effects = harness.run(STOP_MILLIS + 1);
    const refused = effectsOfType(effects, 'refuse').map(({ reason, status, outcome }) => ({
      reason,
      status,
      outcome,
    }));
    expect(refused).to.have.deep.members([
      { reason: 'stopping', status: 502, outcome: 'unknown' },
      { reason: 'stopping', status: 503, outcome: 'not-run' },
    ]);
    expect(effectsOfType(effects, 'stop-ended')).to.have.length(1);
  });

  // Guards against running requests that are broken off too early, since the signal of the stop may have come long before it was heard.
  it('refuses only what waits where what runs is left until later', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    harness.request('board');
    const endsAt = harness.now + STOP_MILLIS;
    harness.step({ type: 'stopping', endsAt, breaksOffAt: endsAt + 1000 });
    const effects = harness.run(STOP_MILLIS + 500);
    expect(effectsOfType(effects, 'refuse').map(({ outcome }) => outcome)).to.deep.equal(['not-run']);
    expect(effectsOfType(effects, 'stop-ended')).to.deep.equal([]);
    expect(effectsOfType(harness.request('board'), 'refuse')[0]).to.include({ outcome: 'not-run' });
    expect(effectsOfType(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
    expect(effectsOfType(harness.run(501), 'stop-ended')).to.have.length(1);
  });

  // Guards against requests that are passed on as soon as those in front of them end, however late that is.
  it('is near enough in its second half to refuse a waiting request, whether or not a slot comes free', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    harness.request('board');
    harness.step({ type: 'stopping', endsAt: harness.now + STOP_MILLIS });
    const effects = harness.run(STOP_MILLIS * 0.75);
    expect(effectsOfType(harness.ended(first?.attempt as number), 'dispatch')).to.deep.equal([]);
    expect(effectsOfType(effects, 'refuse')[0]).to.include({ reason: 'stopping', outcome: 'not-run' });
  });

  // Guards against running requests that are given up although their answers came while the process was held up.
  it('is put off once where it is noticed late, so that answers that wait are read', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    harness.step({ type: 'stopping', endsAt: harness.now + STOP_MILLIS });
    const late = harness.advance(STOP_MILLIS + 400);
    expect(effectsOfType(late, 'stop-ended')).to.deep.equal([]);
    expect(effectsOfType(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
    expect(effectsOfType(harness.advance(400), 'stop-ended')).to.have.length(1);
  });

  // Guards against requests that come in the last moments to a router without a configuration, wait for one and have no answer.
  it('leaves nothing to wait for the first configuration', () => {
    const harness = new RouterHarness({ ...CONFIG, holdsEarlyRequests: true });
    harness.step({ type: 'stopping', endsAt: harness.now + STOP_MILLIS });
    harness.run(STOP_MILLIS + 1);
    const refused = effectsOfType(harness.request('board'), 'refuse');
    expect(refused[0]).to.include({ reason: 'no-configuration', status: 503 });
  });
});
