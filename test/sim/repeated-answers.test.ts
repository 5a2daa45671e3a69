/** Upstreams give back the caller's id and send refusals a second time: none counts as the answer to another attempt of its request. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { LOST_PATHS } from '../../src/dev/sim/faults/lost-paths.js';
import { REPEATED_ANSWERS } from '../../src/dev/sim/faults/repeated-answers.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Number of seeds; the environment variable `TERNMOUNT_SEEDS` sets another. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 4);
const FIRST_SEED = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);

describe('refusals that are sent again', () => {
  for (const deployment of ['colombo', 'recife']) {
    const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
    for (const [name, faults, relays] of [
      ['alone', REPEATED_ANSWERS, false],
      ['beside other faults', [...FAULT_KINDS, ...REPEATED_ANSWERS], false],
      ['over relays', [...LOST_PATHS, ...REPEATED_ANSWERS], true],
    ] as const) {
      it(`make no promise of what ran, ${name}: ${deployment}`, () => {
        for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
          const options = { seed, sizes, faults, relays, sharedIds: true, sabotage: null, trace: null };
          const { violations } = new Simulation(options).run();
          expect(violations, `seed ${seed}`).to.deep.equal([]);
        }
      });
    }
  }
});
