/**
 * The monotonic clock of a suspended machine continues where it stopped, so a lease that it holds seems valid although the others
 * waited until its end and granted its keys to another upstream. Each run keeps all promises under suspensions, alone and with other faults.
 */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { SUSPENSIONS } from '../../src/dev/sim/faults/suspensions.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

const SEEDS = 10;

describe('machines that are suspended', () => {
  for (const deployment of ['colombo', 'recife']) {
    const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
    // One test per seed: ten seeds take 32 s on a busy machine, and exceed the one-minute test timeout at twice as many processes as cores.
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      it(`keep every promise (${deployment}, seed ${seed})`, () => {
        const run = { seed, sizes, sabotage: null, trace: null };
        const { violations, faults } = new Simulation({ ...run, faults: SUSPENSIONS }).run();
        expect(violations, `seed ${seed}`).to.deep.equal([]);
        expect(faults.size, `seed ${seed}`).to.be.above(0);
        const mixed = new Simulation({ ...run, faults: [...FAULT_KINDS, ...SUSPENSIONS] }).run();
        expect(mixed.violations, `seed ${seed}, beside other faults`).to.deep.equal([]);
      });
    }
  }
});
