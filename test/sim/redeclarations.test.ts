/** A service with ranges of keys is taken away and brought back, in all ways and under all kinds of faults. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { RANGE_FAULTS } from '../../src/dev/sim/faults/range-faults.js';
import { SUSPENSIONS } from '../../src/dev/sim/faults/suspensions.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Number of seeds; the environment variable `TERNMOUNT_SEEDS` sets another, `TERNMOUNT_FIRST_SEED` the first. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 6);
const FIRST_SEED = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);

describe('a service with ranges that goes and comes back', () => {
  for (const [name, faults] of [
    ['without faults', []],
    ['under faults of its servers', RANGE_FAULTS],
    ['under all faults', [...FAULT_KINDS, ...SUSPENSIONS, ...RANGE_FAULTS]],
  ] as const) {
    it(`has one holder a key, and serves all keys in the end, ${name}`, () => {
      const sizes = shrinkDeployment(loadDeployment('deployments/colombo.yaml'));
      let returns = 0;
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const options = { seed, sizes, faults, redeclarations: 2, sabotage: null, trace: null };
        const { violations, operations } = new Simulation(options).run();
        expect(violations, `seed ${seed}`).to.deep.equal([]);
        expect(operations.get('holders of a range looked at') ?? 0).to.be.above(0);
        returns += operations.get('service with ranges brought back') ?? 0;
      }
      expect(returns).to.be.at.least(SEEDS);
    });
  }
});
