import { expect } from 'chai';
import { createGrantHolder, type Ticket } from '../../src/lease/index.js';
import type { SessionRequest, ShardOrder } from '../../src/lease/types.js';

const KEY_MAP = {
  service: 'menus',
  generation: 1,
  keyspaces: [{ name: 'all', kind: 'prefix' as const, match: '', shards: 1 }],
};
const SHARD = 'menus/all@1/0';

function session(sequence: number, orders: readonly ShardOrder[]): SessionRequest {
  return {
    cluster: 'c1',
    leader: 'm1',
    term: 1,
    sequence,
    upstream: 'u1',
    incarnation: 'u1#1',
    validUntil: 10_000,
    keyMap: KEY_MAP,
    orders,
    complete: true,
    drain: false,
  };
}

describe('holder with a pending release', () => {
  it('counts a release as unreported until it was part of an answer to the leader', () => {
    const holder = createGrantHolder({ cluster: 'c1', upstream: 'u1', incarnation: 'u1#1' });
    holder.handleSession(session(1, [{ type: 'grant', shard: SHARD, epoch: 5, revision: 5 }]), 0);
    const credentials = { shard: SHARD, epoch: 5, incarnation: 'u1#1', key: 'k' };
    const admission = holder.admit(credentials, 10);
    const revoke: ShardOrder = { type: 'revoke', shard: SHARD, revision: 9 };
    holder.handleSession(session(2, [revoke]), 20);
    expect(holder.status(20)).to.include({ held: 0, unreported: 1 });
    holder.finish((admission as { ticket: Ticket }).ticket, 30);
    expect(holder.status(30)).to.include({ held: 0, unreported: 1 });
    const answer = holder.handleSession(session(3, [revoke]), 70);
    expect(answer.released).to.deep.equal([{ shard: SHARD, revision: 9 }]);
    expect(holder.status(70)).to.include({ held: 0, unreported: 0 });
  });
});
