/** Snapshots of the registry with bytes and values that nobody wrote are restored, or refused as snapshots that can't be decoded. */
import { gunzipSync, gzipSync } from 'node:zlib';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  type Command,
  createRegistry,
  decodeRegistry,
  type Registry,
  RegistrySnapshotError,
} from '../../src/registry/index.js';
import { SERVICE, upstream } from '../control/cluster-harness.js';
import { changeOf } from '../control/service-absence.js';

const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
const numRuns = Number(process.env.TERNMOUNT_SEEDS ?? 500);
const LENGTH_BYTES = 4;

/** A registry that holds something of each kind. */
function filled(): Registry {
  const registry = createRegistry();
  let index = 0;
  const apply = (command: Command): void => {
    index += 1;
    const envelope = { requestId: `request-${index}`, actor: 'test', at: 1000 * index, command };
    const { result } = registry.apply(index, envelope);
    expect(result.type, JSON.stringify(result)).to.be.oneOf(['accepted', 'claim']);
  };
  const route = { name: 'r', host: 'a', prefix: '/', type: 'safe', timeoutMillis: 100, service: 'menu' };
  const born = { slots: 2, warmupMillis: 0, born: 1 };
  const announced = upstream('u2', { service: 'menu', announced: born });
  const update = { from: 0, to: 999, expectedFence: 0, owner: 'u2', former: null };
  apply({ type: 'service-apply', definition: { ...SERVICE, repeatable: false }, expected: null });
  apply({ type: 'upstream-apply', definition: upstream('u1', { service: SERVICE.name }), expected: null });
  apply(
    changeOf(1, {
      services: [
        { name: 'menu', keyed: true },
        { name: 'gone', keyed: true },
      ],
      routes: [route],
    }),
  );
  apply({ type: 'upstream-announce', definition: announced });
  apply({ type: 'range-update', service: 'menu', updates: [update] });
  apply({ type: 'range-update', service: 'gone', updates: [update] });
  apply(changeOf(2, { removedServices: ['gone'] }));
  apply({ type: 'upstream-withdraw', upstream: 'u3', born: 1 });
  apply({ type: 'evacuation-start', zone: 'b' });
  const claim = { service: SERVICE.name, key: 'k', claimant: 'router/1', fingerprint: 'f' };
  apply({ type: 'ledger-claim', ...claim, issuedAt: 1000 * index });
  return registry;
}

function partsOf(bytes: Uint8Array): Buffer[] {
  const parts: Buffer[] = [];
  const snapshot = Buffer.from(bytes);
  for (let offset = 0; offset < snapshot.length; ) {
    const end = offset + LENGTH_BYTES + snapshot.readUInt32BE(offset);
    parts.push(snapshot.subarray(offset + LENGTH_BYTES, end));
    offset = end;
  }
  return parts;
}

function snapshotOf(parts: readonly Buffer[]): Buffer {
  return Buffer.concat(
    parts.flatMap((part) => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(part.length);
      return [length, part];
    }),
  );
}

function expectRestoredOrRefused(bytes: Uint8Array): boolean {
  try {
    decodeRegistry(bytes);
    return true;
  } catch (thrown) {
    expect(thrown, String((thrown as Error).stack)).to.be.instanceOf(RegistrySnapshotError);
    return false;
  }
}

/** Every place in a value, as a path. */
function pathsOf(value: unknown, path: readonly string[] = []): string[][] {
  const own = [[...path]];
  if (typeof value !== 'object' || value === null) {
    return own;
  }
  return [...own, ...Object.entries(value).flatMap(([name, item]) => pathsOf(item, [...path, name]))];
}

/** Returns a copy of a value with another one at a path, or with nothing there. */
function replaced(value: unknown, [step, ...rest]: readonly string[], other: unknown): unknown {
  if (step === undefined) {
    return other;
  }
  const copy = (Array.isArray(value) ? [...value] : { ...(value as object) }) as Record<string, unknown>;
  copy[step] = replaced(copy[step], rest, other);
  return copy;
}

describe('a snapshot of the registry of content that nobody wrote', () => {
  const bytes = filled().encode();
  const parts = partsOf(bytes);

  /** Guards against members whose snapshots differ although their states are the same: one of them restored retired ranges. */
  it('is restored unchanged if it is as written', () => {
    expect(Buffer.from(decodeRegistry(bytes).encode()).equals(Buffer.from(bytes))).to.equal(true);
    expect(snapshotOf(parts).equals(Buffer.from(bytes))).to.equal(true);
  });

  it('is restored or refused: damaged bytes', () => {
    const changes = fc.array(fc.tuple(fc.nat(), fc.nat(255)), { minLength: 1, maxLength: 4 });
    const property = fc.property(changes, fc.option(fc.nat()), (drawn, cutAt) => {
      const damaged = Uint8Array.from(bytes);
      for (const [position, byte] of drawn) {
        damaged[position % damaged.length] = byte;
      }
      expectRestoredOrRefused(cutAt === null ? damaged : damaged.subarray(0, cutAt % damaged.length));
    });
    fc.assert(property, { seed, numRuns });
  });

  it('is restored or refused: parts left out, twice or in another order', () => {
    const order = fc.array(fc.nat(parts.length - 1), { maxLength: parts.length + 2 });
    const property = fc.property(order, (drawn) => {
      expectRestoredOrRefused(snapshotOf(drawn.map((position) => parts[position] as Buffer)));
    });
    fc.assert(property, { seed, numRuns });
  });

  it('is restored or refused: any value in any place', () => {
    const places = parts.flatMap((part, position) =>
      pathsOf(JSON.parse(gunzipSync(part).toString())).map((path) => ({ position, path })),
    );
    const other = fc.oneof(
      fc.constantFrom(undefined, null, 0, -1, 1e300, '', [], {}, true, '__proto__'),
      fc.jsonValue({ maxDepth: 2 }),
    );
    let restored = 0;
    const property = fc.property(fc.constantFrom(...places), other, ({ position, path }, value) => {
      const changed = replaced(JSON.parse(gunzipSync(parts[position] as Buffer).toString()), path, value);
      const part = gzipSync(JSON.stringify(changed) ?? '');
      restored += Number(expectRestoredOrRefused(snapshotOf(parts.with(position, part))));
    });
    fc.assert(property, { seed, numRuns });
    expect(restored).to.be.within(1, numRuns - 1);
  });
});
