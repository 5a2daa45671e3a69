/** The data folder under power loss and damage of its files. */
import { expect } from 'chai';
import { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import { createReplica } from '../../src/storage/index.js';
import { entry, FIRST_SEGMENT, FOLDER, newDisk, open, snapshot } from './store-fixture.js';

async function errorOf(run: Promise<unknown>): Promise<Error & { code?: string }> {
  return run.then(
    () => {
      throw new Error('nothing was thrown');
    },
    (error: Error) => error,
  );
}

/** Returns a disk whose closed log holds `batches` batches of two entries each. */
async function diskWith(batches: number): Promise<MemoryDisk> {
  const files = await newDisk();
  const { store } = await open(files);
  for (let batch = 0; batch < batches; batch += 1) {
    const entries = [entry(2 * batch + 1), entry(2 * batch + 2)];
    await store.persist([{ persistId: batch, hardState: { term: 1, votedFor: 'a' }, entries }]);
  }
  await store.close();
  return files;
}

describe('data folder', () => {
  it('restores what was written, across several segments and openings', async () => {
    const files = await diskWith(12);
    expect((await files.list(FOLDER))?.filter((name) => name.endsWith('.wal')).length).to.be.above(2);
    const { restored, store } = await open(files);
    expect(restored.entries.map(({ index }) => index)).to.deep.equal(
      Array.from({ length: 24 }, (_, position) => position + 1),
    );
    expect(restored.hardState).to.deep.equal({ term: 1, votedFor: 'a' });
    await store.persist([{ persistId: 1, truncateFrom: 20, entries: [entry(20, 2)] }]);
    const again = await open(files);
    expect(again.restored.entries.at(-1)).to.deep.include({ index: 20, term: 2 });
    expect(again.restored.entries.length).to.equal(20);
  });

  it('removes log files covered by a snapshot and keeps the hard state', async () => {
    const files = await diskWith(12);
    const { store } = await open(files);
    await store.persist([{ persistId: 1, snapshot: snapshot(24) }]);
    await store.settle();
    await store.persist([{ persistId: 2, entries: [entry(25)] }]);
    const names = (await files.list(FOLDER)) ?? [];
    expect(names.filter((name) => name.endsWith('.wal')).length).to.equal(1);
    const { restored } = await open(files);
    expect(restored.snapshot?.lastIndex).to.equal(24);
    expect(restored.hardState).to.deep.equal({ term: 1, votedFor: 'a' });
    expect(restored.entries.map(({ index }) => index)).to.deep.equal([25]);
  });

  it('continues after a snapshot that is ahead of the log', async () => {
    const files = await diskWith(1);
    const { store } = await open(files);
    await store.persist([{ persistId: 1, snapshot: snapshot(50) }]);
    await store.persist([{ persistId: 2, entries: [entry(51)] }]);
    const { restored } = await open(files);
    expect(restored.entries.map(({ index }) => index)).to.deep.equal([51]);
  });

  it('creates a unique id each time and never overwrites a folder in use', async () => {
    const first = await newDisk();
    const second = await newDisk();
    const ids = [(await open(first)).identity.replica, (await open(second)).identity.replica];
    expect(ids[0]).to.not.equal(ids[1]);
    const again = { cluster: 'demo', address: '127.0.0.1:1', role: 'first' } as const;
    const error = await errorOf(createReplica(FOLDER, again, { files: first }));
    expect(error.code).to.equal('TERNMOUNT_FOLDER_UNUSABLE');
  });

  it('refuses a folder of another cluster and one without a replica', async () => {
    const foreign = await errorOf(open(await newDisk(), 'other'));
    expect(foreign.code).to.equal('TERNMOUNT_FOLDER_UNUSABLE');
    expect(foreign.message).to.contain('belongs to cluster demo');
    const empty = await errorOf(open(new MemoryDisk()));
    expect(empty.code).to.equal('TERNMOUNT_FOLDER_UNUSABLE');
  });

  describe('truncates a torn tail and keeps all synced data', () => {
    for (const share of [0, 0.1, 0.4, 0.6, 0.9]) {
      it(`with ${share} of the last write on disk`, async () => {
        const files = await diskWith(2);
        const { store } = await open(files);
        files.losePowerAfter(1);
        const lost = { persistId: 9, entries: [entry(5), entry(6), entry(7)] };
        await errorOf(store.persist([lost]));
        files.restart(() => share);
        const { restored, store: reopened } = await open(files);
        expect(restored.entries.slice(0, 4).map(({ index }) => index)).to.deep.equal([1, 2, 3, 4]);
        const next = restored.entries.length + 1;
        await reopened.persist([{ persistId: 1, entries: [entry(next, 2)] }]);
        const again = await open(files);
        expect(again.restored.entries.at(-1)).to.deep.include({ index: next, term: 2 });
      });
    }

    it('with a hole in a write that was never synced', async () => {
      const files = await diskWith(1);
      const { store } = await open(files);
      files.losePowerAfter(1);
      await errorOf(store.persist([{ persistId: 9, entries: [entry(3), entry(4)] }]));
      files.restart(() => 1);
      files.edit(FIRST_SEGMENT, (bytes) => {
        bytes.fill(0, bytes.indexOf('entry 3 '), bytes.indexOf('entry 3 ') + 4);
        return bytes;
      });
      const { restored } = await open(files);
      expect(restored.entries.map(({ index }) => index)).to.deep.equal([1, 2]);
    });
  });

  describe('reports the replica as lost after', () => {
    const damages: Record<string, (files: MemoryDisk) => void> = {
      'a flipped bit before the tail': (files) =>
        files.edit(FIRST_SEGMENT, (bytes) => {
          bytes[bytes.indexOf('entry 2 ')] = 0;
          return bytes;
        }),
      'a zeroed range before the tail': (files) =>
        files.edit(FIRST_SEGMENT, (bytes) => bytes.fill(0, 200, 300)),
      'truncation of a segment before the last': (files) =>
        files.edit(FIRST_SEGMENT, (bytes) => bytes.subarray(0, bytes.length - 40)),
      'loss of the first segment': (files) => files.lose(FIRST_SEGMENT),
      'loss of a middle segment': (files) => files.lose(`${FOLDER}/log-000000000002.wal`),
      'loss of the last segment': (files) => files.lose(`${FOLDER}/log-000000000005.wal`),
      'damage to the header of the log': (files) => files.edit(FIRST_SEGMENT, (bytes) => bytes.fill(0, 0, 8)),
      'damage to the identity': (files) =>
        files.edit(`${FOLDER}/identity.json`, (bytes) => bytes.subarray(0, 20)),
      'loss of the identity': (files) => files.lose(`${FOLDER}/identity.json`),
    };
    for (const [name, damage] of Object.entries(damages)) {
      it(name, async () => {
        const files = await diskWith(12);
        expect(await files.list(FOLDER)).to.include('log-000000000005.wal');
        expect(await files.list(FOLDER)).to.not.include('log-000000000006.wal');
        damage(files);
        const error = await errorOf(open(files));
        expect(error.code).to.equal('TERNMOUNT_STORAGE_DAMAGED');
        expect(error.message).to.contain('this replica is lost').and.to.contain(FOLDER);
      });
    }

    const snapshotPath = `${FOLDER}/snapshot-0000000000000024.snap`;
    const snapshotDamages: Record<string, (files: MemoryDisk) => void> = {
      'damage to a snapshot': (files) =>
        files.edit(snapshotPath, (bytes) => {
          bytes[bytes.indexOf('state after')] = 0;
          return bytes;
        }),
      'truncation of a snapshot': (files) =>
        files.edit(snapshotPath, (bytes) => bytes.subarray(0, bytes.length - 48)),
      'loss of a snapshot': (files) => files.lose(snapshotPath),
    };
    for (const [name, damage] of Object.entries(snapshotDamages)) {
      it(name, async () => {
        const files = await diskWith(12);
        const { store } = await open(files);
        await store.persist([{ persistId: 1, snapshot: snapshot(24) }]);
        await store.settle();
        damage(files);
        expect((await errorOf(open(files))).code).to.equal('TERNMOUNT_STORAGE_DAMAGED');
      });
    }
  });

  it('keeps the old state after a power loss during the write of a snapshot', async () => {
    for (let operation = 0; operation < 14; operation += 1) {
      const files = await diskWith(4);
      const { store } = await open(files);
      files.losePowerAfter(operation);
      await store.persist([{ persistId: 1, snapshot: snapshot(8) }]).catch(() => {});
      await store.settle().catch(() => {});
      files.restart(() => (operation % 2 === 0 ? 0 : 0.7));
      const { restored } = await open(files);
      const last = restored.entries.at(-1)?.index ?? restored.snapshot?.lastIndex;
      expect(last, `power lost after ${operation} operations`).to.equal(8);
    }
  });
});
