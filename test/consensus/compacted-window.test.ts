/** A follower whose appends were lost while the leader compacted its log past them. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const VOTERS = ['a', 'b', 'c'];
/** An idle cluster sends about one heartbeat and one response per follower each 30 ms; a snapshot takes some more. */
const MAX_MESSAGES = 400;

/** Loses a full window of appends to one follower, then compacts the leader's log past the window. */
function loseWindow(): { cluster: TestCluster; leader: string; behind: string } {
  const cluster = new TestCluster(1, VOTERS);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(ELECTION_TIMEOUT_MILLIS);
  const leader = cluster.leader as string;
  const behind = VOTERS.find((voter) => voter !== leader) as string;
  cluster.cut([leader], [behind]);
  for (let number = 0; number < 40; number += 1) {
    cluster.propose(leader, `command ${number}`);
    cluster.runFor(2);
  }
  cluster.takeSnapshot(leader);
  cluster.runFor(5);
  cluster.heal();
  return { cluster, leader, behind };
}

describe('follower behind a log that was compacted within its window', () => {
  it('receives a snapshot and catches up', () => {
    const { cluster, leader, behind } = loseWindow();
    cluster.runFor(1000);
    expect(cluster.status(behind).commitIndex).to.equal(cluster.status(leader).commitIndex);
  });

  it('does not exchange messages with the leader endlessly', () => {
    const { cluster } = loseWindow();
    const before = cluster.sent.length;
    cluster.runFor(1000);
    expect(cluster.sent.length - before).to.be.below(MAX_MESSAGES);
  });
});
