/** Routers lose their paths to upstreams and use one another's, alone and beside other faults; every promise is kept. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { LOST_PATHS } from '../../src/dev/sim/faults/lost-paths.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 6);

describe('routers that lose their paths to upstreams', () => {
  for (const deployment of ['colombo', 'recife']) {
    const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      it(`keep every promise (${deployment}, seed ${seed})`, () => {
        const run = { seed, sizes, relays: true, sabotage: null, trace: null };
        const alone = new Simulation({ ...run, faults: LOST_PATHS }).run();
        expect(alone.violations, `seed ${seed}`).to.deep.equal([]);
        expect(alone.operations.get('router path-changed') ?? 0, `seed ${seed}`).to.be.above(0);
        const mixed = new Simulation({ ...run, faults: [...FAULT_KINDS, ...LOST_PATHS] }).run();
        expect(mixed.violations, `seed ${seed}, beside other faults`).to.deep.equal([]);
      });
    }
  }
});
