/** A cluster that grows from its first replica, where one disk is lost meanwhile. */
import { expect } from 'chai';
import { addressOf, Cluster, SERVICE } from './cluster-harness.js';

const REPLACE_AFTER_MILLIS = 2000;
const SECONDS = 15;

describe('a cluster that grows from one voter to three', () => {
  // With two voters, or a joint change from one to two, the loss of either disk leaves no majority for good.
  it('has a leader after the loss of one new replica, whenever it comes', () => {
    const without: number[] = [];
    for (let millis = 0; millis <= 40; millis += 2) {
      const config = { replaceAfterMillis: REPLACE_AFTER_MILLIS, maxVoters: 3 };
      const cluster = new Cluster({ members: 1, seed: millis, config });
      cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      const definition = { ...SERVICE, keyed: false, keyspaces: [] };
      cluster.change({ type: 'service-apply', definition, expected: null });
      cluster.run(1000);
      const lost = cluster.addMember('m2');
      cluster.addMember('m3');
      cluster.requestJoin('m2');
      cluster.requestJoin('m3');
      cluster.run(millis);
      cluster.kill(lost);
      cluster.addMember('m4');
      for (let second = 0; second < SECONDS; second += 1) {
        const known = Object.keys(cluster.leader()?.core.status().membership.addresses ?? {});
        for (const [id, address] of [
          ['m3', addressOf('m3')],
          ['m4', addressOf('m2')],
        ] as const) {
          if (!known.includes(id)) {
            cluster.requestJoin(id, address);
          }
        }
        cluster.run(1000);
      }
      if (cluster.leader() === undefined) {
        without.push(millis);
      }
    }
    expect(without, 'ms after the requests to join at which a lost disk leaves no leader').to.deep.equal([]);
  });
});
