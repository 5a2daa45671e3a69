/** Requests that a leader can't carry out now aren't sent to that same leader, nor to one that has said that it leads no more. */
import { expect } from 'chai';
import { AdminError } from '../../src/control/admin/admin-error.js';
import { expectResponse } from '../../src/control/admin/responses.js';
import type { OperatorRequest } from '../../src/control/types.js';
import { addressOf, Cluster, SERVICE } from './cluster-harness.js';

const SETTLED_MILLIS = 2000;
const ELECTION_TIMEOUT_MILLIS = 300;
/** Time for an entry to reach the other members' disks with the next heartbeats. */
const REPLICATION_MILLIS = 200;
const READ = { type: 'get-declaration' } as const;

type Member = ReturnType<Cluster['leader']>;

function settledCluster(
  members: number,
  seed: number,
): { cluster: Cluster; leader: Member; others: Member[] } {
  const cluster = new Cluster({ members, seed });
  cluster.run(SETTLED_MILLIS);
  const leader = cluster.leader();
  return { cluster, leader, others: [...cluster.members.values()].filter(({ id }) => id !== leader.id) };
}

const CHANGE: OperatorRequest = {
  type: 'command',
  requestId: 'r1',
  actor: 'test',
  command: { type: 'service-apply', definition: SERVICE, expected: null },
  wait: false,
};

describe('a request that a leader cannot carry out now', () => {
  for (const seed of [1, 2, 3]) {
    it(`is answered as unavailable if it is a reading of entries that its hanging disk lacks: seed ${seed}`, () => {
      const { cluster, leader, others } = settledCluster(3, seed);
      cluster.holdDisk(leader);
      cluster.request(CHANGE, leader);
      cluster.run(REPLICATION_MILLIS);
      cluster.kill(others[0] as Member);
      cluster.run(4 * ELECTION_TIMEOUT_MILLIS);
      expect(cluster.leader()).to.equal(leader);
      const response = cluster.ask(READ, leader);
      expect(response).to.deep.equal({ type: 'unknown' });
      expect(() => expectResponse(response, 'declaration'))
        .to.throw(AdminError)
        .that.includes({ status: 503, adminCode: 'unavailable' });
      cluster.releaseDisk(leader);
      expect(cluster.ask(READ, leader)).to.have.property('type', 'declaration');
    });

    it(`names no leader if it is a change during a transfer of leadership: seed ${seed}`, () => {
      const { cluster, leader, others } = settledCluster(3, seed);
      const [target] = others as [Member];
      cluster.kill(target);
      cluster.run(REPLICATION_MILLIS);
      cluster.request({ type: 'transfer-leadership', to: target.id }, leader);
      const refused = [CHANGE, { type: 'add-learner', replica: 'm9', address: addressOf('m9') } as const];
      for (const request of refused) {
        expect(cluster.ask(request, leader)).to.deep.equal({ type: 'not-leader', leader: null });
      }
    });
  }
});
