import { expect } from 'chai';
import { ConfigurationLease } from '../../src/routing/index.js';

const MEMBERS = ['127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'];
const TIMINGS = { configLeaseMillis: 1800, syncMillis: 400, clockRateError: 0.005 };

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
});
