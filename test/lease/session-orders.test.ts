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
  it('sends an order until an answer acknowledges it', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    expect(orders.ordersToSend(false)).to.deep.equal([GRANT]);
    orders.acknowledge([GRANT], answer());
    expect(orders.ordersToSend(false)).to.deep.equal([GRANT]);
    orders.acknowledge([GRANT], answer({ held: [{ shard: 'k', epoch: 5 }] }));
    expect(orders.ordersToSend(false)).to.deep.equal([]);
    expect(orders.ordersToSend(true)).to.deep.equal([GRANT]);
  });

  it('has unsent orders only after an order changed or was lost', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    orders.ordersToSend(false);
    orders.set({ ...GRANT });
    expect(orders.hasUnsent()).to.equal(false);
    orders.set(REVOKE);
    expect(orders.hasUnsent()).to.equal(true);
    orders.ordersToSend(false);
    orders.markUnsent([REVOKE]);
    expect(orders.hasUnsent()).to.equal(true);
  });

  for (const { name, shown, isIgnored } of [
    { name: 'nothing', shown: {}, isIgnored: true },
    { name: 'draining', shown: { draining: [{ shard: 'k', remaining: 1 }] }, isIgnored: false },
    { name: 'an older release', shown: { released: [{ shard: 'k', revision: 8 }] }, isIgnored: true },
    { name: 'the release', shown: { released: [{ shard: 'k', revision: 9 }] }, isIgnored: false },
  ]) {
    it(`a revoke answered by ${name}: ${isIgnored ? 'no more renewals' : 'renewed'}`, () => {
      const orders = new SessionOrders();
      orders.set(REVOKE);
      orders.acknowledge(orders.ordersToSend(false), answer(shown));
      expect(orders.hasUnacknowledgedRevoke()).to.equal(isIgnored);
      orders.delete('k');
      expect(orders.hasUnacknowledgedRevoke()).to.equal(false);
    });
  }

  it('does not count an answer to an older order as an acknowledgement of the current order', () => {
    const orders = new SessionOrders();
    orders.set(GRANT);
    const sent = orders.ordersToSend(false);
    orders.set(REVOKE);
    orders.acknowledge(sent, answer({ held: [{ shard: 'k', epoch: 5 }] }));
    expect(orders.ordersToSend(false)).to.deep.equal([REVOKE]);
  });

  it('repeats revokes and orders to warm as long as they are in force', () => {
    const orders = new SessionOrders();
    for (const order of [GRANT, WARM]) {
      orders.set(order);
    }
    orders.acknowledge(
      orders.ordersToSend(false),
      answer({ held: [{ shard: 'k', epoch: 5 }], warmed: ['w'] }),
    );
    expect(orders.ordersToSend(false)).to.deep.equal([WARM]);
    orders.set(REVOKE);
    orders.delete('w');
    orders.acknowledge(orders.ordersToSend(false), answer({ released: [{ shard: 'k', revision: 9 }] }));
    expect(orders.ordersToSend(false)).to.deep.equal([REVOKE]);
    expect(orders.hasUnsent()).to.equal(false);
    orders.delete('k');
    expect(orders.ordersToSend(false)).to.deep.equal([]);
  });

  it('is warming a shard until the holder reports it as warm', () => {
    const orders = new SessionOrders();
    orders.set(WARM);
    expect(orders.isWarming([])).to.equal(true);
    expect(orders.isWarming(['w'])).to.equal(false);
    orders.delete('w');
    expect(orders.isWarming([])).to.equal(false);
  });
});
