/** What an earlier release accepted stays accepted, whether a member replays its log or restores its snapshot. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { expect } from 'chai';
import fc from 'fast-check';
import { canonicalJson, deepJson } from '../../src/registry/canonical-json.js';
import { createRegistry, decodeRegistry } from '../../src/registry/index.js';
import type { CommandResult, Registry } from '../../src/registry/types.js';
import { problemOfChange } from '../../src/registry/validation/sent-change.js';
import { changeOf } from '../control/service-absence.js';

const SMALL_STACK_MEGABYTES = 0.5;
const ROUTE = { name: 'r1', host: 'h', prefix: '/1/', type: 'safe', timeoutMillis: 1000, service: 'menu' };
const MENU = { name: 'menu' };

/** The changes of `SNAPSHOT`: proper ones before and after one with types that the earlier release took for valid. */
const CHANGES = [
  { version: 5, expected: 0, extent: 'whole', routes: [ROUTE], services: [MENU] },
  {
    version: 7,
    expected: 5,
    extent: 'partial',
    routes: [
      { ...ROUTE, name: 'r2', type: 'constructor', prefix: '/2/' },
      { ...ROUTE, name: 'r3', type: '__proto__', prefix: '/3/' },
      { ...ROUTE, name: 'r4', type: 'toString', prefix: '/4/' },
    ],
    services: [],
  },
  {
    version: 9,
    expected: 7,
    extent: 'partial',
    routes: [{ ...ROUTE, name: 'r5', type: 'unsafe', prefix: '/5/' }],
    services: [],
  },
] as const;

/** The snapshot that the release at ae5142c wrote after these changes, in base64. */
const SNAPSHOT =
  'AAAATR+LCAAAAAAABAOrVipILCpRslLKSE1MUdJRKkstKs7Mz1OyMtJRKkoty4RwjHWUknPyk7OVrIx1lIrLUwtKHEuUrAxqARAI' +
  'SSE+AAAAAAABRh+LCAAAAAAABANVkcFqHDEQRP+lziJZrb170C0+x2ACORkfejVlTxONNJF6xgzL/nvQGCdEJxU0r7qqr5ilGgIa' +
  '66qRDe7fNzxfMfBVs5qWjHBFlokImJgXOPzixgHhVVKjQ+VMMbkkIlhd6DBXLVVtQ4BmY5VouhIOA2VImvmoKWlDuDsf+nNoqVh7' +
  'Yv05N6uUCeHYwVa3h2V4oyEcvviTQ5OVww9aVbZ95vfChd91UkM4+aPDWNKw608Pf+oGsUhii/y79ftYEr/l9s76sNlOOx/9/f1u' +
  'y9yDfxIODnOSyInZehlLllU0yUXTHtI76HSRJLnzvUMcl5oR/M1hKit7sEfNixHh3GEladwQnl/2Ktssvf9dxpIzYzf/vw3fM4yU' +
  'ZOOT2IiArx8Kt77wqm0/lHd4Y2aVj7sdbi+3P+zTaMbpAQAAAAACJx+LCAAAAAAABAPNlVFv2jAQx7/LvWKJhBAokfoATItY6aYK' +
  'CmIIIZMcwW0SB9uBAMp3r5zCSrem3QNa9+ac7vy/++X09wESKhQ44KMXUoE+kJejcwCBHhc+OAfYoJCMx+C0CIQsYkrq6Aqpj6Kz' +
  'UyjBMRvWVZ3Agvu7U8SoX9nNBjnm3bIwZDrRMAyDAPNDPIUatmEYOQGBG/asY+UvQnEahgQETwud6QEkT4WHuoOYRggOCBMIrLjU' +
  's6yAQCJwyTJwoGpWgYDaJTpL0iXqLxYhT9VJW7dDQKLYMH0nRBinUPRyGt7HJYuZKub/W0mBCVJFFyGCo0SKJbKKigB/ayWiWVsp' +
  'jBINuaaHYVwwtQPHJCCTkClwNITXHRPYIgtWChwzn71CaeY5eYtZrYxZ7YyZx2OpROopLi6H7gPlt/7PvwBVKwFllYGyzkDN54ng' +
  'is/nl8P0vu75hh3yT9yvMmz1Mmz1M2yKD5RgcXA5ah/I/m/LZZdRss8opfFlvet90fPNWtJQfqZ5WXk+++XOsjC+o+cXPk3+fAue' +
  '/VtXHR8tXTW1CcgbuW6Os6VnDBcTmbGb9kPPuMsmLenS+2yS2T23sv66Xfzstq9hRqZNAvE669zv6t3BXXu1/VF1q5Og1fJGcZX1' +
  'bxVl3929a4Y2jlN3UpS0CLjDb6Naz6p8wdTePor1Xo12XVXLAr+y7fQfsgrtD/e9R3cwDq5hNsvzJ1UI2geFBwAAAAAAIh+LCAAA' +
  'AAAABAOrVipILCpRslJKzUtRqgUA+2v6/A4AAAA=';

function nested(depth: number, wrap: (inner: unknown) => unknown): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) {
    value = wrap(value);
  }
  return value;
}

function apply(registry: Registry, fields: object): CommandResult {
  const revision = registry.revision + 1;
  const lists = { limits: null, removedRoutes: [], removedServices: [] };
  const command = { type: 'declaration-apply', ...lists, ...fields } as never;
  return registry.apply(revision, { requestId: null, actor: 'operator', at: revision, command }).result;
}

function replayed(): Registry {
  const registry = createRegistry();
  for (const change of CHANGES) {
    expect(apply(registry, change).type, `version ${change.version}`).to.equal('accepted');
  }
  return registry;
}

describe('entries that an earlier release accepted', () => {
  // Guards against an acknowledged change that an upgrade loses: a later check refused the change before it on replay.
  it('are accepted on replay, with the changes after them', () => {
    expect(replayed().declaredDocument()?.version).to.equal(9);
  });

  it('leave the same state on a member that restored the snapshot of that release', () => {
    const restored = decodeRegistry(Buffer.from(SNAPSHOT, 'base64'));
    expect(restored.declaredDocument()).to.deep.equal(replayed().declaredDocument());
    expect(Buffer.from(restored.encode()).equals(Buffer.from(replayed().encode()))).to.equal(true);
    const next = { version: 11, expected: 9, extent: 'partial', routes: [], services: [{ name: 'other' }] };
    expect(apply(restored, next).type).to.equal('accepted');
  });

  it('declare routes whose requests run at most once, where their type is none', () => {
    for (const registry of [replayed(), decodeRegistry(Buffer.from(SNAPSHOT, 'base64'))]) {
      const repeatable = registry.routingSnapshot().routes.map(({ definition }) => definition.repeatable);
      expect(repeatable).to.deep.equal([true, false, false, false, false]);
    }
  });

  for (const { what, depth, wrap } of [
    { what: 'lists', depth: 3100, wrap: (inner: unknown): unknown => [inner] },
    { what: 'objects', depth: 3700, wrap: (inner: unknown): unknown => ({ inner }) },
  ]) {
    it(`are accepted with as many ${what} inside one another as that release could apply`, () => {
      const registry = createRegistry();
      const routes = [{ ...ROUTE, note: nested(depth, wrap) }];
      expect(apply(registry, { ...CHANGES[0], routes }).type).to.equal('accepted');
      expect(apply(registry, CHANGES[1]).type).to.equal('accepted');
      expect(decodeRegistry(registry.encode()).declaredDocument()?.version).to.equal(7);
    });
  }

  // Guards against state that one machine acknowledged and another can't write, since its stack holds less.
  it('are written and read by a member whose stack is small', async () => {
    const member = new Worker(new URL('./small-stack-member.js', import.meta.url), {
      resourceLimits: { stackSizeMb: SMALL_STACK_MEGABYTES },
    });
    const [version] = await once(member, 'message');
    expect(version).to.equal(5);
  });

  it('are refused before the log if they are sent to this release', () => {
    for (const type of ['constructor', '__proto__', 'toString', 'valueOf', 'none']) {
      const routes = [ROUTE, { ...ROUTE, name: 'r2', type }];
      expect(problemOfChange(changeOf(1, { routes }))).to.match(/^routes\[1\]\.type: must be safe/);
    }
  });
});

describe('the text of a value', () => {
  function sorted(value: unknown): unknown {
    if (Array.isArray(value)) {
      return value.map(sorted);
    }
    if (value === null || typeof value !== 'object') {
      return value;
    }
    const entries = Object.entries(value).sort(([one], [other]) => (one < other ? -1 : 1));
    return Object.fromEntries(entries.map(([key, item]) => [key, sorted(item)]));
  }

  it('with sorted keys is that of a copy with sorted keys', () => {
    const key = fc.oneof(fc.string(), fc.constantFrom('__proto__', '10', '9', '-1', '1.5', 'constructor'));
    const value = fc.letrec((tie) => ({
      any: fc.oneof({ maxDepth: 4 }, fc.jsonValue(), fc.dictionary(key, tie('any')), fc.array(tie('any'))),
    })).any;
    fc.assert(
      fc.property(value, (any) => {
        expect(canonicalJson(any)).to.equal(JSON.stringify(sorted(any)));
      }),
      { numRuns: 500 },
    );
  });

  it('is that of JSON.stringify in the order of the fields', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (any) => {
        expect(deepJson(any)).to.equal(JSON.stringify(any));
      }),
    );
    const odd = { b: undefined, a: [undefined, Number.NaN, -0, () => 1], '1': 'x' };
    expect(deepJson(odd)).to.equal(JSON.stringify(odd));
  });

  it('leaves out what has no JSON value, as JSON does', () => {
    const odd = { b: undefined, a: [undefined, Number.NaN, -0], c: () => 1 };
    expect(canonicalJson(odd)).to.equal('{"a":[null,null,0]}');
  });
});
