/** Replicas whose disks hang or are slow: who leads meanwhile, and what is committed. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const THREE = ['a', 'b', 'c'];
const FIVE = ['a', 'b', 'c', 'd', 'e'];
const SEEDS = [1, 2, 3, 4, 5];
const PROPOSAL_MILLIS = 20;
/** Time within which the others go on without the leader's disk, in election timeouts. */
const HANDOVER_ELECTION_TIMEOUTS = 4;
const LONG_MILLIS = 20 * ELECTION_TIMEOUT_MILLIS;

interface World {
  readonly cluster: TestCluster;
  readonly leader: string;
  readonly followers: readonly string[];
}

function worldOf(seed: number, voters: readonly string[]): World {
  const cluster = new TestCluster(seed, voters);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
  const leader = cluster.leader as string;
  return { cluster, leader, followers: voters.filter((voter) => voter !== leader) };
}

/** Proposes at whoever leads, again and again; returns whether `isDone` became true in time. */
function proposeUntil(cluster: TestCluster, isDone: () => boolean, limitMillis: number): boolean {
  const end = cluster.now + limitMillis;
  while (!isDone() && cluster.now < end) {
    const { leader } = cluster;
    if (leader !== undefined) {
      cluster.propose(leader, `at ${cluster.now}`);
    }
    cluster.runFor(PROPOSAL_MILLIS);
  }
  return isDone();
}

function proposeFor(cluster: TestCluster, millis: number): void {
  proposeUntil(cluster, () => false, millis);
}

function terms(cluster: TestCluster): number[] {
  return cluster.names.filter((name) => cluster.isUp(name)).map((name) => cluster.status(name).term);
}

/** Whether the replica that leads now has applied an entry that was proposed to it. */
function servesChange(cluster: TestCluster): boolean {
  const { leader } = cluster;
  if (leader === undefined) {
    return false;
  }
  const id = cluster.propose(leader, 'asked');
  cluster.runFor(10 * PROPOSAL_MILLIS);
  const outcome = cluster.proposals.get(id);
  return outcome?.type === 'proposal-accepted' && cluster.machine(leader).index >= outcome.index;
}

function expectSameMachines(cluster: TestCluster): void {
  cluster.runFor(4 * ELECTION_TIMEOUT_MILLIS);
  const digests = cluster.names.map((name) => cluster.machine(name).digest);
  expect(new Set(digests).size, 'all replicas have the same state').to.equal(1);
}

describe('a leader whose disk hangs', () => {
  for (const voters of [THREE, FIVE]) {
    for (const seed of SEEDS) {
      it(`hands over to a voter that has synced, which commits changes: ${voters.length} voters, seed ${seed}`, () => {
        const { cluster, leader } = worldOf(seed, voters);
        cluster.holdDisk(leader);
        const isServed = proposeUntil(
          cluster,
          () => cluster.leader !== leader && servesChange(cluster),
          HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS,
        );
        expect(isServed).to.equal(true);
        const next = cluster.leader;
        const { term } = cluster.status(next as string);
        proposeFor(cluster, LONG_MILLIS);
        expect(cluster.leader, 'the next leader stays').to.equal(next);
        expect(cluster.status(next as string).term).to.equal(term);
        cluster.releaseDisk(leader);
        expectSameMachines(cluster);
      });
    }
  }

  it('hands over though only one change was proposed', () => {
    const { cluster, leader } = worldOf(6, THREE);
    cluster.holdDisk(leader);
    cluster.propose(leader, 'only');
    cluster.runFor(HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS);
    expect(cluster.leader).not.to.equal(leader);
    expect(servesChange(cluster)).to.equal(true);
  });

  it('loses no change that it had accepted', () => {
    const { cluster, leader } = worldOf(7, THREE);
    cluster.holdDisk(leader);
    const id = cluster.propose(leader, 'accepted');
    proposeFor(cluster, HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS);
    const outcome = cluster.proposals.get(id) as { index: number; term: number };
    const next = cluster.leader as string;
    expect(next).not.to.equal(leader);
    expect(cluster.disk(next).entryAt(outcome.index)?.term).to.equal(outcome.term);
    expect(cluster.machine(next).index).to.be.at.least(outcome.index);
  });

  for (const seed of SEEDS) {
    it(`hands over to a voter whose disk works, if that of another hangs too: seed ${seed}`, () => {
      const { cluster, leader, followers } = worldOf(seed, FIVE);
      const [hung] = followers as [string];
      cluster.holdDisk(hung);
      proposeFor(cluster, ELECTION_TIMEOUT_MILLIS);
      cluster.holdDisk(leader);
      proposeFor(cluster, HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS);
      expect([leader, hung]).not.to.include(cluster.leader);
      expect(servesChange(cluster)).to.equal(true);
    });

    it(`does not win the leadership back while its disk hangs, when the next leader is lost: seed ${seed}`, () => {
      const { cluster, leader } = worldOf(seed, FIVE);
      cluster.holdDisk(leader);
      proposeFor(cluster, HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS);
      const next = cluster.leader as string;
      expect(next).not.to.equal(leader);
      cluster.crash(next);
      const isServed = proposeUntil(
        cluster,
        () => cluster.leader !== undefined && servesChange(cluster),
        3 * HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS,
      );
      expect(isServed).to.equal(true);
      expect([leader, next]).not.to.include(cluster.leader);
    });

    it(`keeps leading if no quorum has shown that it can go on without it: seed ${seed}`, () => {
      const { cluster, leader, followers } = worldOf(seed, THREE);
      const { term } = cluster.status(leader);
      cluster.crash(followers[0] as string);
      cluster.holdDisk(leader);
      proposeFor(cluster, LONG_MILLIS);
      expect(cluster.leader).to.equal(leader);
      expect(terms(cluster)).to.deep.equal([term, term]);
      const readId = cluster.read(followers[1] as string);
      expect(cluster.runUntil(() => cluster.reads.has(readId), ELECTION_TIMEOUT_MILLIS)).to.equal(true);
      expect(cluster.reads.get(readId)?.type).to.equal('read-ready');
      cluster.releaseDisk(leader);
      expect(proposeUntil(cluster, () => servesChange(cluster), LONG_MILLIS)).to.equal(true);
    });

    it(`keeps leading through a hang of one election timeout: seed ${seed}`, () => {
      const { cluster, leader } = worldOf(seed, THREE);
      const { term } = cluster.status(leader);
      for (let hang = 0; hang < 5; hang += 1) {
        cluster.holdDisk(leader);
        proposeFor(cluster, ELECTION_TIMEOUT_MILLIS);
        cluster.releaseDisk(leader);
        proposeFor(cluster, ELECTION_TIMEOUT_MILLIS);
      }
      expect(cluster.leader).to.equal(leader);
      expect(terms(cluster)).to.deep.equal([term, term, term]);
      expectSameMachines(cluster);
    });
  }

  it('hands over during a joint change of voters, to a voter that stays', () => {
    for (const seed of SEEDS) {
      const { cluster, leader, followers } = worldOf(seed, THREE);
      const [first, leaving] = followers as [string, string];
      cluster.addReplica('d');
      const address = '127.0.0.1:d';
      cluster.input(leader, { type: 'add-learner', proposalId: cluster.allocateId(), replica: 'd', address });
      cluster.runFor(ELECTION_TIMEOUT_MILLIS);
      cluster.holdDisk(leader);
      const voters = [leader, first, 'd'];
      cluster.input(leader, { type: 'change-voters', proposalId: cluster.allocateId(), voters });
      proposeFor(cluster, HANDOVER_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_MILLIS);
      expect([leader, leaving], `seed ${seed}`).not.to.include(cluster.leader);
      expect(servesChange(cluster), `seed ${seed}`).to.equal(true);
      const { membership } = cluster.status(cluster.leader as string);
      expect(membership.voters, `seed ${seed}`).to.have.members(voters);
      expect(membership.outgoingVoters, `seed ${seed}`).to.deep.equal([]);
    }
  });

  it('changes nothing if it is the only voter, and goes on when its disk answers', () => {
    const { cluster, leader } = worldOf(8, ['a']);
    const { term } = cluster.status(leader);
    cluster.holdDisk(leader);
    proposeFor(cluster, LONG_MILLIS);
    expect(cluster.leader).to.equal(leader);
    cluster.releaseDisk(leader);
    expect(proposeUntil(cluster, () => servesChange(cluster), LONG_MILLIS)).to.equal(true);
    expect(terms(cluster)).to.deep.equal([term]);
  });
});

describe('disks of others', () => {
  for (const seed of SEEDS) {
    it(`a follower's that hangs changes nothing: seed ${seed}`, () => {
      const { cluster, leader, followers } = worldOf(seed, THREE);
      const { term } = cluster.status(leader);
      cluster.holdDisk(followers[0] as string);
      proposeFor(cluster, LONG_MILLIS);
      expect(servesChange(cluster)).to.equal(true);
      expect(cluster.leader).to.equal(leader);
      expect(terms(cluster)).to.deep.equal([term, term, term]);
      cluster.releaseDisk(followers[0] as string);
      expectSameMachines(cluster);
    });

    it(`all that hang at once do no harm, and service resumes when they answer: seed ${seed}`, () => {
      const { cluster } = worldOf(seed, THREE);
      const before = Math.max(...terms(cluster));
      for (const name of THREE) {
        cluster.holdDisk(name);
      }
      proposeFor(cluster, LONG_MILLIS);
      expect(Math.max(...terms(cluster))).to.equal(before);
      for (const name of THREE) {
        cluster.releaseDisk(name);
      }
      expect(proposeUntil(cluster, () => servesChange(cluster), LONG_MILLIS)).to.equal(true);
      expectSameMachines(cluster);
    });

    it(`all that hang one after the other cost at most one handover: seed ${seed}`, () => {
      const { cluster, leader, followers } = worldOf(seed, THREE);
      const before = Math.max(...terms(cluster));
      cluster.holdDisk(leader);
      cluster.propose(leader, 'synced by the others alone');
      cluster.runFor(ELECTION_TIMEOUT_MILLIS);
      for (const name of followers) {
        cluster.holdDisk(name);
      }
      cluster.runFor(LONG_MILLIS);
      expect(Math.max(...terms(cluster))).to.be.at.most(before + 1);
      for (const name of THREE) {
        cluster.releaseDisk(name);
      }
      expect(proposeUntil(cluster, () => servesChange(cluster), LONG_MILLIS)).to.equal(true);
      expectSameMachines(cluster);
    });

    it(`all that hang while no replica leads don't make terms race up: seed ${seed}`, () => {
      const { cluster, leader, followers } = worldOf(seed, THREE);
      const before = Math.max(...terms(cluster));
      for (const name of followers) {
        cluster.holdDisk(name);
      }
      cluster.crash(leader);
      cluster.runFor(2 * LONG_MILLIS);
      // A replica finds out that its disk hangs by the write of its own vote, and each may answer one vote of the other.
      expect(Math.max(...terms(cluster))).to.be.at.most(before + 2);
      for (const name of followers) {
        cluster.releaseDisk(name);
      }
      expect(proposeUntil(cluster, () => servesChange(cluster), LONG_MILLIS)).to.equal(true);
    });
  }
});

describe('slow disks', () => {
  for (const slow of ['that of the leader', 'all']) {
    for (const seed of SEEDS) {
      it(`a write that takes half an election timeout causes no handover: ${slow}, seed ${seed}`, () => {
        const { cluster, leader } = worldOf(seed, THREE);
        const { term } = cluster.status(leader);
        for (const name of slow === 'all' ? THREE : [leader]) {
          cluster.slowDisk(name, ELECTION_TIMEOUT_MILLIS / 2);
        }
        proposeFor(cluster, 2 * LONG_MILLIS);
        expect(cluster.leader).to.equal(leader);
        expect(terms(cluster)).to.deep.equal([term, term, term]);
        expectSameMachines(cluster);
      });
    }
  }
});
