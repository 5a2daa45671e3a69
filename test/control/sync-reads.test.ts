/** Which syncs of routers share a read, and which of the reads wait for heartbeats. */
import { expect } from 'chai';
import { SyncReads, type WaitingSync } from '../../src/control/sync-reads.js';

type Settle = (confirmed: boolean, now: number) => void;

class Reads {
  readonly begun: { readonly mayWait: boolean; readonly settle: Settle }[] = [];
  readonly answered: string[] = [];
  readonly syncs = new SyncReads({
    read: (_now, mayWait, settle) => this.begun.push({ mayWait, settle }),
    answer: ({ connection }, confirmed) => this.answered.push(`${connection} ${confirmed}`),
  });
}

function syncOf(connection: string, have = 1): Omit<WaitingSync, 'since'> {
  const request = {
    type: 'sync-request',
    router: connection,
    incarnation: 'i',
    zone: 'a',
    stamp: 0,
    have,
  } as const;
  return { connection, request };
}

describe('reads for syncs', () => {
  it('of a router that is behind begin at once; those that come meanwhile share the next', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), false, 0);
    syncs.add(syncOf('r2'), false, 5);
    syncs.add(syncOf('r3'), false, 30);
    expect(begun.map(({ mayWait }) => mayWait)).to.deep.equal([false]);
    begun[0]?.settle(true, 40);
    expect(answered).to.deep.equal(['r1 true']);
    begun[1]?.settle(false, 50);
    expect(answered).to.deep.equal(['r1 true', 'r2 false', 'r3 false']);
    expect(begun.length).to.equal(2);
  });

  it('that only renew gather and then wait for heartbeats', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r2'), true, 60);
    expect(begun.length).to.equal(0);
    expect(syncs.nextDeadline()).to.equal(100);
    syncs.run(100);
    expect(begun.map(({ mayWait }) => mayWait)).to.deep.equal([true]);
    begun[0]?.settle(true, 200);
    expect(answered).to.deep.equal(['r1 true', 'r2 true']);
    expect(syncs.nextDeadline()).to.equal(Number.POSITIVE_INFINITY);
  });

  it('of a router that holds nothing are read for again for a moment without a quorum', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1', 0), false, 0);
    begun[0]?.settle(false, 1);
    expect(answered).to.deep.equal([]);
    expect(syncs.nextDeadline()).to.equal(20);
    syncs.run(20);
    begun[1]?.settle(true, 22);
    expect(answered).to.deep.equal(['r1 true']);
  });

  it('of a router that holds nothing are answered without a quorum too, after that moment', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1', 0), false, 0);
    begun[0]?.settle(false, 250);
    expect(answered).to.deep.equal(['r1 false']);
  });

  it('take renewals along', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r2'), false, 10);
    begun[0]?.settle(true, 15);
    expect(answered).to.deep.equal(['r2 true', 'r1 true']);
    expect(syncs.nextDeadline()).to.equal(Number.POSITIVE_INFINITY);
  });

  it('while a renewal waits for heartbeats, one that is behind is not held up', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), true, 0);
    syncs.run(100);
    syncs.add(syncOf('r2'), false, 101);
    expect(begun.map(({ mayWait }) => mayWait)).to.deep.equal([true, false]);
    begun[1]?.settle(true, 105);
    expect(answered).to.deep.equal(['r2 true']);
  });

  it('of one router that only renew are answered once, the latest', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r1'), true, 30);
    syncs.run(100);
    begun[0]?.settle(true, 110);
    expect(answered).to.deep.equal(['r1 true']);
  });

  it('forget a connection that ended', () => {
    const { syncs, begun, answered } = new Reads();
    syncs.add(syncOf('r1'), true, 0);
    syncs.gone('r1');
    syncs.run(100);
    begun[0]?.settle(true, 110);
    expect(answered).to.deep.equal([]);
  });
});
