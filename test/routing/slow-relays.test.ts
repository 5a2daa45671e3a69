/** Guards against requests that are refused because a connection over a relay took long, though nothing shows that their upstream failed. */
import { expect } from 'chai';
import type { AttemptResult, RouterEffect } from '../../src/routing/types.js';
import { ANSWERED, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const RELAY = { router: 'r2', zone: 'a', address: 'r2:1' };
const REQUESTS = 30;
/** As often as a request is sent again before the failure counts as that of its upstream. */
const SENT_AGAIN = 3;

type Result = Extract<AttemptResult, { readonly type: 'connect-failed' }>;
const RELAY_SILENT: Result = { type: 'connect-failed', relayFailure: 'lost' };
const UPSTREAM_SILENT: Result = { type: 'connect-failed' };
const UPSTREAM_REFUSED: Result = { type: 'connect-failed', refused: true };

/** A router that reaches its only upstream over a relay alone. */
class BlindRouter {
  readonly harness = new RouterHarness();

  constructor() {
    const record = service('board', { slotsPerUpstream: 100, queueLimit: 100, deadlineMillis: 20_000 });
    this.harness.start([record], [upstream('u1', 'board')]);
    this.harness.fromControl({ type: 'relay-peers', peers: [RELAY] });
    const [first] = effectsOfType(this.harness.request('board'), 'dispatch');
    const sent = this.follow(this.harness.ended(Number(first?.attempt), UPSTREAM_SILENT));
    this.answer(sent);
  }

  /** Answers each try: nothing comes back over the direct path, and the relay reaches the upstream. */
  follow(effects: readonly RouterEffect[]): RouterEffect[] {
    const tries = effectsOfType(effects, 'try-path');
    const next = tries.flatMap(({ number, via }) =>
      this.harness.step({ type: 'path-tried', number, outcome: via === null ? 'silent' : 'reached' }),
    );
    return tries.length === 0 ? [...effects] : [...effects, ...this.follow(next)];
  }

  request(): RouterEffect[] {
    return Array.from({ length: REQUESTS }, () => this.harness.request('board')).flat();
  }

  /** Ends the attempts of effects, and gives all that follows. */
  fail(effects: readonly RouterEffect[], result: Result): RouterEffect[] {
    const ended = effectsOfType(effects, 'dispatch').flatMap(({ attempt }) =>
      this.harness.ended(attempt, result),
    );
    return this.follow(ended);
  }

  answer(effects: readonly RouterEffect[]): RouterEffect[] {
    return effectsOfType(effects, 'dispatch').flatMap(({ attempt }) => this.harness.ended(attempt, ANSWERED));
  }
}

describe('a router that reaches an upstream over a relay', () => {
  for (const [what, result] of [
    ['the relay is heard too late', RELAY_SILENT],
    ['the relay hears the upstream too late', UPSTREAM_SILENT],
  ] as const) {
    it(`sends requests again, without its retry budget, if ${what}`, () => {
      const router = new BlindRouter();
      const again = router.fail(router.request(), result);
      expect(effectsOfType(again, 'refuse')).to.deep.equal([]);
      expect(effectsOfType(again, 'dispatch').map(({ via }) => via?.router)).to.deep.equal(
        Array(REQUESTS).fill(RELAY.router),
      );
      expect(effectsOfType(router.answer(again), 'deliver')).to.have.length(REQUESTS);
    });

    it(`counts a failure of the upstream in the end if ${what} each time`, () => {
      const router = new BlindRouter();
      let sent = router.request();
      for (let count = 0; count < SENT_AGAIN; count += 1) {
        sent = router.fail(sent, result);
        expect(effectsOfType(sent, 'dispatch')).to.have.length(REQUESTS);
      }
      expect(effectsOfType(router.fail(sent, result), 'refuse')).to.not.deep.equal([]);
    });
  }

  it('counts a failure at once if the upstream refuses over a relay that reaches it', () => {
    const router = new BlindRouter();
    const again = router.fail(router.request(), UPSTREAM_REFUSED);
    expect(effectsOfType(again, 'refuse')).to.not.deep.equal([]);
  });
});
