/** Updates from control members to routers that lack changes, and renewals of the routers' leases. */
import { expect } from 'chai';
import type { ControlToRouter, SyncRequest } from '../../src/control/messages.js';
import { type Cluster, startCluster, upstream } from './cluster-harness.js';

/** Longer than the time for which renewals are gathered plus a heartbeat. */
const RENEWED_MILLIS = 600;

function ask(cluster: Cluster, have: number, member = cluster.leader()): ControlToRouter['type'][] {
  const request: SyncRequest = {
    type: 'sync-request',
    router: 'r1',
    incarnation: 'i1',
    zone: 'a',
    stamp: cluster.time,
    have,
  };
  const before = cluster.routerMessages.length;
  cluster.routerMessage('c1', request, member);
  return cluster.routerMessages.slice(before).map(({ message }) => message.type);
}

/** The latest message of a type. */
function latest<Type extends ControlToRouter['type']>(cluster: Cluster, type: Type) {
  const found = cluster.routerMessages.findLast(({ message }) => message.type === type)?.message;
  return found as Extract<ControlToRouter, { type: Type }> | undefined;
}

describe('syncs of routers', () => {
  it('return the whole configuration, confirmed, to a router that has none', () => {
    const { cluster } = startCluster(3);
    ask(cluster, 0);
    cluster.run(100);
    const response = latest(cluster, 'sync-response');
    expect(response?.confirmed).to.equal(true);
    expect(response?.snapshot?.revision).to.equal(response?.revision);
  });

  it('return an update at once to a router that lacks changes, and the confirmation later', () => {
    const { cluster } = startCluster(3);
    ask(cluster, 0);
    cluster.run(100);
    const have = latest(cluster, 'sync-response')?.revision ?? 0;
    cluster.ask({
      type: 'command',
      requestId: 'q1',
      actor: 'test',
      wait: false,
      command: { type: 'upstream-apply', definition: upstream('u9'), expected: null },
    });
    expect(ask(cluster, have)).to.deep.equal(['sync-news']);
    expect(latest(cluster, 'sync-news')?.delta.from).to.equal(have);
    const stamp = cluster.time;
    cluster.run(RENEWED_MILLIS);
    expect(latest(cluster, 'sync-response')).to.include({ stamp, confirmed: true, snapshot: null });
  });

  /** Changes one upstream without a sync request. */
  function change(cluster: Cluster, id: string): void {
    cluster.ask({
      type: 'command',
      requestId: id,
      actor: 'test',
      wait: false,
      command: { type: 'upstream-apply', definition: upstream(id), expected: null },
    });
  }

  it('are not needed for changes, which are pushed to routers with all earlier ones', () => {
    const { cluster } = startCluster(3);
    ask(cluster, 0);
    cluster.run(100);
    const have = latest(cluster, 'sync-response')?.revision ?? 0;
    change(cluster, 'u9');
    cluster.run(40);
    const { delta } = latest(cluster, 'sync-news') ?? {};
    expect(delta?.from).to.equal(have);
    expect(delta?.changes.map(({ type }) => type)).to.include('upstream');
    change(cluster, 'u10');
    cluster.run(100);
    expect(latest(cluster, 'sync-news')?.delta.from).to.equal(delta?.to);
    expect(latest(cluster, 'change-notice')).to.equal(undefined);
  });

  it('are not needed for many changes at once, which are sent in batches', () => {
    const { cluster } = startCluster(3);
    ask(cluster, 0);
    cluster.run(200);
    const before = cluster.routerMessages.length;
    for (let number = 20; number < 60; number += 1) {
      change(cluster, `u${number}`);
      cluster.run(5);
    }
    cluster.run(100);
    const updates = cluster.routerMessages.slice(before);
    expect(updates.every(({ message }) => message.type === 'sync-news')).to.equal(true);
    expect(updates.length).to.be.within(2, 8);
    const changes = updates.flatMap(({ message }) =>
      message.type === 'sync-news' ? message.delta.changes : [],
    );
    expect(changes.filter(({ type }) => type === 'upstream')).to.have.length(40);
  });

  it('are not confirmed without a quorum', () => {
    const { cluster } = startCluster(3);
    ask(cluster, 0);
    cluster.run(100);
    const have = latest(cluster, 'sync-response')?.revision ?? 0;
    const leader = cluster.leader();
    cluster.cut.add(leader.id);
    ask(cluster, have, leader);
    cluster.run(RENEWED_MILLIS);
    expect(latest(cluster, 'sync-response')?.confirmed).to.equal(false);
  });
});
