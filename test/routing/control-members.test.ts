/** The selection of the control member that a router syncs with. */
import { expect } from 'chai';
import { ControlMembers } from '../../src/routing/control-members.js';

const FAR = '10.1.0.1:1';
const NEAR = '10.2.0.1:1';
const OTHER = '10.3.0.1:1';

function members(first = 0): ControlMembers {
  return new ControlMembers([FAR, NEAR, OTHER], first, 'b');
}

describe('control member selection of a router', () => {
  it('prefers a member of the own zone once it is connected, and keeps it', () => {
    const selection = members();
    selection.connected(FAR, 'a');
    selection.chooseNear(0);
    expect(selection.current).to.equal(FAR);
    selection.connected(NEAR, 'b');
    selection.chooseNear(10);
    expect(selection.current).to.equal(NEAR);
    selection.connected(OTHER, 'b');
    selection.chooseNear(20);
    expect(selection.current).to.equal(NEAR);
  });

  it('skips a member that fails, and returns to it after a while', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.chooseNear(0);
    selection.leaveSilent(100);
    selection.chooseNear(101);
    expect(selection.current).to.equal(OTHER);
    selection.chooseNear(5099);
    expect(selection.current).to.equal(OTHER);
    selection.chooseNear(5100);
    expect(selection.current).to.equal(NEAR);
  });

  it('returns soon to a member that had no quorum', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.chooseNear(0);
    selection.leaveUnconfirmed(100);
    selection.chooseNear(599);
    expect(selection.current).to.equal(OTHER);
    selection.chooseNear(600);
    expect(selection.current).to.equal(NEAR);
  });

  it('returns immediately to a member that was lost and has reconnected', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.chooseNear(0);
    selection.lost(NEAR);
    selection.leaveSilent(100);
    selection.chooseNear(200);
    expect(selection.current).to.equal(OTHER);
    selection.connected(NEAR, 'b');
    selection.chooseNear(300);
    expect(selection.current).to.equal(NEAR);
  });

  it('uses the members in turn if none is in the own zone', () => {
    const selection = members(2);
    const used = [0, 1, 2].map((now) => {
      selection.chooseNear(now);
      const { current } = selection;
      selection.leaveSilent(now);
      return current;
    });
    expect(used).to.deep.equal([OTHER, FAR, NEAR]);
  });

  it('keeps the current member when the list changes, if it is still listed', () => {
    const selection = members(1);
    selection.learnVoters([OTHER, NEAR]);
    expect(selection.current).to.equal(NEAR);
    selection.learnVoters([OTHER]);
    selection.useSettings([FAR]);
    expect(selection.current).to.equal(OTHER);
  });

  it('accepts an empty list of members', () => {
    const selection = new ControlMembers([], 0, 'b');
    selection.chooseNear(0);
    selection.leaveSilent(0);
    expect(selection.current).to.equal(undefined);
  });
});
