import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation, type SimulationResult } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Number of seeds per deployment in CI; more are run manually, see docs/PROOF.md. */
const SEEDS = 12;
/** Operations that must occur in a run for its result to be meaningful. */
const EXPECTED_OPERATIONS = [
  'change accepted',
  'change accepted in force',
  'change conflict',
  'change resent',
  'shard granted',
  'shard given up',
  'ownership looked at',
];

function simulate(deployment: string, seed: number): SimulationResult {
  const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
  return new Simulation({ seed, sizes, faults: FAULT_KINDS, sabotage: null, trace: null }).run();
}

describe('the system under simulated faults', () => {
  for (const deployment of ['colombo', 'recife']) {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      it(`keeps every promise (${deployment}, seed ${seed})`, () => {
        const { violations, operations, faults } = simulate(deployment, seed);
        expect(violations).to.deep.equal([]);
        expect(operations).to.include.keys(...EXPECTED_OPERATIONS);
        expect(faults.size).to.be.above(0);
      });
    }
  }

  /** Seeds in which a key stayed unserved after the loss of its owner and the leader: docs/PROOF.md, "Runs". */
  for (const seed of [842, 1847]) {
    it(`serves keys again within 3 s of the loss of owner and leader (colombo, seed ${seed})`, () => {
      const { violations, faults } = simulate('colombo', seed);
      expect(violations).to.deep.equal([]);
      expect(faults).to.include.keys('owner-and-leader-lost');
    });
  }

  it('replays a seed to the same trace', () => {
    const first = simulate('colombo', 3);
    expect(simulate('colombo', 3).hash).to.equal(first.hash);
    expect(simulate('colombo', 4).hash).not.to.equal(first.hash);
  });
});
