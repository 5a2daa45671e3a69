/** Operators' queries of shards, compared with a filter over all records. */
import { expect } from 'chai';
import type { ShardQuery } from '../../src/control/shard-query.js';
import type { ShardRecord } from '../../src/registry/types.js';
import { type Cluster, startCluster } from './cluster-harness.js';

describe('shard queries', () => {
  let cluster: Cluster;
  let all: readonly ShardRecord[];
  before(() => {
    ({ cluster } = startCluster(2));
    all = cluster.shards();
  });

  function read(query: Partial<ShardQuery>): readonly ShardRecord[] {
    const response = cluster.ask({ type: 'get-shards', service: null, ...query });
    expect(response.type).to.equal('shards');
    return response.type === 'shards' ? response.shards : [];
  }

  it('return all shards, or those of a service', () => {
    expect(all.length).to.be.greaterThan(1);
    const service = all[0]?.shard.split('/')[0] ?? '';
    expect(read({ service })).to.deep.equal(all);
    expect(read({ service: 'another' })).to.deep.equal([]);
  });

  it('return the shards of an owner', () => {
    for (const owner of ['u1', 'u2', 'nobody']) {
      expect(read({ owner })).to.have.deep.members(all.filter((record) => record.owner === owner));
      expect(read({ service: 'another', owner })).to.deep.equal([]);
    }
  });

  it('return one shard', () => {
    const shard = all[1]?.shard ?? '';
    expect(read({ shard })).to.deep.equal([all[1]]);
    expect(read({ shard, owner: 'nobody' })).to.deep.equal([]);
    expect(read({ shard: 'none/all@1/0' })).to.deep.equal([]);
  });
});
