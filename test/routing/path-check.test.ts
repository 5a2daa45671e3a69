import { expect } from 'chai';
import type { RelayPeer } from '../../src/model/relay.js';
import { type Path, PathCheck, type PathCheckStep } from '../../src/routing/paths/path-check.js';
import type { PathOutcome } from '../../src/routing/paths/path-outcome.js';

const PEERS = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7'].map(
  (router, index): RelayPeer => ({ router, zone: `z${index % 3}`, address: `${router}:1` }),
);

const TRUST = {
  isFirstSighted: false,
  isAssumedLost: () => false,
  hasHeardOthers: () => false,
  wasEnded: false,
};
const HEARS_OTHERS = { ...TRUST, hasHeardOthers: () => true };

/** Answers each try as the table says until there is a verdict; counts the tries. */
function run(check: PathCheck, outcomeOf: (path: Path) => PathOutcome) {
  let tries = 0;
  let open: Path[] = [];
  const follow = (step: PathCheckStep): PathCheckStep => {
    open.push(...step.tries);
    tries += step.tries.length;
    return step;
  };
  let step = follow(check.begin());
  while (step.verdict === null) {
    const path = open[0] as Path;
    open = open.slice(1);
    step = follow(check.tried(path, outcomeOf(path)));
  }
  return { verdict: step.verdict, tries };
}

const directly =
  (direct: PathOutcome, relayed: PathOutcome) =>
  (path: Path): PathOutcome =>
    path === null ? direct : relayed;

describe('PathCheck', () => {
  const CASES = [
    ['finds that the path in use works', 'reached', 'reached', 'works', 1],
    ['takes no path away for a fault of this process', 'unknown', 'reached', 'works', 1],
    ['finds another path where the direct one is silent', 'silent', 'reached', 'other-path', 4],
    ['finds another path where the direct one is refused', 'refused', 'reached', 'other-path', 5],
    ['finds that an upstream ended which refuses everywhere', 'refused', 'refused', 'ended', 8],
    ['finds that an upstream ended which others see refuse', 'silent', 'refused', 'ended', 8],
    ['finds that nothing comes back over any path', 'silent', 'silent', 'unreachable', 7],
    ['judges nothing where no other router can tell', 'silent', 'no-relay', 'unknown', 8],
  ] as const;
  for (const [what, direct, relayed, type, tries] of CASES) {
    it(what, () => {
      const result = run(new PathCheck(null, PEERS, null), directly(direct, relayed));
      expect([result.verdict.type, result.tries]).to.deep.equal([type, tries]);
    });
  }

  for (const direct of ['refused', 'silent'] as const) {
    it(`blames no upstream that only its lost direct path can tell of, its relay being lost too (${direct})`, () => {
      const [relay, ...others] = PEERS;
      const check = new PathCheck(relay as RelayPeer, [null, ...others], 'no-relay');
      expect(run(check, directly(direct, 'no-relay')).verdict.type).to.equal('unknown');
    });

    it(`blames an upstream that its direct path and a peer can tell of, its relay being lost (${direct})`, () => {
      const [relay, ...others] = PEERS;
      const check = new PathCheck(relay as RelayPeer, [null, ...others], 'no-relay');
      const type = { refused: 'ended', silent: 'unreachable' }[direct];
      expect(run(check, directly(direct, direct)).verdict.type).to.equal(type);
    });
  }

  it('asks few peers about an upstream that refuses while others answer', () => {
    const check = new PathCheck(null, PEERS, null, HEARS_OTHERS);
    const result = run(check, directly('refused', 'refused'));
    expect([result.verdict.type, result.tries, check.isThorough]).to.deep.equal(['ended', 4, false]);
  });

  it('asks one peer whether an upstream is back that had ended', () => {
    const check = new PathCheck(null, PEERS, null, { ...HEARS_OTHERS, wasEnded: true });
    const result = run(check, directly('refused', 'refused'));
    expect([result.verdict.type, result.tries]).to.deep.equal(['ended', 2]);
  });

  it('asks as many as may be where the verdict accuses a request', () => {
    const check = new PathCheck(null, PEERS, null, HEARS_OTHERS);
    check.makeThorough();
    const result = run(check, directly('refused', 'refused'));
    expect([result.verdict.type, result.tries, check.isThorough]).to.deep.equal(['ended', 8, true]);
  });

  it('takes no path away from an upstream that starts again while its path is checked', () => {
    let direct = 0;
    const result = run(new PathCheck(null, PEERS, null), (path) => {
      direct += path === null ? 1 : 0;
      return path === null && direct === 1 ? 'refused' : 'reached';
    });
    expect(result.verdict).to.deep.equal({ type: 'works' });
  });

  it('asks one peer alone that reached an upstream a moment ago', () => {
    const trust = { ...TRUST, isFirstSighted: true };
    const result = run(new PathCheck(null, PEERS, 'silent', trust), directly('silent', 'reached'));
    expect(result).to.deep.equal({
      verdict: { type: 'other-path', path: PEERS[0], evidence: 'silent' },
      tries: 1,
    });
  });

  it('asks nobody where upstreams like this one were found lost and a peer is known to see', () => {
    const trust = { ...TRUST, isFirstSighted: true, isAssumedLost: () => true };
    const check = new PathCheck(null, PEERS, 'refused', trust);
    expect(check.begin().verdict).to.deep.equal({ type: 'other-path', path: PEERS[0], evidence: 'refused' });
  });

  it('tries the direct path beside others when a relay is lost', () => {
    const [relay, ...others] = PEERS;
    const check = new PathCheck(relay as RelayPeer, [null, ...others], 'no-relay');
    expect(check.begin().tries).to.include(null);
  });
});
