import { expect } from 'chai';
import { type ReplicaName, TestCluster } from './test-cluster.js';

const ROUNDS = 60;
/** `TERNMOUNT_RAFT_SEEDS` sets the number of seeds. */
const SEEDS = Number(process.env.TERNMOUNT_RAFT_SEEDS ?? 40);

type Action = (cluster: TestCluster, name: ReplicaName) => void;

/** Actions of clients, operators and the environment; listing an action twice makes it twice as likely. */
const ACTIONS: readonly Action[] = [
  proposeAndRead,
  proposeAndRead,
  proposeAndRead,
  proposeAndRead,
  proposeAndRead,
  crashOrStart,
  partitionRandomly,
  (cluster) => cluster.heal(),
  (cluster) => cluster.heal(),
  (cluster, name) => cluster.isUp(name) && cluster.pause(name),
  resumeAll,
  (cluster, name) => cluster.isUp(name) && cluster.takeSnapshot(name),
  changeMembership,
  transferLeadership,
];

function runRandomAction(cluster: TestCluster): void {
  const { names } = cluster;
  const name = names[cluster.random(0, names.length - 1)] as ReplicaName;
  const chosen = ACTIONS[cluster.random(0, ACTIONS.length - 1)] as Action;
  chosen(cluster, name);
}

function crashOrStart(cluster: TestCluster, name: ReplicaName): void {
  if (cluster.isUp(name)) {
    cluster.crash(name);
  } else {
    cluster.start(name);
  }
}

function partitionRandomly(cluster: TestCluster, name: ReplicaName): void {
  const others = cluster.names.filter((other) => other !== name && cluster.random(0, 1) === 0);
  cluster.cut([name], others);
}

function transferLeadership(cluster: TestCluster, name: ReplicaName): void {
  if (cluster.leader !== undefined) {
    cluster.input(cluster.leader, { type: 'transfer', to: name });
  }
}

function proposeAndRead(cluster: TestCluster, name: ReplicaName): void {
  const target = cluster.leader ?? name;
  for (let count = cluster.random(1, 12); count > 0; count -= 1) {
    cluster.propose(target, `command ${cluster.allocateId()}`);
  }
  if (cluster.isUp(name)) {
    cluster.read(name);
  }
}

function changeMembership(cluster: TestCluster): void {
  const { leader } = cluster;
  if (leader === undefined) {
    return;
  }
  const { membership } = cluster.status(leader);
  const proposalId = cluster.allocateId();
  const outsider = cluster.names.find((name) => !Object.hasOwn(membership.addresses, name));
  if (outsider !== undefined) {
    cluster.input(leader, { type: 'add-learner', proposalId, replica: outsider, address: '127.0.0.1:1' });
    return;
  }
  const candidates = [...membership.voters, ...membership.learners];
  const dropped = candidates[cluster.random(0, candidates.length - 1)];
  const voters = candidates.filter((name) => name !== dropped);
  cluster.input(leader, { type: 'change-voters', proposalId, voters });
}

function resumeAll(cluster: TestCluster): void {
  for (const name of cluster.names) {
    cluster.resume(name);
  }
}

/** Ends all faults and expects every member of the leader's membership to apply all committed entries. */
function expectConvergence(cluster: TestCluster): void {
  cluster.network = { dropPerMille: 0, duplicatePerMille: 0, maxDelayMillis: 2 };
  cluster.heal();
  resumeAll(cluster);
  for (const name of cluster.names.filter((candidate) => !cluster.isUp(candidate))) {
    cluster.start(name);
  }
  const applied = cluster.runUntil(() => {
    const { leader } = cluster;
    if (leader === undefined) {
      return false;
    }
    const { membership, commitIndex, lastIndex } = cluster.status(leader);
    const members = [...membership.voters, ...membership.learners];
    const committed = commitIndex === lastIndex && membership.outgoingVoters.length === 0;
    return committed && members.every((member) => cluster.machine(member).index === commitIndex);
  });
  expect(applied, 'cluster converges once faults end').to.equal(true);
}

/** Log Matching: logs that share an entry with the same index and term have the same terms before it. */
function expectLogsMatch(cluster: TestCluster): void {
  const logs = cluster.names.map((name) => cluster.disk(name).load().entries);
  for (const log of logs) {
    for (const other of logs) {
      const termsOfOther = new Map(other.map((entry) => [entry.index, entry.term]));
      const shared = log.filter((entry) => termsOfOther.has(entry.index));
      const lastEqual = shared.findLastIndex((entry) => termsOfOther.get(entry.index) === entry.term);
      const before = shared.slice(0, lastEqual + 1);
      expect(before.every((entry) => termsOfOther.get(entry.index) === entry.term)).to.equal(true);
    }
  }
}

describe('raft under random faults', () => {
  it('elects one leader per term, applies the same entries on every replica, serves linearizable reads', function () {
    this.timeout(0);
    let reads = 0;
    let applied = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      try {
        const cluster = new TestCluster(seed, ['a', 'b', 'c']);
        cluster.addReplica('d');
        cluster.addReplica('e');
        cluster.network = {
          dropPerMille: cluster.random(0, 200),
          duplicatePerMille: cluster.random(0, 100),
          maxDelayMillis: cluster.random(2, 60),
        };
        for (let round = 0; round < ROUNDS; round += 1) {
          runRandomAction(cluster);
          cluster.runFor(cluster.random(1, 250));
          expectLogsMatch(cluster);
        }
        expectConvergence(cluster);
        expectLogsMatch(cluster);
        reads += cluster.checker.readsAnswered;
        applied += cluster.checker.maxApplied;
      } catch (error) {
        throw new Error(`seed ${seed}`, { cause: error });
      }
    }
    expect(reads, 'the runs answered reads').to.be.above(SEEDS);
    expect(applied, 'the runs applied entries').to.be.above(SEEDS * 10);
  });
});
