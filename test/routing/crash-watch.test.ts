/** Which results of attempts accuse a request of crashing its upstream, and how accused requests are treated. */
import { expect } from 'chai';
import type { CrashSuspect } from '../../src/model/crash-suspect.js';
import type { AttemptResult, RouterEffect, RunCheck } from '../../src/routing/types.js';
import {
  ANSWERED,
  CONFIG,
  controlMessages,
  effectsOfType,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

const CRASHING = 'f'.repeat(32);
const OTHER = 'e'.repeat(32);
const BROKEN: AttemptResult = { type: 'broken', how: 'closed' };
/** Longer than the delay before a run is checked, and than the delay before it is checked again. */
const CHECK_MILLIS = 25;
const CHECK_AGAIN_MILLIS = 160;
const TRIAL_MILLIS = 5000;

function suspect(changes: Partial<CrashSuspect> = {}): CrashSuspect {
  return {
    fingerprint: CRASHING,
    service: 'web',
    runs: ['a', 'b', 'c'],
    crashes: 3,
    needed: 3,
    quarantinedAt: 1_700_000_000_000,
    trialBy: null,
    trialMillis: TRIAL_MILLIS,
    until: 1_700_000_600_000,
    revision: 2,
    ...changes,
  };
}

/** Announced upstreams, whose ids are those of their runs. */
function started(ids: readonly string[] = ['u1', 'u2', 'u3', 'u4', 'u5']): RouterHarness {
  const announced = { slots: 2, warmupMillis: 0 };
  return new RouterHarness().start(
    [service('web', { retryBudget: 0 })],
    ids.map((id) => upstream(id, 'web', { announced })),
  );
}

function applySuspect(harness: RouterHarness, record: CrashSuspect | null): RouterEffect[] {
  return harness.change([{ type: 'suspect', fingerprint: record?.fingerprint ?? CRASHING, record }]);
}

/** Sends the request and ends its attempt with `result`. Returns the run that it was sent to; `undefined` if it wasn't sent. */
function attempt(harness: RouterHarness, result: AttemptResult, fingerprint = CRASHING): string | undefined {
  const [dispatch] = effectsOfType(harness.request('web', { fingerprint }), 'dispatch');
  if (dispatch !== undefined) {
    harness.ended(dispatch.attempt, result);
  }
  return dispatch?.upstream;
}

/** Like `attempt` with a broken connection; a check of the run then results in `check`. */
function crash(harness: RouterHarness, check: RunCheck = 'gone', fingerprint = CRASHING): string | undefined {
  const run = attempt(harness, BROKEN, fingerprint);
  if (run !== undefined) {
    expect(
      effectsOfType(harness.advance(CHECK_MILLIS), 'check-run').map((effect) => effect.run),
    ).to.deep.equal([run]);
    harness.step({ type: 'run-checked', run, check });
    harness.change([{ type: 'upstream', id: run, record: null }]);
  }
  return run;
}

function refusals(effects: readonly RouterEffect[]) {
  return effectsOfType(effects, 'refuse').map(({ reason, status, outcome }) => ({ reason, status, outcome }));
}

const NOT_RUN = { reason: 'quarantined', status: 503, outcome: 'not-run' };

describe('a request that crashes upstreams', () => {
  it('is logged once when its quarantine begins', () => {
    const harness = started();
    applySuspect(harness, suspect());
    applySuspect(harness, suspect({ crashes: 4, revision: 5 }));
    const events = effectsOfType(harness.effects, 'log').filter(
      ({ event }) => event === 'request-quarantined',
    );
    expect(events).to.have.length(1);
  });

  it('is refused immediately after three crashes, while other requests continue', () => {
    const harness = started();
    expect([crash(harness), crash(harness), crash(harness)]).not.to.include(undefined);
    const effects = harness.request('web', { fingerprint: CRASHING });
    expect(refusals(effects)).to.deep.equal([NOT_RUN]);
    expect(effectsOfType(effects, 'refuse')[0]?.retryAfterMillis).to.equal(600_000);
    expect(effectsOfType(effects, 'refuse')[0]?.facts).to.include({ fingerprint: CRASHING });
    expect(effectsOfType(harness.request('web', { fingerprint: OTHER }), 'dispatch')).to.have.length(1);
  });

  it('is not accused when a connection breaks while its upstream keeps running', () => {
    const harness = started();
    for (let round = 0; round < 4; round += 1) {
      const run = attempt(harness, BROKEN) as string;
      for (let check = 0; check < 3; check += 1) {
        harness.run(CHECK_AGAIN_MILLIS);
        harness.step({ type: 'run-checked', run, check: 'there' });
      }
    }
    expect(controlMessages(harness.effects, 'crash-report')).to.deep.equal([]);
    expect(attempt(harness, ANSWERED)).not.to.equal(undefined);
  });

  it('is not accused when a machine is silent', () => {
    const harness = started();
    crash(harness, 'silent');
    expect(controlMessages(harness.effects, 'crash-report')).to.deep.equal([]);
  });

  it('is not accused because of an invalid answer', () => {
    const harness = started();
    attempt(harness, { type: 'broken', how: 'wrong-answer' });
    expect(effectsOfType(harness.advance(CHECK_AGAIN_MILLIS), 'check-run')).to.deep.equal([]);
  });

  it('needs no check of a run that answers the next attempt', () => {
    const harness = started(['u1']);
    attempt(harness, BROKEN);
    attempt(harness, ANSWERED, OTHER);
    expect(effectsOfType(harness.advance(CHECK_AGAIN_MILLIS), 'check-run')).to.deep.equal([]);
  });

  it('is accused when a connection to the address of its run is refused', () => {
    const harness = started(['u1']);
    attempt(harness, BROKEN);
    attempt(harness, { type: 'connect-failed', refused: true }, OTHER);
    const [report] = controlMessages(harness.effects, 'crash-report');
    expect(report?.crashes).to.deep.equal([
      { fingerprint: CRASHING, service: 'web', run: 'u1', reporter: CONFIG.incarnation },
    ]);
  });

  it('is accused when another run appears at the address, even if the first one went silent', () => {
    const harness = started(['u1']);
    const [dispatch] = effectsOfType(harness.request('web', { fingerprint: CRASHING }), 'dispatch');
    harness.ended(dispatch?.attempt as number, { type: 'cancelled' });
    const next = upstream('u9', 'web', {
      address: dispatch?.address as string,
      announced: { slots: 2, warmupMillis: 0 },
    });
    harness.change([{ type: 'upstream', id: 'u9', record: next }]);
    harness.advance(1);
    expect(controlMessages(harness.effects, 'crash-report')[0]?.crashes[0]).to.include({
      fingerprint: CRASHING,
      run: 'u1',
    });
  });

  it('is not accused if it was cancelled before its upstream answered other requests', () => {
    const harness = started(['u1']);
    attempt(harness, { type: 'cancelled' });
    attempt(harness, ANSWERED, OTHER);
    attempt(harness, BROKEN, OTHER);
    harness.advance(CHECK_MILLIS);
    harness.step({ type: 'run-checked', run: 'u1', check: 'gone' });
    harness.advance(1);
    const accused = controlMessages(harness.effects, 'crash-report').flatMap(({ crashes }) => crashes);
    expect(new Set(accused.map(({ fingerprint }) => fingerprint))).to.deep.equal(new Set([OTHER]));
  });

  it('has its count reset when it succeeds', () => {
    const harness = started();
    crash(harness);
    crash(harness);
    attempt(harness, ANSWERED);
    expect(crash(harness)).not.to.equal(undefined);
    expect(crash(harness)).not.to.equal(undefined);
  });

  it('stays accused when its upstream answers with a failure', () => {
    const harness = started();
    crash(harness);
    crash(harness);
    attempt(harness, { type: 'answered', status: 504, load: null, stored: null });
    crash(harness);
    expect(refusals(harness.request('web', { fingerprint: CRASHING }))).to.deep.equal([NOT_RUN]);
  });

  it('is counted over all routers: crashes recorded by control and by this router', () => {
    const harness = started();
    applySuspect(harness, suspect({ runs: ['x', 'y'], crashes: 2, quarantinedAt: null }));
    crash(harness);
    expect(refusals(harness.request('web', { fingerprint: CRASHING }))).to.deep.equal([NOT_RUN]);
  });

  it('is counted once per run, whichever router reports it', () => {
    const harness = started();
    applySuspect(harness, suspect({ runs: ['x', 'u1'], crashes: 2, quarantinedAt: null }));
    const ended = started(['u1']);
    applySuspect(ended, suspect({ runs: ['x', 'u1'], crashes: 2, quarantinedAt: null }));
    crash(ended);
    ended.change([
      {
        type: 'upstream',
        id: 'u2',
        record: upstream('u2', 'web', { announced: { slots: 2, warmupMillis: 0 } }),
      },
    ]);
    expect(effectsOfType(ended.request('web', { fingerprint: CRASHING }), 'dispatch')).to.have.length(1);
  });

  it('is reported until it appears in the record of control', () => {
    const harness = started();
    const run = crash(harness) as string;
    harness.run(1000);
    const before = controlMessages(harness.effects, 'crash-report').length;
    expect(before).to.be.above(2);
    applySuspect(harness, suspect({ runs: [run], crashes: 1, quarantinedAt: null }));
    harness.run(1000);
    expect(controlMessages(harness.effects, 'crash-report')).to.have.length(before);
  });

  it('is reported immediately, even while another report is scheduled', () => {
    const harness = started();
    crash(harness, 'gone', OTHER);
    harness.advance(1);
    crash(harness);
    harness.advance(1);
    const reported = controlMessages(harness.effects, 'crash-report')
      .at(-1)
      ?.crashes.map(({ fingerprint }) => fingerprint);
    expect(reported).to.deep.equal([OTHER, CRASHING]);
  });

  it('is refused while it waits once control quarantines it', () => {
    const harness = started(['u1']);
    for (let count = 0; count < 6; count += 1) {
      harness.request('web', { fingerprint: OTHER });
    }
    expect(effectsOfType(harness.request('web', { fingerprint: CRASHING }), 'dispatch')).to.deep.equal([]);
    expect(refusals(applySuspect(harness, suspect()))).to.deep.equal([NOT_RUN]);
  });

  it('is answered as unknown if an attempt of it may have run, and not retried', () => {
    const harness = new RouterHarness().start(
      [service('web', { retryBudget: 1 })],
      ['u1', 'u2'].map((id) => upstream(id, 'web', { announced: { slots: 2, warmupMillis: 0 } })),
    );
    const [dispatch] = effectsOfType(harness.request('web', { fingerprint: CRASHING }), 'dispatch');
    applySuspect(harness, suspect());
    const effects = harness.ended(dispatch?.attempt as number, BROKEN);
    expect(effectsOfType(effects, 'dispatch')).to.deep.equal([]);
    expect(refusals(effects)).to.deep.equal([{ reason: 'quarantined', status: 502, outcome: 'unknown' }]);
  });

  it('sends no claim to the ledger', () => {
    const harness = new RouterHarness().start(
      [service('orders', { repeatable: false })],
      [upstream('u1', 'orders')],
    );
    applySuspect(harness, suspect({ service: 'orders' }));
    const idempotency = { key: 'k', issuedAt: harness.wall, fingerprint: 'f' };
    const effects = harness.request('orders', { fingerprint: CRASHING, idempotency });
    expect(controlMessages(effects, 'claim-request')).to.deep.equal([]);
    expect(refusals(effects)).to.have.length(1);
  });

  it('is sent again once it is released', () => {
    const harness = started();
    applySuspect(harness, suspect());
    expect(attempt(harness, ANSWERED)).to.equal(undefined);
    applySuspect(harness, null);
    expect(attempt(harness, ANSWERED)).not.to.equal(undefined);
  });
});

describe('the trial of a quarantined request', () => {
  const trialBy = CONFIG.incarnation;

  it('is made once, by the named router', () => {
    const harness = started();
    applySuspect(harness, suspect({ trialBy }));
    harness.run(TRIAL_MILLIS - 10);
    expect(attempt(harness, ANSWERED)).to.equal(undefined);
    harness.run(20);
    expect(crash(harness)).not.to.equal(undefined);
    expect(attempt(harness, ANSWERED)).to.equal(undefined);
  });

  it('is made at the time that control sets', () => {
    const harness = started();
    applySuspect(harness, suspect({ trialBy, trialMillis: 1000 }));
    harness.run(900);
    expect(attempt(harness, ANSWERED)).to.equal(undefined);
    harness.run(110);
    expect(attempt(harness, ANSWERED)).not.to.equal(undefined);
  });

  it('is not made by any other router', () => {
    const harness = started();
    applySuspect(harness, suspect({ trialBy: 'another run' }));
    harness.run(TRIAL_MILLIS * 2);
    expect(attempt(harness, ANSWERED)).to.equal(undefined);
  });

  it('clears the request if it succeeds, with the revision of its record', () => {
    const harness = started();
    applySuspect(harness, suspect({ trialBy, revision: 9 }));
    harness.run(TRIAL_MILLIS + 10);
    expect(attempt(harness, ANSWERED)).not.to.equal(undefined);
    harness.advance(1);
    const cleared = controlMessages(harness.effects, 'crash-report').at(-1)?.cleared;
    expect(cleared).to.deep.equal([{ fingerprint: CRASHING, revision: 9 }]);
  });

  it('is still due after an attempt that reached no upstream', () => {
    const harness = started();
    applySuspect(harness, suspect({ trialBy }));
    harness.run(TRIAL_MILLIS + 10);
    attempt(harness, { type: 'connect-failed' });
    harness.run(1500);
    expect(attempt(harness, ANSWERED)).not.to.equal(undefined);
  });
});
