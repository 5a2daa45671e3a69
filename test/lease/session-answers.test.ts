import { expect } from 'chai';
import { createGrantHolder, type GrantHolder } from '../../src/lease/index.js';
import type { SessionRequest, ShardOrder } from '../../src/lease/types.js';

const KEY_MAP = {
  service: 'sheets',
  generation: 5,
  keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 4 }],
} as const;

function shard(number: number): string {
  return `sheets/all@5/${number}`;
}

function grant(number: number): ShardOrder {
  return { type: 'grant', shard: shard(number), epoch: 10 + number, revision: 10 + number };
}

describe('session answers', () => {
  let holder: GrantHolder;
  let sequence: number;

  function answerTo(orders: readonly ShardOrder[], complete = false) {
    sequence += 1;
    const request: SessionRequest = {
      cluster: 'c1',
      leader: 'm1',
      term: 1,
      sequence,
      upstream: 'u1',
      incarnation: 'u1#1',
      validUntil: 1000,
      keyMap: KEY_MAP,
      orders,
      complete,
      drain: false,
    };
    return holder.handleSession(request, 1);
  }

  beforeEach(() => {
    holder = createGrantHolder({ cluster: 'c1', upstream: 'u1', incarnation: 'u1#1' });
    sequence = 0;
  });

  it('contain only held shards that the orders name', () => {
    const all = answerTo([grant(0), grant(1), grant(2)], true);
    expect(all.held.map((held) => held.shard)).to.deep.equal([shard(0), shard(1), shard(2)]);
    expect(answerTo([]).held).to.deep.equal([]);
    expect(answerTo([grant(1)]).held).to.deep.equal([{ shard: shard(1), epoch: 11 }]);
    expect(holder.status(1).held).to.equal(3);
  });

  it('contain a release as long as the revoke is repeated', () => {
    const revoke: ShardOrder = { type: 'revoke', shard: shard(0), revision: 20 };
    answerTo([grant(0)], true);
    for (const _repeat of [1, 2]) {
      expect(answerTo([revoke]).released).to.deep.equal([{ shard: shard(0), revision: 20 }]);
    }
    expect(answerTo([]).released).to.deep.equal([]);
  });

  it('contain a warm shard as long as the order to warm it is repeated', () => {
    const warm: ShardOrder = { type: 'warm', shard: shard(3), revision: 12 };
    expect(answerTo([warm]).warmed).to.deep.equal([]);
    holder.markWarmed(shard(3));
    expect(answerTo([warm]).warmed).to.deep.equal([shard(3)]);
    expect(answerTo([]).warmed).to.deep.equal([]);
  });

  it('contain all draining shards, regardless of the orders', () => {
    answerTo([grant(0), grant(1)], true);
    const key = keyOf(shard(1));
    holder.admit({ shard: shard(1), epoch: 11, incarnation: 'u1#1', key }, 2);
    answerTo([{ type: 'revoke', shard: shard(1), revision: 20 }]);
    expect(answerTo([]).draining).to.deep.equal([{ shard: shard(1), remaining: 1 }]);
  });

  /** Finds a key of the shard by trial. */
  function keyOf(wanted: string): string {
    for (let number = 0; ; number += 1) {
      const key = `key-${number}`;
      const credentials = { shard: wanted, epoch: 11, incarnation: 'u1#1', key };
      const admission = holder.admit(credentials, 2);
      if (admission.type === 'admitted') {
        holder.finish(admission.ticket, 2);
        return key;
      }
    }
  }
});
