/** Raft under random hangs of disks, crashes, cuts, lost disks and replacements, all under load. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, type ReplicaName, TestCluster } from './test-cluster.js';

const ROUNDS = 70;
const FROM = Number(process.env.SEED_FROM ?? 1);
const SEEDS = Number(process.env.SEED_COUNT ?? 40);

class World {
  readonly cluster: TestCluster;
  readonly dead = new Set<ReplicaName>();
  readonly held = new Set<ReplicaName>();
  #next = 1;
  acked = 0;

  constructor(seed: number) {
    const size = [3, 3, 5, 9][seed % 4] as number;
    const voters = Array.from({ length: size }, () => this.name());
    this.cluster = new TestCluster(seed, voters);
    const { cluster } = this;
    for (let spare = cluster.random(0, 2); spare > 0; spare -= 1) {
      cluster.addReplica(this.name());
    }
    cluster.network = {
      dropPerMille: seed % 2 === 0 ? 0 : cluster.random(0, 150),
      duplicatePerMille: cluster.random(0, 100),
      maxDelayMillis: seed % 2 === 0 ? 3 : cluster.random(2, 50),
    };
  }

  name(): ReplicaName {
    this.#next += 1;
    return `r${this.#next - 1}`;
  }

  get living(): ReplicaName[] {
    return this.cluster.names.filter((name) => !this.dead.has(name));
  }

  pick(): ReplicaName {
    const { living } = this;
    return living[this.cluster.random(0, living.length - 1)] as ReplicaName;
  }

  load(): void {
    const { cluster } = this;
    const target = cluster.leader ?? this.pick();
    for (let count = cluster.random(1, 10); count > 0; count -= 1) {
      cluster.propose(target, `command ${cluster.allocateId()}`);
    }
    const leading = this.living.filter(
      (name) => cluster.isUp(name) && cluster.status(name).role === 'leader',
    );
    for (const reader of [this.pick(), this.pick(), ...leading]) {
      if (cluster.isUp(reader)) {
        cluster.read(reader);
      }
    }
  }

  /** Loses the disk of a voter or spare, if fewer than half of the voters are lost then, in the memberships of all living replicas. */
  wipe(): void {
    const { cluster } = this;
    const name = this.pick();
    if (this.living.some((one) => !cluster.isUp(one)) || cluster.leader === undefined) {
      return;
    }
    const isBearable = this.living.every((one) => {
      const { voters, outgoingVoters } = cluster.status(one).membership;
      return [voters, outgoingVoters].every((half) => {
        const lost = half.filter((voter) => this.dead.has(voter) || voter === name).length;
        return lost === 0 || lost <= Math.floor((half.length - 1) / 2);
      });
    });
    if (isBearable) {
      cluster.crash(name);
      this.dead.add(name);
      this.held.delete(name);
      cluster.addReplica(this.name());
    }
  }

  repair(): void {
    const { cluster } = this;
    const { leader } = cluster;
    if (leader === undefined) {
      return;
    }
    const { membership } = cluster.status(leader);
    const proposalId = cluster.allocateId();
    const lost = membership.voters.find((voter) => this.dead.has(voter));
    const outsider = this.living.find((name) => !Object.hasOwn(membership.addresses, name));
    const spares = membership.learners.filter(
      (learner) => !this.dead.has(learner) || cluster.random(0, 9) === 0,
    );
    const gone = membership.learners.find((learner) => this.dead.has(learner));
    const spare = spares[cluster.random(0, Math.max(0, spares.length - 1))];
    if (spare !== undefined && (lost !== undefined || cluster.random(0, 3) === 0)) {
      const out = lost ?? (membership.voters[cluster.random(0, membership.voters.length - 1)] as ReplicaName);
      const voters = [...membership.voters.filter((voter) => voter !== out), spare];
      cluster.input(leader, { type: 'change-voters', proposalId, voters });
    } else if (outsider !== undefined) {
      cluster.input(leader, {
        type: 'add-learner',
        proposalId,
        replica: outsider,
        address: `127.0.0.1:${outsider}`,
      });
    } else if (gone !== undefined) {
      cluster.input(leader, { type: 'remove-learner', proposalId, replica: gone });
    }
  }

  hold(): void {
    const name = this.pick();
    this.cluster.holdDisk(name);
    this.held.add(name);
  }

  holdLeader(): void {
    const { leader } = this.cluster;
    if (leader !== undefined) {
      this.cluster.holdDisk(leader);
      this.held.add(leader);
      this.load();
      this.cluster.runFor(this.cluster.random(0, 4 * ELECTION_TIMEOUT_MILLIS));
      this.load();
    }
  }

  release(): void {
    for (const name of [...this.held]) {
      if (this.cluster.random(0, 1) === 0) {
        this.cluster.releaseDisk(name);
        this.held.delete(name);
      }
    }
  }

  /** Cuts the leader off, and asks it for readings while the others go on without it. */
  cutLeader(): void {
    const { cluster } = this;
    const { leader } = cluster;
    if (leader === undefined) {
      return;
    }
    cluster.cut(
      [leader],
      this.living.filter((name) => name !== leader),
    );
    for (let count = 0; count < 8; count += 1) {
      cluster.runFor(cluster.random(1, ELECTION_TIMEOUT_MILLIS));
      this.load();
    }
  }

  /** Cuts a leader off that has just asked another voter, or hands over because of its disk, so that it doesn't hear of its successor. */
  transferAndCut(): void {
    const { cluster } = this;
    const { leader } = cluster;
    if (leader === undefined) {
      return;
    }
    if (cluster.random(0, 1) === 0) {
      cluster.input(leader, { type: 'transfer', to: this.pick() });
    } else {
      cluster.holdDisk(leader);
      this.held.add(leader);
      this.load();
      const handovers = cluster.handovers.length;
      cluster.runUntil(() => cluster.handovers.length > handovers, 4 * ELECTION_TIMEOUT_MILLIS);
    }
    cluster.runFor(cluster.random(1, 12));
    cluster.cut(
      [leader],
      this.living.filter((name) => name !== leader),
    );
    for (let count = 0; count < 10; count += 1) {
      cluster.runFor(cluster.random(1, 20));
      this.load();
    }
  }

  pauseLeader(): void {
    const { cluster } = this;
    const { leader } = cluster;
    if (leader === undefined) {
      return;
    }
    cluster.pause(leader);
    cluster.runFor(cluster.random(1, 5 * ELECTION_TIMEOUT_MILLIS));
    this.load();
    cluster.runFor(cluster.random(1, 100));
    cluster.resume(leader);
    this.load();
  }

  crashOrStart(): void {
    const { cluster } = this;
    const name = this.pick();
    if (cluster.isUp(name)) {
      cluster.crash(name);
    } else {
      cluster.start(name);
    }
  }

  startAll(): void {
    for (const name of this.living) {
      if (!this.cluster.isUp(name)) {
        this.cluster.start(name);
      }
    }
  }

  act(): void {
    const { cluster } = this;
    const actions: readonly (() => void)[] = [
      () => this.load(),
      () => this.load(),
      () => this.load(),
      () => this.load(),
      () => this.hold(),
      () => this.holdLeader(),
      () => this.holdLeader(),
      () => this.release(),
      () => this.release(),
      () => this.crashOrStart(),
      () => this.startAll(),
      () =>
        cluster.cut(
          [this.pick()],
          this.living.filter(() => cluster.random(0, 1) === 0),
        ),
      () => this.cutLeader(),
      () => this.transferAndCut(),
      () => this.transferAndCut(),
      () => this.pauseLeader(),
      () => cluster.heal(),
      () => cluster.heal(),
      () => this.wipe(),
      () => this.wipe(),
      () => this.wipe(),
      () => this.repair(),
      () => this.repair(),
      () => this.repair(),
      () => this.repair(),
      () => {
        const name = this.pick();
        if (cluster.isUp(name)) cluster.takeSnapshot(name);
      },
      () => {
        const name = this.pick();
        cluster.slowDisk(name, cluster.random(1, 3 * ELECTION_TIMEOUT_MILLIS));
      },
      () => {
        cluster.slowDisk(this.pick(), 2);
      },
      () => {
        if (cluster.leader !== undefined)
          cluster.input(cluster.leader, { type: 'transfer', to: this.pick() });
      },
    ];
    (actions[cluster.random(0, actions.length - 1)] as () => void)();
  }

  converge(): void {
    const { cluster } = this;
    cluster.network = { dropPerMille: 0, duplicatePerMille: 0, maxDelayMillis: 2 };
    cluster.heal();
    this.startAll();
    for (const name of this.living) {
      cluster.releaseDisk(name);
      cluster.slowDisk(name, 2);
    }
    const done = cluster.runUntil(() => {
      const { leader } = cluster;
      if (leader === undefined) {
        return false;
      }
      const { membership, commitIndex, lastIndex, term } = cluster.status(leader);
      const members = [...membership.voters, ...membership.learners].filter((name) => !this.dead.has(name));
      return (
        commitIndex === lastIndex &&
        cluster.disk(leader).load().hardState.term === term &&
        commitIndex >= cluster.checker.maxApplied &&
        membership.outgoingVoters.length === 0 &&
        members.every((member) => cluster.machine(member).index === commitIndex)
      );
    }, 20_000);
    const states = this.living.map((name) => {
      const { role, term, lastIndex, commitIndex, membership } = cluster.status(name);
      return { name, role, term, lastIndex, commitIndex, membership };
    });
    expect(done, JSON.stringify({ dead: [...this.dead], states }, null, 1)).to.equal(true);
  }
}

describe('replicas under random hangs of disks, crashes, cuts, lost disks and replacements', () => {
  it('is safe and converges', function () {
    this.timeout(0);
    const failed: string[] = [];
    for (let seed = FROM; seed < FROM + SEEDS; seed += 1) {
      const world = new World(seed);
      try {
        for (let round = 0; round < ROUNDS; round += 1) {
          world.act();
          world.cluster.runFor(world.cluster.random(1, 250));
        }
        world.converge();
      } catch (error) {
        failed.push(`seed ${seed}: ${String(error).slice(0, 1500)}`);
      }
    }
    expect(failed.slice(0, 3).join('\n')).to.equal('');
  });
});
