/** Declared routes: which one matches a request, on what terms, and how non-repeatable requests end. */
import { expect } from 'chai';
import type { RouteDefinition } from '../../src/model/declaration.js';
import type { KeyRange } from '../../src/model/key-range.js';
import type { RegistryChange, UpstreamRecord } from '../../src/registry/types.js';
import { Random } from '../../src/routing/random.js';
import { RouteTable } from '../../src/routing/route-table.js';
import { SplitRotation } from '../../src/routing/split-rotation.js';
import type { RouterEffect } from '../../src/routing/types.js';
import {
  ANSWERED,
  controlMessages,
  effectsOfType,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

function route(name: string, changes: Partial<RouteDefinition> = {}): RouteDefinition {
  return {
    name,
    host: 'menu.example',
    prefix: '/sheets/',
    repeatable: true,
    timeoutMillis: 1000,
    targetMillis: 200,
    maxAttempts: 2,
    priority: 1,
    split: [{ service: 'menu', weight: 1 }],
    ...changes,
  };
}

describe('route table', () => {
  const table = new RouteTable();
  table.put('short', route('short', { prefix: '/a/' }));
  table.put('long', route('long', { prefix: '/a/b/' }));
  table.put('root', route('root', { host: 'other.example', prefix: '/' }));
  const cases: readonly (readonly [string, string, string | undefined])[] = [
    ['menu.example', '/a/x', 'short'],
    ['menu.example', '/a/b/x', 'long'],
    ['menu.example', '/a/b/', 'long'],
    ['menu.example', '/a/b', 'short'],
    ['menu.example', '/a', undefined],
    ['menu.example', '/ab/', undefined],
    ['MENU.example:8080', '/a/x', 'short'],
    ['other.example', '/anything', 'root'],
    ['nobody.example', '/a/x', undefined],
  ];
  for (const [host, path, expected] of cases) {
    it(`${host}${path} goes to ${expected}`, () => {
      expect(table.find(host, path)?.name).to.equal(expected);
    });
  }

  it('removes a route, and keeps one that has replaced it at the same prefix', () => {
    const changing = new RouteTable();
    changing.put('one', route('one'));
    changing.put('two', route('two'));
    changing.put('one', null);
    expect(changing.find('menu.example', '/sheets/')?.name).to.equal('two');
    changing.put('two', null);
    expect(changing.find('menu.example', '/sheets/')).to.equal(undefined);
  });

  it('divides any 100 consecutive requests closely by weight, from any start position', () => {
    const split = [
      { service: 'a', weight: 70 },
      { service: 'b', weight: 30 },
      { service: 'c', weight: 0 },
    ];
    for (let seed = 1; seed <= 50; seed += 1) {
      const rotation = new SplitRotation(new Random(seed));
      const chosen = Array.from({ length: 1000 }, () => rotation.next(route('parts', { split })));
      expect(chosen).to.not.include('c');
      for (let from = 0; from + 100 <= chosen.length; from += 10) {
        const share = chosen.slice(from, from + 100).filter((name) => name === 'b').length / 100;
        expect(share, `seed ${seed}, from ${from}`).to.be.closeTo(0.3, 0.03);
      }
    }
  });

  it('divides few requests each of many routers by weight in total', () => {
    const split = [
      { service: 'a', weight: 90 },
      { service: 'b', weight: 10 },
    ];
    const random = new Random(7);
    const chosen = Array.from({ length: 1000 }, () => {
      const rotation = new SplitRotation(random);
      return [rotation.next(route('parts', { split })), rotation.next(route('parts', { split }))];
    }).flat();
    expect(chosen.filter((name) => name === 'b').length / chosen.length).to.be.closeTo(0.1, 0.03);
  });
});

function announced(id: string): UpstreamRecord {
  const record = upstream(id, 'menu', { announced: { slots: 2, warmupMillis: 0 } });
  return { ...record, incarnation: id };
}

function harnessWith(routes: readonly RouteDefinition[], ids: readonly string[]): RouterHarness {
  const harness = new RouterHarness().start([service('menu')], ids.map(announced));
  const changes = routes.map(
    (definition): RegistryChange => ({
      type: 'route',
      name: definition.name,
      record: { definition, revision: 1 },
    }),
  );
  harness.change(changes);
  return harness;
}

function send(harness: RouterHarness, path: string, key: string | null = null): RouterEffect[] {
  const place = { host: 'menu.example', path };
  return harness.request('', { place, key, target: path, deadlineMillis: 5000 });
}

describe('requests by route', () => {
  it('are refused as unknown without a route', () => {
    const harness = harnessWith([route('sheets')], ['u1']);
    expect(effectsOfType(send(harness, '/none/'), 'refuse')[0]).to.include({
      status: 404,
      reason: 'unknown-route',
    });
  });

  it('are dispatched to one run only, with the deadline of the route', () => {
    const harness = harnessWith([route('sheets')], ['u1']);
    expect(effectsOfType(send(harness, '/sheets/1'), 'dispatch')[0]).to.include({
      instance: 'u1',
      deadlineMillis: 1000,
    });
  });

  it('are not sent again after they may have run, if they must not be repeated', () => {
    const harness = harnessWith([route('orders', { repeatable: false })], ['u1', 'u2']);
    const attempt = effectsOfType(send(harness, '/sheets/1'), 'dispatch')[0]?.attempt ?? 0;
    const effects = harness.ended(attempt, { type: 'broken' });
    expect(effectsOfType(effects, 'dispatch')[0]).to.equal(undefined);
    expect(effectsOfType(effects, 'refuse')[0]).to.include({ status: 502, outcome: 'unknown' });
  });

  it('are sent again after proof that they did not run, as often as the route allows', () => {
    const harness = harnessWith([route('orders', { repeatable: false, maxAttempts: 2 })], ['u1', 'u2']);
    const refused = { type: 'refused', refusal: 'overloaded', retryAfterMillis: null } as const;
    const first = effectsOfType(send(harness, '/sheets/1'), 'dispatch')[0];
    const again = effectsOfType(harness.ended(first?.attempt ?? 0, refused), 'dispatch')[0];
    expect(again?.instance).to.not.equal(first?.instance);
    const effects = harness.ended(again?.attempt ?? 0, refused);
    expect(effectsOfType(effects, 'refuse')[0]).to.include({
      status: 503,
      outcome: 'not-run',
      reason: 'attempts-spent',
    });
  });
});

function range(from: number, to: number, owner: string | null, fence: number): RegistryChange {
  const record: KeyRange = { service: 'menu', from, to, owner, fence, former: null, revision: fence };
  return { type: 'range', service: 'menu', from, record };
}

describe('requests with numeric keys', () => {
  function keyed(): RouterHarness {
    const keyspaces = [{ name: 'numbers', kind: 'range', match: '', shards: 0 }] as const;
    const record = service('menu', { keyed: true, keyspaces });
    const harness = new RouterHarness().start([record], ['u1', 'u2'].map(announced));
    const definition = route('sheets');
    harness.change([
      { type: 'route', name: 'sheets', record: { definition, revision: 1 } },
      range(0, 99, 'u1', 5),
      range(100, 65_535, 'u2', 5),
    ]);
    return harness;
  }

  it('go to the owner of the range', () => {
    const harness = keyed();
    expect(effectsOfType(send(harness, '/sheets/1', '99'), 'dispatch')[0]?.instance).to.equal('u1');
    expect(effectsOfType(send(harness, '/sheets/1', '100'), 'dispatch')[0]?.instance).to.equal('u2');
  });

  it('are refused if the key is not a number in range', () => {
    for (const key of ['65536', 'x', '-1', '']) {
      expect(effectsOfType(send(keyed(), '/sheets/1', key), 'refuse')[0], key).to.include({
        reason: 'key-required',
      });
    }
  });

  it('wait while a range has no owner, and go to the next one', () => {
    const harness = keyed();
    harness.change([range(0, 99, null, 6)]);
    expect(effectsOfType(send(harness, '/sheets/1', '50'), 'dispatch')[0]).to.equal(undefined);
    const effects = harness.change([range(0, 49, 'u1', 7), range(50, 99, 'u2', 7)]);
    expect(effectsOfType(effects, 'dispatch')[0]?.instance).to.equal('u2');
  });

  it('wait while a range has no owner, and go to the next one of a range that begins at the same key', () => {
    const harness = keyed();
    harness.change([range(0, 99, null, 6)]);
    expect(effectsOfType(send(harness, '/sheets/1', '10'), 'dispatch')[0]).to.equal(undefined);
    const effects = harness.change([range(0, 49, 'u2', 7), range(50, 99, 'u1', 7)]);
    expect(effectsOfType(effects, 'dispatch')[0]?.instance).to.equal('u2');
  });

  it('that wait for a busy owner go to the next owner as soon as there is one', () => {
    const harness = keyed();
    const isSent = (key: number): boolean =>
      effectsOfType(send(harness, '/sheets/1', String(key)), 'dispatch').length > 0;
    let key = 1;
    while (key < 30 && isSent(key)) {
      key += 1;
    }
    expect(key).to.be.below(30);
    const effects = harness.change([range(0, 99, 'u2', 7)]);
    expect(effectsOfType(effects, 'dispatch')[0]?.instance).to.equal('u2');
  });

  it('are refused at once while their owner is full, with a time at which it may have capacity', () => {
    const harness = keyed();
    const attempt = effectsOfType(send(harness, '/sheets/1', '50'), 'dispatch')[0]?.attempt ?? 0;
    const full = { type: 'refused', refusal: 'overloaded', retryAfterMillis: null, load: 14 } as const;
    harness.ended(attempt, full);
    const effects = send(harness, '/sheets/1', '51');
    expect(effectsOfType(effects, 'dispatch')).to.have.length(0);
    const [refused] = effectsOfType(effects, 'refuse');
    expect(refused).to.include({ reason: 'would-miss-deadline', outcome: 'not-run' });
    expect(refused?.retryAfterMillis).to.be.within(500, 1200);
    harness.run(1200);
    expect(effectsOfType(send(harness, '/sheets/1', '52'), 'dispatch')).to.have.length(1);
    expect(effectsOfType(send(harness, '/sheets/1', '100'), 'dispatch')).to.have.length(1);
  });

  it('keep their attempt when the range loses its owner, which may still finish it', () => {
    const harness = keyed();
    const attempt = effectsOfType(send(harness, '/sheets/1', '50'), 'dispatch')[0]?.attempt ?? 0;
    harness.change([range(0, 99, null, 6)]);
    const effects = harness.advance(500);
    expect(effectsOfType(effects, 'cancel-attempt')[0]).to.equal(undefined);
    expect(effectsOfType(harness.ended(attempt, ANSWERED), 'deliver')[0]?.attempt).to.equal(attempt);
  });
});

describe('load of numeric keys', () => {
  /** A router with a service whose keys are all owned by one upstream. */
  function ownedByOne(): RouterHarness {
    const keyspaces = [{ name: 'numbers', kind: 'range', match: '', shards: 0 }] as const;
    const harness = new RouterHarness().start(
      [service('menu', { keyed: true, keyspaces })],
      [announced('u1')],
    );
    const definition = route('sheets');
    harness.change([
      { type: 'route', name: 'sheets', record: { definition, revision: 1 } },
      range(0, 65_535, 'u1', 5),
    ]);
    return harness;
  }

  it('includes refused requests, and excludes the time that requests waited at their owner', () => {
    const harness = ownedByOne();
    const [first] = effectsOfType(send(harness, '/sheets/1', '7'), 'dispatch');
    harness.now += 60;
    harness.ended(first?.attempt ?? 0, ANSWERED);
    harness.run(1700);
    const burst = Array.from({ length: 30 }, () => send(harness, '/sheets/1', '8')).flat();
    for (const { attempt } of effectsOfType(burst, 'dispatch')) {
      harness.now += 100;
      harness.ended(attempt, ANSWERED);
    }
    const reports = [...burst, ...harness.advance(1000)];
    const loads = controlMessages(reports, 'load-report').flatMap(({ shards }) => shards);
    const ofKey = loads.filter(({ shard }) => shard === 'menu/numbers@0/8');
    const sum = ofKey.reduce((total, { workMillis }) => total + workMillis, 0);
    expect(sum).to.be.closeTo(30 * 60, 1);
  });

  it('is reported by key, at once while requests wait for an owner', () => {
    const harness = ownedByOne();
    harness.run(1700);
    const [early] = effectsOfType(send(harness, '/sheets/1', '7'), 'dispatch');
    harness.now += 60;
    harness.ended(early?.attempt ?? 0, ANSWERED);
    const effects = [0, 1, 2, 3, 4].flatMap((number) => send(harness, '/sheets/1', String(number)));
    const [report] = controlMessages(effects, 'load-report');
    const workByShard = new Map(report?.shards.map(({ shard, workMillis }) => [shard, workMillis]));
    // Requests that arrived before the first wait are included, at the owner's speed once that was measured.
    expect(workByShard.get('menu/numbers@0/7')).to.equal(10);
    expect(workByShard.size).to.be.at.least(3);
    for (const [shard, workMillis] of workByShard) {
      expect(workMillis, shard).to.equal(shard === 'menu/numbers@0/7' ? 10 : 60);
    }
  });
});
