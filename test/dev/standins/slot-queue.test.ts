import { expect } from 'chai';
import { SlotQueue } from '../../../src/dev/standins/upstream/slot-queue.js';

const never = new AbortController().signal;

describe('SlotQueue', () => {
  it('grants a freed slot to the request that waited longest', async () => {
    const queue = new SlotQueue(1, 2);
    const first = await queue.acquire(never);
    const order: string[] = [];
    const second = queue.acquire(never).then((release) => {
      order.push('second');
      release?.();
    });
    const third = queue.acquire(never).then(() => order.push('third'));
    expect(queue.isFull()).to.equal(true);
    first?.();
    await Promise.all([second, third]);
    expect(order).to.deep.equal(['second', 'third']);
  });

  it('removes an aborted waiter', async () => {
    const queue = new SlotQueue(1, 1);
    const release = await queue.acquire(never);
    const aborter = new AbortController();
    const waiting = queue.acquire(aborter.signal);
    aborter.abort();
    expect(await waiting).to.equal(undefined);
    expect(queue.waiting).to.equal(0);
    release?.();
    expect(queue.busy).to.equal(0);
  });

  it('releases a slot only once', async () => {
    const queue = new SlotQueue(2, 0);
    const first = await queue.acquire(never);
    await queue.acquire(never);
    first?.();
    first?.();
    expect(queue.busy).to.equal(1);
  });

  it('grants no slot if the signal is already aborted', async () => {
    const queue = new SlotQueue(1, 1);
    expect(await queue.acquire(AbortSignal.abort())).to.equal(undefined);
    expect(queue.busy).to.equal(0);
  });
});
