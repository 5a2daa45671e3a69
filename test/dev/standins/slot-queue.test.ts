import { expect } from 'chai';
import { SlotQueue } from '../../../src/dev/standins/upstream/slot-queue.js';

const never = new AbortController().signal;

describe('SlotQueue', () => {
  it('gives a freed slot to the one that waited longest', async () => {
    const queue = new SlotQueue(1, 2);
    const first = await queue.take(never);
    const order: string[] = [];
    const second = queue.take(never).then((release) => {
      order.push('second');
      release?.();
    });
    const third = queue.take(never).then(() => order.push('third'));
    expect(queue.isFull()).to.equal(true);
    first?.();
    await Promise.all([second, third]);
    expect(order).to.deep.equal(['second', 'third']);
  });

  it('forgets a waiter that gave up', async () => {
    const queue = new SlotQueue(1, 1);
    const release = await queue.take(never);
    const aborter = new AbortController();
    const waiting = queue.take(aborter.signal);
    aborter.abort();
    expect(await waiting).to.equal(undefined);
    expect(queue.waiting).to.equal(0);
    release?.();
    expect(queue.busy).to.equal(0);
  });

  it('counts a slot given back twice once', async () => {
    const queue = new SlotQueue(2, 0);
    const first = await queue.take(never);
    await queue.take(never);
    first?.();
    first?.();
    expect(queue.busy).to.equal(1);
  });

  it('gives no slot to one that has already given up', async () => {
    const queue = new SlotQueue(1, 1);
    expect(await queue.take(AbortSignal.abort())).to.equal(undefined);
    expect(queue.busy).to.equal(0);
  });
});
