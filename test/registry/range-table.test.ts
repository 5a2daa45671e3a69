/** Ranges always cover all keys without overlap, and fences only increase. */
import { expect } from 'chai';
import fc from 'fast-check';
import { findRange, MAX_KEY } from '../../src/model/key-range.js';
import { DEFAULT_RANGE_GRANTS } from '../../src/model/service.js';
import { RangeTable } from '../../src/registry/range-table.js';
import type { RangeUpdate } from '../../src/registry/types.js';

const SERVICE = 'menu';

function expectCover(table: RangeTable): void {
  let next = 0;
  for (const { from, to } of table.rangesOf(SERVICE)) {
    expect(from).to.equal(next);
    expect(to).to.be.at.least(from);
    next = to + 1;
  }
  expect(next).to.equal(MAX_KEY + 1);
}

const spanArbitrary = fc
  .tuple(fc.integer({ min: 0, max: MAX_KEY }), fc.integer({ min: 0, max: 3000 }))
  .map(([from, length]) => ({ from, to: Math.min(MAX_KEY, from + length) }));
const ownerArbitrary = fc.constantFrom('u1', 'u2', null);

describe('range table', () => {
  it('covers all keys after any updates, and ignores stale ones', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(spanArbitrary, ownerArbitrary, fc.boolean()), { maxLength: 40 }),
        (steps) => {
          const table = new RangeTable();
          table.addService(SERVICE, 1);
          let revision = 1;
          for (const [span, owner, isStale] of steps) {
            revision += 1;
            const ranges = table.rangesOf(SERVICE);
            const current = ranges[findRange(ranges, span.from)];
            const expectedFence = isStale ? -1 : (current?.fence ?? 0);
            const update: RangeUpdate = { ...span, owner, former: null, expectedFence };
            const changes = table.update(SERVICE, [update], revision);
            expectCover(table);
            const fits = !isStale && current !== undefined && span.to <= current.to;
            expect(changes.length > 0).to.equal(fits);
            const after = table.rangesOf(SERVICE);
            const holder = after[findRange(after, span.from)];
            if (fits) {
              expect(holder).to.include({ owner, fence: revision });
            } else {
              expect(holder?.fence).to.equal(current?.fence);
            }
          }
        },
      ),
    );
  });

  /** Guards against keys without an owner for good after a decision was committed behind the removal of its service. */
  it('gives a service its ranges back after an update that came while it was away', () => {
    const table = new RangeTable();
    const whole = { from: 0, to: MAX_KEY, former: null };
    table.addService(SERVICE, 1);
    table.update(SERVICE, [{ ...whole, owner: 'u1', expectedFence: 0 }], 2);
    table.retireService(SERVICE, DEFAULT_RANGE_GRANTS, 3);
    expect(table.update(SERVICE, [{ ...whole, owner: 'u2', expectedFence: 2 }], 4)).to.deep.equal([]);
    table.addService(SERVICE, 5);
    expectCover(table);
    expect(table.rangesOf(SERVICE)[0]).to.include({ owner: 'u1', fence: 2 });
  });

  it('merges equal adjacent ranges, and only those', () => {
    const table = new RangeTable();
    table.addService(SERVICE, 1);
    const give = (from: number, to: number, owner: string): RangeUpdate => ({
      from,
      to,
      owner,
      former: null,
      expectedFence: 0,
    });
    table.update(SERVICE, [give(0, 99, 'u1'), give(100, 199, 'u1'), give(200, MAX_KEY, 'u2')], 2);
    expect(table.rangesOf(SERVICE).map(({ from, to, owner }) => [from, to, owner])).to.deep.equal([
      [0, 199, 'u1'],
      [200, MAX_KEY, 'u2'],
    ]);
  });

  it('returns changes from which a copy can be maintained', () => {
    const table = new RangeTable();
    const copy = new Map(
      table.addService(SERVICE, 1).map((change) => ['from' in change ? change.from : 0, change]),
    );
    const updates: RangeUpdate[] = [{ from: 10, to: 20, owner: 'u1', former: null, expectedFence: 0 }];
    for (const change of table.update(SERVICE, updates, 2)) {
      copy.set('from' in change ? change.from : 0, change);
    }
    const kept = [...copy.values()].flatMap((change) => (change.type === 'range' && change.record) || []);
    expect(kept.sort((one, other) => one.from - other.from)).to.deep.equal([...table.rangesOf(SERVICE)]);
  });
});
