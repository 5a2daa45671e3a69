/** Upstreams report constraints, without faults and under all kinds of faults. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { SUSPENSIONS } from '../../src/dev/sim/faults/suspensions.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Number of seeds; the environment variable `TERNMOUNT_SEEDS` sets another. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 4);
const FIRST_SEED = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);

describe('upstreams with constraints', () => {
  for (const deployment of ['colombo', 'recife']) {
    for (const [name, faults] of [
      ['without faults', []],
      ['under faults', [...FAULT_KINDS, ...SUSPENSIONS]],
    ] as const) {
      it(`receive no more than they report that they accept, ${name}: ${deployment}`, () => {
        const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
        let inNeed = 0;
        for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
          const options = { seed, sizes, faults, needs: 3, sabotage: null, trace: null };
          const { violations, operations } = new Simulation(options).run();
          expect(violations, `seed ${seed}`).to.deep.equal([]);
          inNeed += operations.get('upstream in need') ?? 0;
        }
        expect(inNeed).to.be.at.least(SEEDS);
      });
    }
  }
});
