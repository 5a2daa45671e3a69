import { expect } from 'chai';
import { createGrantHolder, type GrantHolder } from '../../src/lease/index.js';
import type { SessionRequest, ShardOrder } from '../../src/lease/types.js';
import { shardOfKey } from '../../src/model/key-map.js';

const KEY_MAP = {
  service: 'menuboard',
  generation: 3,
  keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 1 }],
} as const;
const KEY = 'sheet/1';
const SHARD = shardOfKey(KEY_MAP, KEY) as string;
const INCARNATION = 'u1/1';

function session(term: number, sequence: number, changes: Partial<SessionRequest>): SessionRequest {
  return {
    cluster: 'c1',
    leader: 'm1',
    term,
    sequence,
    upstream: 'u1',
    incarnation: INCARNATION,
    validUntil: null,
    keyMap: null,
    orders: [],
    complete: false,
    drain: false,
    ...changes,
  };
}

function admits(holder: GrantHolder, epoch: number, now: number): boolean {
  const credentials = { shard: SHARD, epoch, incarnation: INCARNATION, key: KEY };
  return holder.admit(credentials, now).type === 'admitted';
}

describe('grant holder with a new lease after its previous one ended', () => {
  const grant: ShardOrder = { type: 'grant', shard: SHARD, epoch: 49, revision: 49 };
  let holder: GrantHolder;

  beforeEach(() => {
    holder = createGrantHolder({ cluster: 'c1', upstream: 'u1', incarnation: INCARNATION });
    holder.handleSession(
      session(1, 1, { validUntil: 1000, keyMap: KEY_MAP, orders: [grant], complete: true }),
      0,
    );
    expect(admits(holder, 49, 10)).to.equal(true);
    expect(admits(holder, 49, 1500)).to.equal(false);
  });

  it('holds no shard that the complete list of orders does not grant', () => {
    holder.handleSession(session(2, 1, { validUntil: 3000, keyMap: KEY_MAP, complete: true }), 2000);
    expect(admits(holder, 49, 2001)).to.equal(false);
  });

  it('does not hold a shard for which the complete list contains only an order to warm', () => {
    const warm: ShardOrder = { type: 'warm', shard: SHARD, revision: 737 };
    const request = session(2, 1, { validUntil: 3000, keyMap: KEY_MAP, orders: [warm], complete: true });
    const answer = holder.handleSession(request, 2000);
    expect(answer.held).to.deep.equal([]);
    expect(admits(holder, 49, 2001)).to.equal(false);
    expect(holder.takeEvents().map(({ type }) => type)).to.deep.equal(['granted', 'released', 'warm']);
  });

  it('still holds a shard that the complete list grants again', () => {
    const request = session(2, 1, { validUntil: 3000, keyMap: KEY_MAP, orders: [grant], complete: true });
    holder.handleSession(request, 2000);
    expect(admits(holder, 49, 2001)).to.equal(true);
  });
});
