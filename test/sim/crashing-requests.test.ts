/**
 * What users saw: upstreams of one service ended one after the other, fourteen in eight seconds, each back some three seconds
 * later; one in ten reads wasn't served. In order: one request came, the upstream that began to run it crashed, the router told its
 * caller 502 after a second try on the next owner, which crashed too; the same request came again at another router, which knew nothing
 * of it. Cause: nothing but the work of a single arrival remembered what had become of a request, so every arrival at every router
 * began anew. Evidence: of the tries later than 3 s after the third crash most were first tries, from four routers, by
 * configurations confirmed less than 0.3 s before; no refusal had to do with the request itself.
 */
import { expect } from 'chai';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { Simulation, type SimulationResult } from '../../src/dev/sim/simulation.js';
import { loadDeployment } from '../../src/settings/deployment.js';

const SEEDS = 8;
const CRASHED = 'upstream crashed under a request';

function simulate(
  deployment: string,
  seed: number,
  faults = FAULT_KINDS,
  crashingRequests = 1,
): SimulationResult {
  const sizes = shrinkDeployment(loadDeployment(`deployments/${deployment}.yaml`));
  return new Simulation({ seed, sizes, faults, crashingRequests, sabotage: null, trace: null }).run();
}

describe('a request that crashes whoever runs it', () => {
  it('ends no more upstreams once it has ended three, and in-touch routers know', () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { violations, operations } = simulate('recife', seed, [], 2);
      expect(violations, `seed ${seed}`).to.deep.equal([]);
      expect(operations.get(CRASHED), `seed ${seed}`).to.be.at.least(3);
    }
  });
});
