import { expect } from 'chai';
import { PROMISES } from '../../src/dev/checker/rule.js';
import { catchSabotage } from '../../src/dev/sim/catch-sabotage.js';
import { DISKS_IN_SERIES } from '../../src/dev/sim/faults/disks-in-series.js';
import { FAULT_KINDS } from '../../src/dev/sim/faults/fault-plan.js';
import { KILLED_STOPS } from '../../src/dev/sim/faults/killed-stops.js';
import { LOST_PATHS } from '../../src/dev/sim/faults/lost-paths.js';
import { RANGE_FAULTS } from '../../src/dev/sim/faults/range-faults.js';
import { REPEATED_ANSWERS } from '../../src/dev/sim/faults/repeated-answers.js';
import { SUSPENSIONS } from '../../src/dev/sim/faults/suspensions.js';
import { SABOTAGE_NAMES, SABOTAGES } from '../../src/dev/sim/sabotages.js';
import { shrinkDeployment } from '../../src/dev/sim/sim-sizes.js';
import { loadDeployment } from '../../src/settings/deployment.js';

/** Range of seeds within which each sabotage must be caught. */
const FIRST_SEED = 1;
const LAST_SEED = 40;

describe('sabotages of the simulated system', () => {
  const sizes = shrinkDeployment(loadDeployment('deployments/colombo.yaml'));

  for (const name of SABOTAGE_NAMES) {
    it(`${name} is caught`, () => {
      const caught = catchSabotage(name, sizes, FIRST_SEED, LAST_SEED);
      expect(caught?.promise).to.equal(SABOTAGES[name].promise);
    });
  }

  it('cover every promise', () => {
    const broken = SABOTAGE_NAMES.map((name) => SABOTAGES[name].promise);
    expect(broken).to.include.members([...PROMISES]);
  });

  it('name faults that exist', () => {
    const kinds: readonly string[] = [
      ...FAULT_KINDS,
      ...SUSPENSIONS,
      ...LOST_PATHS,
      ...RANGE_FAULTS,
      ...REPEATED_ANSWERS,
      ...KILLED_STOPS,
      ...DISKS_IN_SERIES,
    ].map((kind) => kind.name);
    for (const name of SABOTAGE_NAMES) {
      expect(kinds).to.include.members([...SABOTAGES[name].faults]);
    }
  });
});
