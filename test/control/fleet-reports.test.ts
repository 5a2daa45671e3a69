/** Handling of reports of upstreams without keys by a control member. */
import { expect } from 'chai';
import type { LoadReport } from '../../src/control/messages.js';
import { INITIAL_FLEET_VERSION } from '../../src/model/fleet-view.js';
import { type Cluster, startCluster } from './cluster-harness.js';

const PLAIN: LoadReport = { type: 'load-report', intervalMillis: 1000, shards: [] };
const FLEET = { zone: 'a', number: 1, have: INITIAL_FLEET_VERSION, upstreams: [], demand: [] };

function answersTo(cluster: Cluster, connection: string): string[] {
  return cluster.routerMessages
    .filter((sent) => sent.connection === connection)
    .map(({ message }) => message.type);
}

describe('a report of upstreams without keys', () => {
  const { cluster } = startCluster(2);

  it('is answered by the leader', () => {
    cluster.routerMessage('newer', { ...PLAIN, fleet: FLEET });
    expect(answersTo(cluster, 'newer')).to.deep.equal(['fleet-news']);
  });

  it('is not answered by other members, which have no fleet state', () => {
    const other = [...cluster.members.values()].find(({ core }) => core.status().role !== 'leader');
    cluster.routerMessage('astray', { ...PLAIN, fleet: FLEET }, other);
    expect(answersTo(cluster, 'astray')).to.deep.equal([]);
  });

  it('is not answered if an older router omits the fleet part', () => {
    cluster.routerMessage('older', PLAIN);
    expect(answersTo(cluster, 'older')).to.deep.equal([]);
  });
});
