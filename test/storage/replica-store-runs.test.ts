/** Random runs of the data folder with a power loss at any operation. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { PersistRequest } from '../../src/consensus/types.js';
import { newDisk, open, plain } from './store-fixture.js';
import { mapStates, RequestMaker, type Step } from './written-state.js';

const stepArbitrary = fc.constantFrom<Step>('append', 'truncate', 'vote', 'snapshot', 'install', 'batch');

describe('data folder in random runs', () => {
  it('holds everything acknowledged and a prefix of the remaining writes after a power loss', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 1, maxLength: 25 }),
        fc.nat(120),
        fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
        async (steps, operations, shares) => {
          const files = await newDisk();
          const { store } = await open(files);
          const maker = new RequestMaker(0, 0);
          const acknowledged: PersistRequest[] = [];
          let last: PersistRequest[] = [];
          files.losePowerAfter(operations);
          try {
            for (const step of steps) {
              last = maker.make(step);
              await store.persist(last);
              acknowledged.push(...last);
              last = [];
            }
          } catch (thrown) {
            expect((thrown as Error).message).to.equal('the power is off');
          }
          files.restart(() => shares.next().value as number);
          const { restored } = await open(files);
          const isAllowed = [...mapStates(acknowledged, last, restored)].includes(true);
          expect(isAllowed, JSON.stringify(plain(restored))).to.equal(true);
        },
      ),
      { seed: 71, numRuns: 400 },
    );
  });
});
