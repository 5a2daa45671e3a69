/** Evacuated zones: their upstreams get no new requests, and requests that no upstream may serve are refused at once. */
import { expect } from 'chai';
import type { EvacuationRecord } from '../../src/model/evacuation.js';
import type { RegistryChange } from '../../src/registry/types.js';
import { effectsOfType, onlyShard, RouterHarness, service, upstream } from './router-harness.js';

const evacuate = (zone: string): RegistryChange => {
  const record: EvacuationRecord = { zone, since: 0, revision: 9 };
  return { type: 'evacuation', zone, record };
};
const restore = (zone: string): RegistryChange => ({ type: 'evacuation', zone, record: null });

function startTwoZones(): RouterHarness {
  const upstreams = [upstream('u1', 'menu'), upstream('u2', 'menu', { zone: 'b' })];
  return new RouterHarness().start([service('menu', { slotsPerUpstream: 1 })], upstreams);
}

function targetsOf(harness: RouterHarness, count: number): string[] {
  return Array.from({ length: count }, () => {
    const effects = harness.request('menu');
    const [dispatch] = effectsOfType(effects, 'dispatch');
    if (dispatch !== undefined) {
      harness.ended(dispatch.attempt);
    }
    return dispatch?.upstream ?? 'none';
  });
}

describe('upstreams of an evacuated zone', () => {
  it('get no new requests, and are used again afterwards', () => {
    const harness = startTwoZones();
    harness.change([evacuate('a')]);
    expect(new Set(targetsOf(harness, 10))).to.deep.equal(new Set(['u2']));
    harness.change([restore('a'), evacuate('b')]);
    expect(new Set(targetsOf(harness, 10))).to.deep.equal(new Set(['u1']));
  });

  it('get no new requests if they join or change meanwhile', () => {
    const harness = startTwoZones();
    harness.change([evacuate('a')]);
    const record = upstream('u3', 'menu');
    harness.change([{ type: 'upstream', id: 'u3', record }]);
    harness.change([{ type: 'upstream', id: 'u3', record: { ...record, revision: 5 } }]);
    expect(new Set(targetsOf(harness, 10))).to.deep.equal(new Set(['u2']));
  });

  it('may finish their requests', () => {
    const harness = startTwoZones();
    const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
    const effects = harness.change([evacuate('a'), evacuate('b')]);
    expect(effectsOfType(effects, 'cancel-attempt')).to.deep.equal([]);
    expect(effectsOfType(harness.ended(dispatch?.attempt ?? 0), 'deliver')).to.have.length(1);
  });

  it('cause queued and new requests to be refused at once while no zone is left', () => {
    const harness = startTwoZones();
    harness.request('menu');
    harness.request('menu');
    harness.request('menu');
    const refused = effectsOfType(harness.change([evacuate('a'), evacuate('b')]), 'refuse');
    expect(refused.map(({ reason, outcome, status }) => [reason, outcome, status])).to.deep.equal([
      ['no-upstream', 'not-run', 503],
    ]);
    expect(refused[0]?.retryAfterMillis).to.be.above(0);
    const [later] = effectsOfType(harness.request('menu'), 'refuse');
    expect(later).to.include({ reason: 'no-upstream', outcome: 'not-run' });
  });

  it('get no retries of requests that failed elsewhere', () => {
    const harness = startTwoZones();
    harness.change([evacuate('a')]);
    const [first] = effectsOfType(harness.request('menu'), 'dispatch');
    harness.change([evacuate('b')]);
    const effects = harness.ended(first?.attempt ?? 0, { type: 'connect-failed' });
    expect(effectsOfType(effects, 'dispatch')).to.deep.equal([]);
    expect(effectsOfType(effects, 'refuse')[0]).to.include({ reason: 'no-upstream', outcome: 'not-run' });
  });

  it('get no keyed requests, which wait for the next owner and are sent there', () => {
    const harness = new RouterHarness().start(
      [service('menu', { keyed: true })],
      [upstream('u1', 'menu'), upstream('u2', 'menu', { zone: 'b' })],
      [onlyShard('menu', 'u1', 3)],
    );
    harness.change([evacuate('a')]);
    const effects = harness.request('menu', { key: 'k' });
    expect(effectsOfType(effects, 'dispatch')).to.deep.equal([]);
    const moved = harness.change([
      { type: 'shard', shard: 'menu/all@1/0', record: onlyShard('menu', 'u2', 8) },
    ]);
    expect(effectsOfType(moved, 'dispatch').map(({ upstream: target }) => target)).to.deep.equal(['u2']);
  });
});
