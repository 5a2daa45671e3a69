/** A control member that is replaced as planned, as processes: the next member may be lost as soon as the old one is gone. */
import { expect } from 'chai';
import { ProcessCluster } from './process-cluster.js';

const NETWORKS = { follower: 126, leader: 127, restart: 128 } as const;
const VOTERS = [1, 2, 3];
const SPARE = 4;
const SETTINGS = { replaceAfter: '2s' };

describe('a control member replaced as planned, as processes', () => {
  const clusters: ProcessCluster[] = [];
  after(() => Promise.all(clusters.map((cluster) => cluster.close())));

  /** Starts three voters and a spare that has caught up; returns the numbers of the leader and of the followers. */
  async function start(cluster: ProcessCluster): Promise<{ leader: number; followers: number[] }> {
    clusters.push(cluster);
    const [first = 1, ...others] = VOTERS;
    const replicas = new Map([[await cluster.startMember(first, 'init', SETTINGS), first]]);
    for (const number of others) {
      const replica = await cluster.startMember(number, 'join', SETTINGS);
      replicas.set(replica, number);
      await cluster.operator('control', 'add', replica, '--address', `${cluster.host(number)}:8002`);
    }
    const service = { kind: 'service', name: 'menu', repeatable: true, keyed: false };
    await cluster.operator('service', 'apply', cluster.write('menu.yaml', service), '--no-wait');
    const peers = VOTERS.map((number) => `${cluster.host(number)}:8002`);
    const spare = await cluster.startMember(SPARE, 'join', { ...SETTINGS, peers });
    const leader = await cluster.until('a spare that holds everything', async () => {
      const status = await cluster.status(first);
      const { membership, leader: replica, commitIndex } = status?.raft ?? {};
      const spareIndex = (await cluster.status(SPARE))?.raft.commitIndex;
      const isSpare = membership?.learners.includes(spare) && spareIndex === commitIndex;
      return isSpare && replica ? replicas.get(replica) : undefined;
    });
    return { leader, followers: VOTERS.filter((number) => number !== leader) };
  }

  async function change(cluster: ProcessCluster): Promise<void> {
    const body = { id: 'menu-1', service: 'menu', address: '10.0.0.1:8000', zone: 'zone-1' };
    await cluster.client().change({ method: 'PUT', path: '/v1/upstreams/menu-1?wait=false', body });
  }

  // Guards against a vote that stays with a member that is gone for good: one more loss left no majority for good.
  for (const role of ['follower', 'leader'] as const) {
    it(`leaves a majority if the next one is lost right after the stop of a ${role}`, async () => {
      const cluster = new ProcessCluster(NETWORKS[role]);
      const { leader, followers } = await start(cluster);
      const [next = 1, last = 1] = followers;
      const old = role === 'leader' ? leader : last;
      expect(await cluster.end(`control-${old}`, 'SIGTERM')).to.equal(0);
      await cluster.end(`control-${next}`, 'SIGKILL');
      cluster.lose(`data-${next}`);
      await change(cluster);
    });
  }

  // Guards against a member that is removed by a plain restart and has no vote for ever.
  it('becomes a spare when it is started again with its disk, which votes after the next planned stop', async () => {
    const cluster = new ProcessCluster(NETWORKS.restart);
    const { followers } = await start(cluster);
    const [next = 1, old = 1] = followers;
    const replica = (await cluster.status(old))?.raft.self ?? '';
    expect(await cluster.end(`control-${old}`, 'SIGTERM')).to.equal(0);
    cluster.runMember(old);
    const isSpare = await cluster.until('return as a spare', async () => {
      const { raft } = (await cluster.status(old)) ?? {};
      const { leader, membership, commitIndex } = raft ?? {};
      const known = (await cluster.status(next))?.raft.commitIndex;
      return leader && membership?.learners.includes(replica) && commitIndex === known ? true : undefined;
    });
    expect(isSpare).to.equal(true);
    expect(await cluster.end(`control-${next}`, 'SIGTERM')).to.equal(0);
    await cluster.end(`control-${SPARE}`, 'SIGKILL');
    await change(cluster);
    const voters = (await cluster.status(old))?.raft.membership.voters;
    expect(voters).to.include(replica);
  });
});
