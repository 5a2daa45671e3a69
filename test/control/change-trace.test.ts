/** A manual change logs one record at each member that it reaches, with the time of each phase or the leader that the member assumed. */
import { expect } from 'chai';
import { DEFAULT_CONFIG_LEASE_TIMINGS } from '../../src/control/messages.js';
import { EVENTS } from '../../src/logging/events.js';
import type { LogFields } from '../../src/logging/logger.js';
import { Cluster, SERVICE } from './cluster-harness.js';

const ELECTION_TIMEOUT_MILLIS = 300;
/** In the harness, a message and a write take 1 ms each. */
const COMMIT_MILLIS = 4;

function startCluster(): Cluster {
  const cluster = new Cluster();
  cluster.runUntil(() => cluster.leader() !== undefined, 5000);
  cluster.run(100);
  return cluster;
}

function declaration(version: number, expected = version - 1) {
  const change = {
    type: 'declaration-apply',
    version,
    expected,
    extent: 'whole',
    routes: [],
    services: [],
    limits: null,
    removedRoutes: [],
    removedServices: [],
  } as const;
  return { type: 'declare', actor: 'test', change } as const;
}

function records(cluster: Cluster): { readonly member: string; readonly fields: LogFields }[] {
  return cluster.logs.filter(({ event }) => event === 'change-settled');
}

describe('the record of a manual change', () => {
  it('contains the time of the commit, and no time for other phases', () => {
    const cluster = startCluster();
    const leader = cluster.leader();
    const answer = cluster.ask(declaration(1));
    const [record, ...others] = records(cluster);
    expect(others).to.deep.equal([]);
    expect(record?.member).to.equal(leader.id);
    const { revision, committedMillis, ...fields } = record?.fields ?? {};
    expect(fields).to.deep.equal({
      subject: 'version 1 on 0',
      outcome: 'accepted',
      role: 'leader',
      term: leader.core.status().term,
      leader: leader.id,
      appliedMillis: 0,
      answeredMillis: 0,
    });
    expect(committedMillis).to.be.within(1, COMMIT_MILLIS);
    expect(answer).to.deep.include({ result: { type: 'accepted', revision } });
  });

  it('has exactly the fields of the event table', () => {
    const cluster = startCluster();
    cluster.ask(declaration(1));
    expect(Object.keys(records(cluster)[0]?.fields ?? {})).to.have.members([
      ...(EVENTS['change-settled']?.fields ?? []),
    ]);
  });

  it('contains the reason for a rejection', () => {
    const cluster = startCluster();
    cluster.ask(declaration(1));
    cluster.ask(declaration(2, 0));
    expect(records(cluster)[1]?.fields).to.include({
      subject: 'version 2 on 0',
      outcome: 'conflict',
      revision: null,
    });
  });

  it('contains the leader that a follower assumed', () => {
    const cluster = startCluster();
    const leader = cluster.leader();
    const follower = [...cluster.members.values()].find(({ id }) => id !== leader.id);
    cluster.ask(declaration(1), follower);
    const [record] = records(cluster);
    expect(record?.member).to.equal(follower?.id);
    expect(record?.fields).to.include({
      outcome: 'not-leader',
      role: 'follower',
      leader: leader.id,
      committedMillis: null,
      appliedMillis: null,
      answeredMillis: 0,
    });
  });

  it('contains the wait for a commit that did not happen', () => {
    const cluster = startCluster();
    const leader = cluster.leader();
    for (const { id } of cluster.members.values()) {
      if (id !== leader.id) {
        cluster.cut.add(id);
      }
    }
    cluster.ask(declaration(1), leader);
    const [record] = records(cluster);
    expect(record?.fields).to.include({ outcome: 'unknown', leader: null, committedMillis: null });
    expect(record?.fields.answeredMillis).to.be.within(
      ELECTION_TIMEOUT_MILLIS / 2,
      ELECTION_TIMEOUT_MILLIS * 2,
    );
  });

  it('counts the wait for routers separately from the commit', () => {
    const cluster = startCluster();
    cluster.change({ type: 'service-apply', definition: SERVICE, expected: null }, true);
    const [record] = records(cluster);
    expect(record?.fields.committedMillis).to.be.within(1, COMMIT_MILLIS);
    expect(record?.fields.answeredMillis).to.be.at.least(DEFAULT_CONFIG_LEASE_TIMINGS.configLeaseMillis);
  });
});
