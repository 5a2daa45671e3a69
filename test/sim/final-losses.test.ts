/** A lost disk while all other machines lose power: nothing that was acknowledged is lost, and all is served again. */
import { expect } from 'chai';
import { FINAL_LOSSES } from '../../src/dev/sim/faults/final-losses.js';
import type { SabotageName } from '../../src/dev/sim/sabotages.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation, type SimulationResult } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

const SEEDS = 8;

function simulate(deployment: string, seed: number, sabotage: SabotageName | null = null): SimulationResult {
  const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
  return new Simulation({ seed, sizes, faults: FINAL_LOSSES, sabotage, trace: null }).run();
}

describe('a lost disk while all others lose power', () => {
  for (const deployment of ['colombo', 'recife']) {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      it(`loses nothing that was acknowledged (${deployment}, seed ${seed})`, () => {
        const { violations, operations, faults } = simulate(deployment, seed);
        expect(violations).to.deep.equal([]);
        expect(operations).to.include.keys('change accepted', 'replica replaced');
        expect(faults).to.include.keys('folder-gone-and-power-off');
      });
    }
  }

  it('is noticed where writes are acknowledged before they are synced (sabotage)', () => {
    const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);
    const caught = seeds.some((seed) => simulate('colombo', seed, 'no-fsync').violations.length > 0);
    expect(caught).to.equal(true);
  });
});
