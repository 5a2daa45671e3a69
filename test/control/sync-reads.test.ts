/** Which syncs of routers share a read, and which of the reads wait for heartbeats. */
import { expect } from 'chai';
import { SyncReads, type WaitingSync } from '../../src/control/sync-reads.js';

type Settle = (confirmed: boolean, now: number) => void;

class ReadsHarness {
  readonly startedReads: { readonly mayWait: boolean; readonly settle: Settle }[] = [];
  readonly answered: string[] = [];
  readonly syncs = new SyncReads({
    read: (_now, mayWait, settle) => this.startedReads.push({ mayWait, settle }),
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
  it('for a router that is behind begin at once; syncs that arrive in between share the next read', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), false, 0);
    syncs.add(syncOf('r2'), false, 5);
    syncs.add(syncOf('r3'), false, 30);
    expect(startedReads.map(({ mayWait }) => mayWait)).to.deep.equal([false]);
    startedReads[0]?.settle(true, 40);
    expect(answered).to.deep.equal(['r1 true']);
    startedReads[1]?.settle(false, 50);
    expect(answered).to.deep.equal(['r1 true', 'r2 false', 'r3 false']);
    expect(startedReads.length).to.equal(2);
  });

  it('for renewals are batched and then wait for heartbeats', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r2'), true, 60);
    expect(startedReads.length).to.equal(0);
    expect(syncs.nextDeadline()).to.equal(100);
    syncs.run(100);
    expect(startedReads.map(({ mayWait }) => mayWait)).to.deep.equal([true]);
    startedReads[0]?.settle(true, 200);
    expect(answered).to.deep.equal(['r1 true', 'r2 true']);
    expect(syncs.nextDeadline()).to.equal(Number.POSITIVE_INFINITY);
  });

  it('for a router without data are retried for a short time without a quorum', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1', 0), false, 0);
    startedReads[0]?.settle(false, 1);
    expect(answered).to.deep.equal([]);
    expect(syncs.nextDeadline()).to.equal(20);
    syncs.run(20);
    startedReads[1]?.settle(true, 22);
    expect(answered).to.deep.equal(['r1 true']);
  });

  it('for a router without data are answered without a quorum after that time', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1', 0), false, 0);
    startedReads[0]?.settle(false, 250);
    expect(answered).to.deep.equal(['r1 false']);
  });

  it('include waiting renewals', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r2'), false, 10);
    startedReads[0]?.settle(true, 15);
    expect(answered).to.deep.equal(['r2 true', 'r1 true']);
    expect(syncs.nextDeadline()).to.equal(Number.POSITIVE_INFINITY);
  });

  it('for a router that is behind are not delayed while a renewal waits for heartbeats', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), true, 0);
    syncs.run(100);
    syncs.add(syncOf('r2'), false, 101);
    expect(startedReads.map(({ mayWait }) => mayWait)).to.deep.equal([true, false]);
    startedReads[1]?.settle(true, 105);
    expect(answered).to.deep.equal(['r2 true']);
  });

  it('answer only the latest renewal of a router', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), true, 0);
    syncs.add(syncOf('r1'), true, 30);
    syncs.run(100);
    startedReads[0]?.settle(true, 110);
    expect(answered).to.deep.equal(['r1 true']);
  });

  it('drop the syncs of a connection that ended', () => {
    const { syncs, startedReads, answered } = new ReadsHarness();
    syncs.add(syncOf('r1'), true, 0);
    syncs.removeConnection('r1');
    syncs.run(100);
    startedReads[0]?.settle(true, 110);
    expect(answered).to.deep.equal([]);
  });
});
