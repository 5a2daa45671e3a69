/** Metrics of keyed services in a scrape of a control member. */
import { expect } from 'chai';
import { createControlMetrics } from '../../src/control/daemon/metrics.js';
import type { ServiceMeasures } from '../../src/control/service-measures.js';
import type { OperatorResponse } from '../../src/control/types.js';
import { type Cluster, SERVICE, startCluster } from './cluster-harness.js';

type Status = Extract<OperatorResponse, { type: 'status' }>;

const NO_LOAD = { steps: () => null, rangeWork: () => null };

const MENU: ServiceMeasures = {
  service: 'menu',
  ownedShards: 95,
  unownedShards: 5,
  ownerChanges: { 'first-grant': 100, balance: 7, drain: 0, operator: 1, lost: 12, other: 0 },
  ownerChangesLastMinute: 9,
  unownedShardMillis: 61_500,
  handovers: 8,
  handoverGapMillis: 40,
  imbalance: 1.25,
  imbalanceOverBound: 1.2,
  imbalancedSinceMillis: null,
};

/** The status that the leader, or another member, reports. */
function statusOf(cluster: Cluster, isLeader: boolean): Status {
  const member = [...cluster.members.values()].find(
    ({ core }) => (core.status().role === 'leader') === isLeader,
  );
  return cluster.ask({ type: 'get-status' }, member) as Status;
}

/** Lines of a scrape with a service label, without comments. */
async function scrape(status: Status): Promise<string[]> {
  const metrics = createControlMetrics({ raft: () => status.raft, cluster: async () => status, ...NO_LOAD });
  const text = await metrics.metrics();
  return text.split('\n').filter((line) => /^ternmount_control_.*service=/.test(line));
}

describe('metrics of keyed services', () => {
  const { cluster } = startCluster(2);
  const leader = statusOf(cluster, true);

  it('have a series for each measure and service of the leader', async () => {
    const lines = await scrape({ ...leader, services: [MENU] });
    expect(lines).to.have.members([
      ...Object.entries(MENU.ownerChanges).map(
        ([reason, count]) =>
          `ternmount_control_owner_changes_total{service="menu",reason="${reason}"} ${count}`,
      ),
      'ternmount_control_owned_shards{service="menu"} 95',
      'ternmount_control_unowned_shards{service="menu"} 5',
      'ternmount_control_unowned_shard_seconds_total{service="menu"} 61.5',
      'ternmount_control_handovers_total{service="menu"} 8',
      'ternmount_control_handover_gap_seconds_total{service="menu"} 0.04',
      'ternmount_control_imbalance{service="menu"} 1.25',
      'ternmount_control_imbalance_over_bound{service="menu"} 1.2',
    ]);
  });

  it('omit an unknown imbalance', async () => {
    const services = [{ ...MENU, imbalance: null, imbalanceOverBound: null }];
    const lines = await scrape({ ...leader, services });
    expect(lines.filter((line) => line.includes('imbalance'))).to.deep.equal([]);
  });

  it('are read on each scrape, without services that were removed', async () => {
    let status: Status = { ...leader, services: [MENU] };
    const metrics = createControlMetrics(
      { raft: () => status.raft, cluster: async () => status, ...NO_LOAD },
      0,
    );
    await metrics.metrics();
    status = { ...leader, services: [{ ...MENU, unownedShards: 6 }] };
    expect(await metrics.metrics()).to.contain('unowned_shards{service="menu"} 6');
    expect(await metrics.metrics()).to.contain('handovers_total{service="menu"} 8');
    status = { ...leader, services: [] };
    expect(await metrics.metrics()).not.to.contain('service=');
  });

  it('exist on the leader only', async () => {
    expect(await scrape(leader)).to.include(`ternmount_control_owned_shards{service="${SERVICE.name}"} 6`);
    expect(await scrape(statusOf(cluster, false))).to.deep.equal([]);
  });
});
