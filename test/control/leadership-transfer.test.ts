/** A transfer of leadership without a named target goes to a voter that can take it over. */
import { expect } from 'chai';
import { Cluster } from './cluster-harness.js';

const SETTLED_MILLIS = 2000;
/** Silence after which a lost voter is known to be silent: several heartbeats, and less than the time for a replacement. */
const SILENT_MILLIS = 400;
/** An election of a voter that is asked to begin one takes some messages of 1 ms. */
const ELECTION_MILLIS = 50;
const ELECTION_TIMEOUT_MILLIS = 300;

/** Loses voters, given by their position among the others; returns the time from a request `silentMillis` later to the next leader. */
function transferMillis(
  members: number,
  seed: number,
  lost: readonly number[],
  silentMillis: number,
): number {
  const cluster = new Cluster({ members, seed });
  cluster.run(SETTLED_MILLIS);
  const leader = cluster.leader();
  const others = [...cluster.members.values()].filter(({ id }) => id !== leader.id);
  for (const position of lost) {
    cluster.kill(others[position] as (typeof others)[number]);
  }
  cluster.run(silentMillis);
  expect(cluster.leader()).to.equal(leader);
  const startedAt = cluster.time;
  const response = cluster.ask({ type: 'transfer-leadership', to: null });
  expect(response).to.deep.equal({ type: 'done' });
  cluster.runUntil(() => cluster.leader() !== undefined, SETTLED_MILLIS);
  return cluster.time - startedAt;
}

describe('a transfer of leadership without a named target', () => {
  const LOST = [
    [3, [0]],
    [3, [1]],
    [5, [0, 1]],
    [5, [1, 3]],
    [5, [2, 3]],
  ] as const;

  for (const [members, lost] of LOST) {
    for (const seed of [1, 2]) {
      const which = `${lost.join(' and ')} of ${members - 1} others, seed ${seed}`;

      /** Guards against a transfer to a dead voter, during which the leader refuses changes until the stop's limit. */
      it(`goes to a voter that was heard, not to a silent one: ${which}`, () => {
        expect(transferMillis(members, seed, lost, SILENT_MILLIS)).to.be.at.most(ELECTION_MILLIS);
      });

      it(`goes to another voter if one that was heard a moment ago doesn't take it: ${which}`, () => {
        const attempts = lost.length + 1;
        const limitMillis = lost.length * ELECTION_TIMEOUT_MILLIS + attempts * ELECTION_MILLIS;
        expect(transferMillis(members, seed, lost, 0)).to.be.at.most(limitMillis);
      });
    }
  }
});
