/** Guards against control members that end at every start: a change of 7 KB, lists in lists, threw while its entry was applied. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { ServiceDefinition } from '../../src/model/service.js';
import { createRegistry, decodeRegistry } from '../../src/registry/index.js';
import type { Command, CommandResult, Registry } from '../../src/registry/types.js';
import { InvalidDefinitionError } from '../../src/registry/validation/field-checks.js';
import { problemOfChange, problemOfCommand } from '../../src/registry/validation/sent-change.js';
import { APPLIED_LIMITS, checkShape, SENT_LIMITS } from '../../src/registry/validation/value-shape.js';
import { changeOf } from '../control/service-absence.js';

const ROUTE = { name: 'r', host: 'h', prefix: '/p/', type: 'safe', timeoutMillis: 1000, service: 'menu' };
const MENU = { name: 'menu' };
/** Number of documents; `TERNMOUNT_SEEDS` sets another. The seed is printed if one fails. */
const DOCUMENTS = Number(process.env.TERNMOUNT_SEEDS ?? 400);
const DEPTHS = [65, 1001, 3500, 100_000];

/** Lists in lists, or objects in objects. */
function nested(depth: number, wrap: (inner: unknown) => unknown): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) {
    value = wrap(value);
  }
  return value;
}

const WRAPS: Readonly<Record<string, (inner: unknown) => unknown>> = {
  lists: (inner) => [inner],
  objects: (inner) => ({ inner }),
};

/** Applies a command as the next entry, read back from its text as from the log. */
function apply(registry: Registry, command: unknown, requestId: string | null = null): CommandResult {
  const envelope = { requestId, actor: 'test', at: 0, command: command as Command };
  return registry.apply(registry.revision + 1, envelope).result;
}

const name = fc.oneof(
  fc.constantFrom('menu', 'r', 'constructor', '__proto__', 'toString', '', '\ud800', 'a'.repeat(300)),
  fc.string(),
);
const oddNumber = fc.oneof(fc.integer(), fc.double(), fc.constantFrom(-0, 1e308, 2 ** 53, 1000));
const odd = fc.oneof(fc.jsonValue({ maxDepth: 6 }), name, oddNumber);
/** Fields that are right most of the time, and any others beside. */
function nearly(fields: Readonly<Record<string, unknown>>): fc.Arbitrary<unknown> {
  const drawn = Object.entries(fields).map(([key, value]) => {
    const choices = fc.oneof({ weight: 6, arbitrary: fc.constant(value) }, { weight: 1, arbitrary: odd });
    return [key, choices] as const;
  });
  const known = fc.record(Object.fromEntries(drawn), { requiredKeys: ['name'] });
  return fc
    .tuple(known, fc.dictionary(name, odd, { maxKeys: 2 }))
    .map(([one, more]) => ({ ...more, ...one }));
}
const route = fc.oneof({ weight: 5, arbitrary: nearly({ ...ROUTE, attempts: 2, priority: 1 }) }, odd);
const service = fc.oneof(
  { weight: 5, arbitrary: nearly({ ...MENU, keyed: true, healthPath: '/health', connections: 10 }) },
  odd,
);
const change = fc.record({
  extent: fc.constantFrom('whole', 'partial'),
  routes: fc.array(route, { maxLength: 3 }),
  services: fc.array(service, { maxLength: 3 }),
  limits: fc.oneof(fc.constant(null), odd),
  removedRoutes: fc.array(fc.oneof(name, odd), { maxLength: 2 }),
  removedServices: fc.array(fc.oneof(name, odd), { maxLength: 2 }),
});

describe('values that nobody expects', () => {
  for (const [what, wrap] of Object.entries(WRAPS)) {
    for (const depth of DEPTHS) {
      it(`are refused with their place, or have no effect, and the next change is applied: ${depth} ${what}`, () => {
        const registry = createRegistry();
        const type = nested(depth, wrap);
        const refused = apply(registry, changeOf(1, { routes: [{ ...ROUTE, type }], services: [MENU] }));
        expect(refused.type).to.equal('invalid');
        const isOverBound = depth > APPLIED_LIMITS.depth;
        expect(refused)
          .to.have.property('message')
          .that.includes(isOverBound ? 'command.routes[0].type' : 'routes[0].type');
        expect(apply(registry, changeOf(1, { routes: [ROUTE], services: [MENU] })).type).to.equal('accepted');
        expect(decodeRegistry(registry.encode()).revision).to.equal(registry.revision);
      });

      it(`don't stop an operator's command either: ${depth} ${what}`, () => {
        const registry = createRegistry();
        const definition = { name: 'menu', keyed: nested(depth, wrap) };
        const result = apply(registry, { type: 'service-apply', definition, expected: null }, 'request-1');
        expect(result.type).to.equal('invalid');
      });
    }
  }

  it('are refused before they enter the log, with their place', () => {
    for (const wrap of Object.values(WRAPS)) {
      for (const depth of DEPTHS) {
        const routes = [ROUTE, { ...ROUTE, name: nested(depth, wrap) }];
        expect(problemOfChange(changeOf(1, { routes }))).to.match(
          /^routes\[1\]\.name.* deeper than 64 levels$/,
        );
        const definition = { name: nested(depth, wrap) } as unknown as ServiceDefinition;
        const problem = problemOfCommand({ type: 'service-apply', definition, expected: null });
        expect(problem).to.match(/^command\.definition\.name.* deeper than 64 levels$/);
      }
    }
    expect(problemOfChange(changeOf(1, { routes: [ROUTE], services: [MENU] }))).to.equal(null);
  });

  /** Guards against a health path that ends whoever asks for it. */
  it('are refused as health paths that can stand in no request', () => {
    for (const healthPath of ['/health ', ' /health', '/a b', '/a\r\nb', '/\u4e00', '/\ud800', '/\u0000']) {
      const services = [MENU, { name: 'other', healthPath }];
      expect(problemOfChange(changeOf(1, { services }))).to.match(/^services\[1\]\.healthPath: must not/);
    }
    const services = [{ ...MENU, healthPath: '/health?deep=1' }, null, 7, 'text'];
    expect(problemOfChange(changeOf(1, { services }))).to.equal(null);
  });

  it('have the same bound on any stack', () => {
    const deepest = (limit: number) => nested(limit, (inner) => [inner]);
    for (const limits of [SENT_LIMITS, APPLIED_LIMITS]) {
      expect(() => checkShape('value', deepest(limits.depth), limits)).not.to.throw();
      expect(() => checkShape('value', deepest(limits.depth + 1), limits)).to.throw(
        InvalidDefinitionError,
        `value[0][0][0][0]…: must not be nested deeper than ${limits.depth} levels`,
      );
    }
    const wide = Array.from({ length: 10 }, () => [1, 2, 3]);
    expect(() => checkShape('value', wide, { depth: 3, values: 20 })).to.throw('more than 20 values');
  });

  it('are refused with a place, or accepted and read back the same, and never throw', () => {
    const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
    fc.assert(
      fc.property(fc.array(change, { minLength: 1, maxLength: 4 }), (changes) => {
        const registry = createRegistry();
        let version = 0;
        for (const fields of changes) {
          const sent = JSON.parse(JSON.stringify(changeOf(version + 1, fields as object)));
          const entry = { requestId: null, actor: 'test', at: 0, command: sent };
          const { result, fault } = registry.apply(registry.revision + 1, entry);
          expect(fault).to.equal(undefined);
          if (result.type === 'invalid') {
            expect(result.message).to.match(/^(routes|services|remove|limits|version)/);
          } else {
            expect(result.type).to.equal('accepted');
            version += 1;
            const document = JSON.stringify(registry.declaredDocument());
            expect(JSON.stringify(decodeRegistry(registry.encode()).declaredDocument())).to.equal(document);
          }
        }
      }),
      { numRuns: DOCUMENTS, seed },
    );
  });
});
