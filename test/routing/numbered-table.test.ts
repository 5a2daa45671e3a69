/** Compares the numbered table with a `Map`. */
import { expect } from 'chai';
import fc from 'fast-check';
import { NumberedTable } from '../../src/routing/numbered-table.js';

const step = fc.record({
  add: fc.boolean(),
  number: fc.oneof(
    fc.nat(100),
    fc.nat(2 ** 40),
    fc.nat(20).map((multiple) => multiple * 64),
  ),
});

describe('numbered table', () => {
  it('behaves like a map', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
        const table = new NumberedTable<string>();
        const model = new Map<number, string>();
        for (const { add, number } of steps) {
          if (add) {
            table.set(number, `${number}`);
            model.set(number, `${number}`);
          } else {
            expect(table.delete(number)).to.equal(model.delete(number));
          }
          expect(table.size).to.equal(model.size);
          expect(table.get(number)).to.equal(model.get(number));
          expect(table.has(number)).to.equal(model.has(number));
        }
        expect(table.values().sort()).to.deep.equal([...model.values()].sort());
      }),
    );
  });
});
