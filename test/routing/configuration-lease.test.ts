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
  it('leaves a member that does not answer, also while syncs are asked for out of turn', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    const asked = new Set<string>();
    for (let now = 0; now <= 1000; now += 10) {
      // Requests that fail at a lost server ask for news again and again.
      lease.requestSync(now);
      const attempt = lease.takeSync(now);
      if (attempt !== undefined) {
        asked.add(attempt.to);
      }
    }
    expect([...asked]).to.deep.equal(MEMBERS);
  });

  it('asks again at once when the first member can be reached: what was sent before is lost', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    expect(lease.takeSync(0)?.to).to.equal(MEMBERS[0]);
    lease.memberConnected(MEMBERS[2] as string, 'far', 60);
    expect(lease.takeSync(60)?.to).to.equal(MEMBERS[2]);
    lease.memberConnected(MEMBERS[1] as string, 'far', 65);
    expect(lease.takeSync(65)).to.equal(undefined);
    expect(lease.takeSync(80)?.to).to.equal(MEMBERS[1]);
  });

  it('keeps to its member once something was confirmed, and asks again if that one owes an answer', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.takeSync(0);
    lease.answered(answer(0), 3, false, 5);
    lease.memberConnected(MEMBERS[1] as string, 'far', 10);
    expect(lease.takeSync(100)).to.equal(undefined);
    expect(lease.takeSync(400)?.to).to.equal(MEMBERS[0]);
    lease.memberConnected(MEMBERS[1] as string, 'far', 410);
    expect(lease.takeSync(430)).to.equal(undefined);
    lease.memberConnected(MEMBERS[0] as string, 'far', 440);
    expect(lease.takeSync(440)?.to).to.equal(MEMBERS[0]);
  });

  it('is over as much earlier as its machine was suspended, and asks at once', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.takeSync(0);
    lease.answered(answer(0), 3, false, 5);
    const { end } = lease;
    lease.suspended(1000, 100);
    expect(lease.end).to.equal(end - 1000);
    expect(lease.isValid(100)).to.equal(true);
    lease.suspended(1000, 110);
    expect(lease.isValid(110)).to.equal(false);
    expect(lease.takeSync(110)).not.to.equal(undefined);
  });

  it('is renewed by nothing that was asked before a suspension', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.takeSync(0);
    lease.suspended(5000, 10);
    lease.answered(answer(0), 3, false, 20);
    expect(lease.isValid(20)).to.equal(false);
    lease.takeSync(30);
    lease.answered(answer(30), 3, false, 40);
    expect(lease.isValid(40)).to.equal(true);
  });

  it('is owed nothing once the last of several requests was answered', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0);
    lease.takeSync(0);
    lease.requestSync(5);
    lease.takeSync(20);
    lease.answered(answer(0), 3, false, 25);
    lease.answered(answer(20), 3, false, 30);
    expect(lease.takeSync(420)?.to).to.equal(MEMBERS[0]);
    lease.requestSync(430);
    expect(lease.takeSync(440)?.to).to.equal(MEMBERS[0]);
  });

  it('asks whoever is connected next until something was confirmed, then the member of its zone', () => {
    const lease = new ConfigurationLease(MEMBERS, TIMINGS, 0, 'serve', 'near');
    lease.takeSync(0);
    lease.memberConnected(MEMBERS[0] as string, 'near', 10);
    expect(lease.takeSync(20)?.to).to.equal(MEMBERS[0]);
    lease.memberConnected(MEMBERS[1] as string, 'far', 40);
    expect(lease.takeSync(40)?.to).to.equal(MEMBERS[1]);
    lease.answered(answer(40), 3, false, 45);
    expect(lease.takeSync(440)?.to).to.equal(MEMBERS[0]);
  });
});
