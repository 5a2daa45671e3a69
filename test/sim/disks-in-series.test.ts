/** Disks of control members lost one after the other: nothing that was acknowledged is lost, and changes go on after each loss. */
import { expect } from 'chai';
import { DISK_LOSS_COUNTS, DISKS_IN_SERIES } from '../../src/dev/sim/faults/disks-in-series.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation, type SimulationResult } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

const SEEDS = 4;
const REPLACE_AFTER_MILLIS = 2000;
const FAULT_PHASE_MILLIS = 30_000;
const MIN_LOSSES = 4;

function simulate(deployment: string, seed: number): SimulationResult {
  const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
  return new Simulation({
    seed,
    sizes,
    faults: DISKS_IN_SERIES,
    replaceAfterMillis: REPLACE_AFTER_MILLIS,
    faultPhaseMillis: FAULT_PHASE_MILLIS,
    sabotage: null,
    trace: null,
  }).run();
}

function sumOf(operations: ReadonlyMap<string, number>, names: readonly string[]): number {
  return names.reduce((sum, name) => sum + (operations.get(name) ?? 0), 0);
}

describe('disks lost in series', () => {
  const seen = new Set<string>();

  for (const deployment of ['colombo', 'recife']) {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      it(`lose nothing that was acknowledged, and changes go on (${deployment}, seed ${seed})`, () => {
        const { violations, operations } = simulate(deployment, seed);
        expect(violations).to.deep.equal([]);
        const losses = sumOf(operations, [DISK_LOSS_COUNTS.alone, DISK_LOSS_COUNTS.others]);
        expect(losses).to.be.at.least(MIN_LOSSES);
        for (const name of operations.keys()) {
          seen.add(name);
        }
      });
    }
  }

  it('strike alone, with the power of all others, the leader, and directly after a vote', () => {
    expect([...seen]).to.include.members(Object.values(DISK_LOSS_COUNTS));
  });
});
