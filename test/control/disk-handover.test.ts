/** A control leader whose disk hangs: what callers are answered and what is logged. */
import { expect } from 'chai';
import type { OperatorRequest } from '../../src/control/types.js';
import { Cluster, SERVICE } from './cluster-harness.js';

const SETTLED_MILLIS = 2000;
const ELECTION_TIMEOUT_MILLIS = 300;
const HANDOVER_MILLIS = 4 * ELECTION_TIMEOUT_MILLIS;

function applyOf(requestId: string, name: string): OperatorRequest {
  const command = { type: 'service-apply', definition: { ...SERVICE, name }, expected: null } as const;
  return { type: 'command', requestId, actor: 'test', command, wait: false };
}

describe('a control leader whose disk hangs', () => {
  for (const seed of [1, 2, 3]) {
    it(`hands over and logs it once; the change can be resent to the next leader: seed ${seed}`, () => {
      const cluster = new Cluster({ seed });
      cluster.run(SETTLED_MILLIS);
      const leader = cluster.leader();
      cluster.holdDisk(leader);
      const change = cluster.request(applyOf('r1', 'one'), leader);
      cluster.run(HANDOVER_MILLIS);
      const next = cluster.leader();
      expect(next.id).not.to.equal(leader.id);
      expect(cluster.answers.get(change)).to.deep.equal({ type: 'unknown' });
      const resent = cluster.ask(applyOf('r1', 'one'), next);
      expect(resent).to.have.nested.property('result.type', 'accepted');
      cluster.run(SETTLED_MILLIS);
      const lines = cluster.logs.filter(({ event }) => event === 'leadership-handed-over');
      expect(lines.map(({ member }) => member)).to.deep.equal([leader.id]);
      const { to, lastIndex, stableIndex, writeMillis } = lines[0]?.fields ?? {};
      expect(to).to.equal(next.id);
      expect(stableIndex).to.be.below(lastIndex as number);
      expect(writeMillis).to.be.within(2 * ELECTION_TIMEOUT_MILLIS, HANDOVER_MILLIS);
    });

    it(`sends readings at it to the next leader, and answers them again when its disk does: seed ${seed}`, () => {
      const cluster = new Cluster({ seed });
      cluster.run(SETTLED_MILLIS);
      const leader = cluster.leader();
      cluster.holdDisk(leader);
      cluster.request(applyOf('r1', 'one'), leader);
      cluster.run(HANDOVER_MILLIS);
      const next = cluster.leader();
      const address = next.core.status().membership.addresses[next.id];
      const read = { type: 'get-services' } as const;
      expect(cluster.ask(read, leader)).to.deep.equal({ type: 'not-leader', leader: address });
      cluster.releaseDisk(leader);
      cluster.run(SETTLED_MILLIS);
      expect(cluster.ask(read, leader)).to.have.property('type', 'services');
    });
  }
});
