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
    selection.selectOwnZone(0);
    expect(selection.current).to.equal(FAR);
    selection.connected(NEAR, 'b');
    selection.selectOwnZone(10);
    expect(selection.current).to.equal(NEAR);
    selection.connected(OTHER, 'b');
    selection.selectOwnZone(20);
    expect(selection.current).to.equal(NEAR);
  });

  it('skips a member that fails, and returns to it after a while', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.selectOwnZone(0);
    selection.skipSilent(100);
    selection.selectOwnZone(101);
    expect(selection.current).to.equal(OTHER);
    selection.selectOwnZone(5099);
    expect(selection.current).to.equal(OTHER);
    selection.selectOwnZone(5100);
    expect(selection.current).to.equal(NEAR);
  });

  it('returns soon to a member that had no quorum', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.selectOwnZone(0);
    selection.skipUnconfirmed(100);
    selection.selectOwnZone(599);
    expect(selection.current).to.equal(OTHER);
    selection.selectOwnZone(600);
    expect(selection.current).to.equal(NEAR);
  });

  it('returns immediately to a member that was lost and has reconnected', () => {
    const selection = members();
    selection.connected(NEAR, 'b');
    selection.selectOwnZone(0);
    selection.lost(NEAR);
    selection.skipSilent(100);
    selection.selectOwnZone(200);
    expect(selection.current).to.equal(OTHER);
    selection.connected(NEAR, 'b');
    selection.selectOwnZone(300);
    expect(selection.current).to.equal(NEAR);
  });

  it('uses the members in turn if none is in the own zone', () => {
    const selection = members(2);
    const used = [0, 1, 2].map((now) => {
      selection.selectOwnZone(now);
      const { current } = selection;
      selection.skipSilent(now);
      return current;
    });
    expect(used).to.deep.equal([OTHER, FAR, NEAR]);
  });

  it('keeps the current member when the list changes, if it is still listed', () => {
    const selection = members(1);
    selection.setVoters([OTHER, NEAR]);
    expect(selection.current).to.equal(NEAR);
    selection.setVoters([OTHER]);
    selection.setConfiguredMembers([FAR]);
    expect(selection.current).to.equal(OTHER);
  });

  it('accepts an empty list of members', () => {
    const selection = new ControlMembers([], 0, 'b');
    selection.selectOwnZone(0);
    selection.skipSilent(0);
    expect(selection.current).to.equal(undefined);
  });
});
