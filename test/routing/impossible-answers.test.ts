/** Answers that name a length which the router's link can't carry in their time, as a faulty upstream may for a body without end. */
import { expect } from 'chai';
import type { RouteDefinition } from '../../src/model/declaration.js';
import type { RouterEffect } from '../../src/routing/types.js';
import { CONFIG, RouterHarness, service, upstream } from './router-harness.js';

const LINK_BYTES_PER_MILLI = 125_000;
const TIMEOUT_MILLIS = 2500;
const OVERTIME_MILLIS = 1000;
const TICK_MILLIS = 50;
const IMPOSSIBLE_BYTES = 99e9;
const LARGE_BYTES = 20e6;
const HOST = 'site.example';

const READS: RouteDefinition = {
  name: 'reads',
  host: HOST,
  prefix: '/reads/',
  repeatable: true,
  timeoutMillis: TIMEOUT_MILLIS,
  targetMillis: 500,
  maxAttempts: 2,
  priority: 1,
  split: [{ service: 'menu', weight: 1 }],
};
const FILES: RouteDefinition = { ...READS, name: 'files', prefix: '/files/' };
const TERMS = { queueLimit: 1000, holdLimitMillis: 5000, deadlineMillis: TIMEOUT_MILLIS };

type Effect<Type extends RouterEffect['type']> = Extract<RouterEffect, { readonly type: Type }>;

describe('an answer of a length that the link can never carry in time', () => {
  let harness: RouterHarness;

  beforeEach(() => {
    harness = new RouterHarness({ ...CONFIG, linkBytesPerMilli: LINK_BYTES_PER_MILLI });
    harness.start(
      [service('menu', TERMS)],
      [upstream('u1', 'menu', { announced: { slots: 1000, warmupMillis: 0 } })],
    );
    harness.change(
      [READS, FILES].map((definition) => ({
        type: 'route' as const,
        name: definition.name,
        record: { definition, revision: 2 },
      })),
    );
  });

  function send(route: RouteDefinition): RouterEffect[] {
    return [...harness.request('', { place: { host: HOST, path: `${route.prefix}x` } })];
  }

  function answer(effects: readonly RouterEffect[], bytes: number): void {
    const dispatch = effects.find((effect): effect is Effect<'dispatch'> => effect.type === 'dispatch');
    const result = { type: 'answered', status: 200, load: null, stored: null, bytes } as const;
    harness.ended(dispatch?.attempt ?? -1, result);
  }

  function wait(millis: number): void {
    for (let passed = 0; passed < millis; passed += TICK_MILLIS) {
      harness.now += TICK_MILLIS;
      harness.answerSyncs(harness.step({ type: 'tick' }));
    }
  }

  function reasonOf(effects: readonly RouterEffect[]): string | undefined {
    return effects.find((effect): effect is Effect<'refuse'> => effect.type === 'refuse')?.reason;
  }

  // Guards against refusals of a route's requests, for as long as the router runs, after one upstream named a huge length.
  it('refuses no other request of its route', () => {
    answer(send(READS), 100);
    answer(send(READS), IMPOSSIBLE_BYTES);
    expect(reasonOf(send(READS))).to.equal(undefined);
    wait(TIMEOUT_MILLIS + OVERTIME_MILLIS);
    expect(reasonOf(send(READS))).to.equal(undefined);
  });

  // Guards against a link that counts as full for minutes because of an answer that is broken off within seconds.
  it('holds up large answers of other routes for no longer than until it is broken off', () => {
    answer(send(FILES), LARGE_BYTES);
    answer(send(READS), IMPOSSIBLE_BYTES);
    expect(reasonOf(send(FILES))).to.equal('link-full');
    wait(2 * (TIMEOUT_MILLIS + OVERTIME_MILLIS));
    expect(reasonOf(send(FILES))).to.equal(undefined);
  });
});
