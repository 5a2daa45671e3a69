import { expect } from 'chai';
import { ConfigurationLease } from '../../src/routing/index.js';

const MEMBERS = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'];
const TIMINGS = { configLeaseMillis: 1800, syncMillis: 400, clockRateError: 0.005 };

function answer(stamp: number) {
  return {
    type: 'sync-response' as const,
    stamp,
    confirmed: true,
    revision: 3,
    snapshot: null,
    delta: null,
    leader: null,
    members: [],
    turn: null,
  };
}

describe('configuration lease', () => {
  it('moves on from a member that does not answer, even while unscheduled syncs are requested', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    const used = new Set<string>();
    for (let now = 0; now <= 1000; now += 10) {
      // Requests that fail at a lost server request a sync repeatedly.
      lease.requestSync(now);
      const attempt = lease.startSync(now);
      if (attempt !== undefined) {
        used.add(attempt.to);
      }
    }
    expect([...used]).to.deep.equal(MEMBERS);
  });

  it('syncs again immediately with a member that has just connected, since earlier requests are lost', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    expect(lease.startSync(0)?.to).to.equal(MEMBERS[0]);
    lease.onMemberConnected(MEMBERS[2] as string, 'far', 60);
    expect(lease.startSync(60)?.to).to.equal(MEMBERS[2]);
    lease.onMemberConnected(MEMBERS[1] as string, 'far', 65);
    expect(lease.startSync(65)).to.equal(undefined);
    expect(lease.startSync(80)?.to).to.equal(MEMBERS[1]);
  });

  it('keeps its member after the first confirmed answer, and resends an unanswered request when that member reconnects', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.startSync(0);
    lease.answered(answer(0), 3, false, 5);
    lease.onMemberConnected(MEMBERS[1] as string, 'far', 10);
    expect(lease.startSync(100)).to.equal(undefined);
    expect(lease.startSync(400)?.to).to.equal(MEMBERS[0]);
    lease.onMemberConnected(MEMBERS[1] as string, 'far', 410);
    expect(lease.startSync(430)).to.equal(undefined);
    lease.onMemberConnected(MEMBERS[0] as string, 'far', 440);
    expect(lease.startSync(440)?.to).to.equal(MEMBERS[0]);
  });

  it('ends earlier by the time for which its machine was suspended, and syncs immediately', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.startSync(0);
    lease.answered(answer(0), 3, false, 5);
    const { end } = lease;
    lease.suspended(1000, 100);
    expect(lease.end).to.equal(end - 1000);
    expect(lease.isValid(100)).to.equal(true);
    lease.suspended(1000, 110);
    expect(lease.isValid(110)).to.equal(false);
    expect(lease.startSync(110)).not.to.equal(undefined);
  });

  it('is not renewed by answers to requests sent before a suspension', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.startSync(0);
    lease.suspended(5000, 10);
    lease.answered(answer(0), 3, false, 20);
    expect(lease.isValid(20)).to.equal(false);
    lease.startSync(30);
    lease.answered(answer(30), 3, false, 40);
    expect(lease.isValid(40)).to.equal(true);
  });

  it('has no outstanding request once the last of several requests is answered', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.startSync(0);
    lease.requestSync(5);
    lease.startSync(20);
    lease.answered(answer(0), 3, false, 25);
    lease.answered(answer(20), 3, false, 30);
    expect(lease.startSync(420)?.to).to.equal(MEMBERS[0]);
    lease.requestSync(430);
    expect(lease.startSync(440)?.to).to.equal(MEMBERS[0]);
  });

  it('syncs with the latest connected member until the first confirmed answer, then with the member of its zone', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0, 'serve', 'near');
    lease.startSync(0);
    lease.onMemberConnected(MEMBERS[0] as string, 'near', 10);
    expect(lease.startSync(20)?.to).to.equal(MEMBERS[0]);
    lease.onMemberConnected(MEMBERS[1] as string, 'far', 40);
    expect(lease.startSync(40)?.to).to.equal(MEMBERS[1]);
    lease.answered(answer(40), 3, false, 45);
    expect(lease.startSync(440)?.to).to.equal(MEMBERS[0]);
  });
});
