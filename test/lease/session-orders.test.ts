import { expect } from 'chai';
import { SessionOrders } from '../../src/lease/session-orders.js';
import type { SessionAnswer, ShardOrder } from '../../src/lease/types.js';

const GRANT: ShardOrder = { type: 'grant', shard: 'k', epoch: 5, revision: 5 };
const REVOKE: ShardOrder = { type: 'revoke', shard: 'k', revision: 9 };
const WARM: ShardOrder = { type: 'warm', shard: 'w', revision: 7 };

function answer(change: Partial<SessionAnswer> = {}): SessionAnswer {
  return {
    upstream: 'u1',
    incarnation: 'u1#1',
    stamp: 0,
    term: 1,
    sequence: 1,
    held: [],
    draining: [],
    released: [],
    warmed: [],
    inFlight: 0,
    refused: null,
    ...change,
  };
}

describe('session orders', () => {
  it('sends an order until an answer shows that it is followed', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    expect(orders.take(false)).to.deep.equal([GRANT]);
    orders.acknowledge([GRANT], answer());
    expect(orders.take(false)).to.deep.equal([GRANT]);
    orders.acknowledge([GRANT], answer({ held: [{ shard: 'k', epoch: 5 }] }));
    expect(orders.take(false)).to.deep.equal([]);
    expect(orders.take(true)).to.deep.equal([GRANT]);
  });

  it('has news only when an order changes or was lost', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    orders.take(false);
    orders.set({ ...GRANT });
    expect(orders.hasUnsent()).to.equal(false);
    orders.set(REVOKE);
    expect(orders.hasUnsent()).to.equal(true);
    orders.take(false);
    orders.forget([REVOKE]);
    expect(orders.hasUnsent()).to.equal(true);
  });

  for (const { name, shown, ignored } of [
    { name: 'nothing', shown: {}, ignored: true },
    { name: 'draining', shown: { draining: [{ shard: 'k', remaining: 1 }] }, ignored: false },
    { name: 'an older release', shown: { released: [{ shard: 'k', revision: 8 }] }, ignored: true },
    { name: 'the release', shown: { released: [{ shard: 'k', revision: 9 }] }, ignored: false },
  ]) {
    it(`a revoke answered by ${name}: ${ignored ? 'no more renewals' : 'renewed'}`, () => {
      const orders = new SessionOrders();
      orders.set(REVOKE);
      orders.acknowledge(orders.take(false), answer(shown));
      expect(orders.hasIgnoredRevoke()).to.equal(ignored);
      orders.delete('k');
      expect(orders.hasIgnoredRevoke()).to.equal(false);
    });
  }

  it('does not take an answer to an older order for one to the present order', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    const sent = orders.take(false);
    orders.set(REVOKE);
    orders.acknowledge(sent, answer({ held: [{ shard: 'k', epoch: 5 }] }));
    expect(orders.take(false)).to.deep.equal([REVOKE]);
  });

  it('repeats revokes and orders to warm for as long as they are in force', () => {
    const orders = new SessionOrders();
    for (const order of [GRANT, WARM]) {
      orders.set(order);
    }
    orders.acknowledge(orders.take(false), answer({ held: [{ shard: 'k', epoch: 5 }], warmed: ['w'] }));
    expect(orders.take(false)).to.deep.equal([WARM]);
    orders.set(REVOKE);
    orders.delete('w');
    orders.acknowledge(orders.take(false), answer({ released: [{ shard: 'k', revision: 9 }] }));
    expect(orders.take(false)).to.deep.equal([REVOKE]);
    expect(orders.hasUnsent()).to.equal(false);
    orders.delete('k');
    expect(orders.take(false)).to.deep.equal([]);
  });

  it('warms until the holder says so', () => {
    const orders = new SessionOrders();
    orders.set(WARM);
    expect(orders.isWarming([])).to.equal(true);
    expect(orders.isWarming(['w'])).to.equal(false);
    orders.delete('w');
    expect(orders.isWarming([])).to.equal(false);
  });
});
