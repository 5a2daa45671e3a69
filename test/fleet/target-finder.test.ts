/** Who a fault of a fleet hits where its target is a role. */
import { expect } from 'chai';
import { TargetFinder, TargetNotFoundError } from '../../src/dev/fleet/faults/target-finder.js';
import type { Fleet } from '../../src/dev/fleet/fleet.js';

const OWN = 'items-1';
const SHARED = 'items-2';

/** A fleet in which `OWN` has a process of its own, whose shards have these owners, one list for each time they are read. */
function fleetWith(reads: readonly (readonly (string | null)[])[]): { fleet: Fleet; waits: number[] } {
  const left = [...reads];
  const waits: number[] = [];
  const upstreamOf = (id: string): object => ({ id, keyed: true });
  const fleet = {
    admin: {
      shards: async () => {
        const owners = (left.length > 1 ? left.shift() : left[0]) ?? [];
        return owners.map((owner) => ({ owner }));
      },
    },
    plan: {
      upstreams: [
        { name: 'own', upstreams: [upstreamOf(OWN)] },
        { name: 'shared', upstreams: [upstreamOf(SHARED), upstreamOf('items-3')] },
      ],
    },
    supervisor: { isRunning: () => true },
    wait: async (millis: number) => void waits.push(millis),
  };
  return { fleet: fleet as unknown as Fleet, waits };
}

describe('the owner that a fault hits', () => {
  it('is the one with a process of its own', async () => {
    const { fleet, waits } = fleetWith([[SHARED, SHARED, OWN]]);
    expect(await new TargetFinder(fleet).owner()).to.equal(OWN);
    expect(waits).to.deep.equal([]);
  });

  // Guards against faults without target where the upstream with a process of its own owns nothing for a moment.
  it('is waited for while others own all shards', async () => {
    const { fleet, waits } = fleetWith([
      [SHARED, SHARED],
      [SHARED, null],
      [SHARED, OWN],
    ]);
    expect(await new TargetFinder(fleet).owner()).to.equal(OWN);
    expect(waits).to.have.length(2);
  });

  // Guards against reports that don't say who owned what.
  it('is reported as missing after a time, with what was seen', async () => {
    const { fleet } = fleetWith([[SHARED, SHARED, null]]);
    const failure = await new TargetFinder(fleet).owner().catch((thrown: unknown) => thrown);
    expect(failure).to.be.instanceOf(TargetNotFoundError);
    const { message } = failure as TargetNotFoundError;
    expect(message).to.include(`process of their own: ${OWN}; shards by owner: ${SHARED}: 2, none: 1`);
  });
});
