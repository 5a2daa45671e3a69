/** Which control member a router asks. */
import { expect } from 'chai';
import { ControlMembers } from '../../src/routing/control-members.js';

const FAR = '10.1.0.1:1';
const NEAR = '10.2.0.1:1';
const OTHER = '10.3.0.1:1';

function members(first = 0): ControlMembers {
  return new ControlMembers([FAR, NEAR, OTHER], first, 'b');
}

describe('control members of a router', () => {
  it('turn to one of the own zone once it is connected, and stay there', () => {
    const choice = members();
    choice.connected(FAR, 'a');
    choice.chooseNear(0);
    expect(choice.current).to.equal(FAR);
    choice.connected(NEAR, 'b');
    choice.chooseNear(10);
    expect(choice.current).to.equal(NEAR);
    choice.connected(OTHER, 'b');
    choice.chooseNear(20);
    expect(choice.current).to.equal(NEAR);
  });

  it('leave one that fails, and come back a while later', () => {
    const choice = members();
    choice.connected(NEAR, 'b');
    choice.chooseNear(0);
    choice.leaveSilent(100);
    choice.chooseNear(101);
    expect(choice.current).to.equal(OTHER);
    choice.chooseNear(5099);
    expect(choice.current).to.equal(OTHER);
    choice.chooseNear(5100);
    expect(choice.current).to.equal(NEAR);
  });

  it('come back soon to one that had no quorum', () => {
    const choice = members();
    choice.connected(NEAR, 'b');
    choice.chooseNear(0);
    choice.leaveUnconfirmed(100);
    choice.chooseNear(599);
    expect(choice.current).to.equal(OTHER);
    choice.chooseNear(600);
    expect(choice.current).to.equal(NEAR);
  });

  it('come back at once to one that was lost and is connected again', () => {
    const choice = members();
    choice.connected(NEAR, 'b');
    choice.chooseNear(0);
    choice.lost(NEAR);
    choice.leaveSilent(100);
    choice.chooseNear(200);
    expect(choice.current).to.equal(OTHER);
    choice.connected(NEAR, 'b');
    choice.chooseNear(300);
    expect(choice.current).to.equal(NEAR);
  });

  it('without one of the own zone are asked in turn', () => {
    const choice = members(2);
    const asked = [0, 1, 2].map((now) => {
      choice.chooseNear(now);
      const { current } = choice;
      choice.leaveSilent(now);
      return current;
    });
    expect(asked).to.deep.equal([OTHER, FAR, NEAR]);
  });

  it('keep the present one when others are named', () => {
    const choice = members(1);
    choice.learnVoters([OTHER, NEAR]);
    expect(choice.current).to.equal(NEAR);
    choice.learnVoters([OTHER]);
    choice.useSettings([FAR]);
    expect(choice.current).to.equal(OTHER);
  });

  it('may be none', () => {
    const choice = new ControlMembers([], 0, 'b');
    choice.chooseNear(0);
    choice.leaveSilent(0);
    expect(choice.current).to.equal(undefined);
  });
});
