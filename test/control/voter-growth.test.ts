/** Which spares become voters, and when. */
import { expect } from 'chai';
import type { Membership } from '../../src/consensus/types.js';
import { SECOND_SPARE_MILLIS, VoterGrowth } from '../../src/control/voter-growth.js';
import type { ReplicaId } from '../../src/model/identifiers.js';

const NOW = 5000;
const MAX_VOTERS = 5;

function membershipOf(voters: readonly ReplicaId[]): Membership {
  return { voters, outgoingVoters: [], learners: [], addresses: {} };
}

const SOLE = membershipOf(['m1']);

describe('the growth of a control cluster', () => {
  it('goes from one voter to three at once, and then on by one', () => {
    const growth = new VoterGrowth(MAX_VOTERS);
    expect(growth.next(SOLE, ['m2', 'm3', 'm4'], NOW)).to.deep.equal(['m2', 'm3']);
    expect(growth.next(membershipOf(['m1', 'm2', 'm3']), ['m4', 'm5'], NOW)).to.deep.equal(['m4']);
    expect(growth.next(membershipOf(['m1', 'm2', 'm3', 'm4', 'm5']), ['m6'], NOW)).to.deep.equal([]);
  });

  it('waits for a second spare, but not for ever', () => {
    const growth = new VoterGrowth(MAX_VOTERS);
    expect(growth.next(SOLE, ['m2'], NOW)).to.deep.equal([]);
    expect(growth.next(SOLE, ['m2'], NOW + SECOND_SPARE_MILLIS - 1)).to.deep.equal([]);
    expect(growth.next(SOLE, ['m2'], NOW + SECOND_SPARE_MILLIS)).to.deep.equal(['m2']);
    expect(growth.next(membershipOf(['m1', 'm2']), ['m3'], NOW)).to.deep.equal(['m3']);
  });

  it('counts the wait anew once no spare is left, or the leader changed', () => {
    const growth = new VoterGrowth(MAX_VOTERS);
    const overdue = NOW + SECOND_SPARE_MILLIS;
    growth.next(SOLE, ['m2'], NOW);
    growth.next(SOLE, [], NOW + 1);
    expect(growth.next(SOLE, ['m2'], overdue)).to.deep.equal([]);
    growth.onRoleChange();
    expect(growth.next(SOLE, ['m2'], overdue + SECOND_SPARE_MILLIS)).to.deep.equal([]);
  });

  it('never passes the number of voters that is asked for', () => {
    expect(new VoterGrowth(0).next(SOLE, ['m2', 'm3'], NOW)).to.deep.equal([]);
    expect(new VoterGrowth(1).next(SOLE, ['m2', 'm3'], NOW)).to.deep.equal([]);
    expect(new VoterGrowth(2).next(SOLE, ['m2', 'm3'], NOW)).to.deep.equal(['m2']);
  });
});
