/** Planned stops that end by a kill: work that takes longer than their grace time isn't cut off by it, but answered before. */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { KILLED_STOPS } from '../../src/dev/sim/faults/killed-stops.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Number of seeds; the environment variable `TERNMOUNT_SEEDS` sets another. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 2);
const FIRST_SEED = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
const LATE_CALLERS = 2;
/** What a stop does with work that doesn't end in time. */
const REFUSED_AT_ARRIVAL = 'refused stopping (not-run)';
const ANSWERED_AT_END = 'refused stopping (unknown)';
const KILLED = 'planned stop of a router ended by the kill';

/** Guards against requests that a stopping router starts and its kill cuts off. */
describe('planned stops that end by a kill', () => {
  for (const deployment of ['colombo', 'recife']) {
    const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));

    function simulate(seed: number, faults: typeof FAULT_KINDS): ReadonlyMap<string, number> {
      const options = { seed, sizes, faults, lateCallers: LATE_CALLERS, sabotage: null, trace: null };
      const { violations, operations } = new Simulation(options).run();
      expect(violations, `seed ${seed}`).to.deep.equal([]);
      return operations;
    }

    it(`cut off nothing and need no kill, alone: ${deployment}`, () => {
      const seen = new Set<string>();
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const operations = simulate(seed, KILLED_STOPS);
        expect(operations, `seed ${seed}`).to.not.include.keys(KILLED);
        for (const operation of operations.keys()) {
          seen.add(operation);
        }
      }
      expect(seen).to.include.keys(REFUSED_AT_ARRIVAL, ANSWERED_AT_END);
    });

    it(`cut off nothing beside other faults: ${deployment}`, () => {
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        simulate(seed, [...FAULT_KINDS, ...KILLED_STOPS]);
      }
    });
  }
});
