/** Zones are taken out of use and given back while everything else happens that may. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { SUSPENSIONS } from '../../src/dev/sim/faults/suspensions.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Seeds of one run; more by the environment variable `TERNMOUNT_SEEDS`. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 6);

/** In colombo the last owner in a zone that is in use is lost there: nobody may own its keys until a zone is given back. */
const LOST_OWNER_SEED = 35;

describe('evacuations of zones under faults', () => {
  for (const deployment of ['colombo', 'recife']) {
    it(`send nothing new to a zone that is out of use: ${deployment}`, () => {
      const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
      let evacuated = 0;
      for (const seed of [...Array.from({ length: SEEDS }, (_, index) => index + 1), LOST_OWNER_SEED]) {
        const faults = [...FAULT_KINDS, ...SUSPENSIONS];
        const simulation = new Simulation({
          seed,
          sizes,
          faults,
          evacuations: 2,
          sabotage: null,
          trace: null,
        });
        const { violations, operations } = simulation.run();
        expect(violations, `seed ${seed}`).to.deep.equal([]);
        evacuated += operations.get('zone taken out of use') ?? 0;
      }
      expect(evacuated).to.be.at.least(SEEDS);
    });
  }
});
