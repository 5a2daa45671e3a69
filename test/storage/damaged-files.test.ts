/** Data folders with files of bytes that nobody wrote: each opens as it was written, or is reported as damaged. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { RestoredState } from '../../src/consensus/types.js';
import type { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import { RECORD_TYPES } from '../../src/storage/log-records.js';
import { encodeRecord } from '../../src/storage/record.js';
import { openOrCreateReplica } from '../../src/storage/replica-opening.js';
import { FolderUnusableError, StorageDamagedError } from '../../src/storage/storage-error.js';
import { entry, FOLDER, newDisk, open, plain, snapshot } from './store-fixture.js';

const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
const numRuns = Number(process.env.TERNMOUNT_SEEDS ?? 300);
const BATCHES = 8;
const SNAPSHOT_INDEX = 6;

/** A folder with a snapshot and several log files behind it. */
async function writtenDisk(): Promise<MemoryDisk> {
  const files = await newDisk();
  const { store } = await open(files);
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const entries = [entry(2 * batch + 1), entry(2 * batch + 2)];
    await store.persist([{ persistId: batch, hardState: { term: 1, votedFor: 'a' }, entries }]);
    if (2 * batch + 2 === SNAPSHOT_INDEX) {
      await store.persist([{ persistId: 100, snapshot: snapshot(SNAPSHOT_INDEX) }]);
      await store.settle();
    }
  }
  await store.persist([{ persistId: 101, truncateFrom: 2 * BATCHES, entries: [entry(2 * BATCHES, 2)] }]);
  await store.close();
  return files;
}

async function namesOf(files: MemoryDisk): Promise<readonly string[]> {
  return (await files.list(FOLDER)) ?? [];
}

/** Opens a folder; `null`: it is reported as damaged, or as that of another cluster. */
async function openDamaged(files: MemoryDisk): Promise<RestoredState | null> {
  try {
    const { restored, store } = await open(files);
    await store.close();
    return restored;
  } catch (thrown) {
    expect(thrown).to.satisfy(
      (error: unknown) => error instanceof StorageDamagedError || error instanceof FolderUnusableError,
      String((thrown as Error).stack),
    );
    return null;
  }
}

/** Copies all files of a folder, with one of them changed. */
async function changed(
  files: MemoryDisk,
  name: string,
  change: (bytes: Buffer) => Buffer,
): Promise<MemoryDisk> {
  const copy = await newDisk();
  for (const other of await namesOf(copy)) {
    copy.lose(`${FOLDER}/${other}`);
  }
  for (const other of await namesOf(files)) {
    const path = `${FOLDER}/${other}`;
    const bytes = Buffer.from(await files.read(path));
    const file = await copy.create(path);
    await file.append(other === name ? change(bytes) : bytes);
    await file.sync();
    await file.close();
  }
  await copy.syncFolder(FOLDER);
  return copy;
}

const anyChange = fc.oneof(
  fc.record({
    what: fc.constant('bytes' as const),
    bytes: fc.array(fc.tuple(fc.nat(), fc.nat(255)), { minLength: 1, maxLength: 6 }),
  }),
  fc.record({ what: fc.constant('cut' as const), at: fc.nat() }),
  fc.record({ what: fc.constant('more' as const), at: fc.nat(), bytes: fc.uint8Array({ maxLength: 60 }) }),
  fc.record({ what: fc.constant('whole' as const), bytes: fc.uint8Array({ maxLength: 200 }) }),
);

function apply(change: typeof anyChange extends fc.Arbitrary<infer Value> ? Value : never) {
  return (original: Buffer): Buffer => {
    const bytes = Buffer.from(original);
    switch (change.what) {
      case 'bytes':
        for (const [position, byte] of change.bytes) {
          bytes[position % bytes.length] = byte;
        }
        return bytes;
      case 'cut':
        return bytes.subarray(0, change.at % bytes.length);
      case 'more': {
        const at = change.at % (bytes.length + 1);
        return Buffer.concat([bytes.subarray(0, at), change.bytes, bytes.subarray(at)]);
      }
      case 'whole':
        return Buffer.from(change.bytes);
    }
  };
}

describe('a data folder with a file that was damaged', () => {
  it('is opened as it was written, but for a torn tail, or reported as damaged', async () => {
    const files = await writtenDisk();
    const names = await namesOf(files);
    const last = names
      .filter((name) => name.endsWith('.wal'))
      .sort()
      .at(-1);
    const { restored: written } = await open(await changed(files, '', (bytes) => bytes));
    expect(written.entries.at(-1)).to.deep.include({ index: 2 * BATCHES, term: 2 });
    let opened = 0;
    const property = fc.asyncProperty(fc.constantFrom(...names), anyChange, async (name, change) => {
      const restored = await openDamaged(await changed(files, name, apply(change)));
      if (restored === null) {
        return;
      }
      opened += 1;
      const { snapshot: found, entries } = plain(restored) as RestoredState;
      const expected = plain(written) as RestoredState;
      expect(found).to.deep.equal(expected.snapshot);
      if (name !== last && name !== 'identity.json') {
        expect(entries).to.deep.equal(expected.entries);
      }
      // The truncation at the end replaced the last entry; without it the one before is back.
      const kept = entries.filter(({ index, term }) => index < 2 * BATCHES || term === 2);
      expect(kept).to.deep.equal(expected.entries.slice(0, kept.length));
    });
    await fc.assert(property, { seed, numRuns });
    expect(opened).to.be.within(1, numRuns - 1);
  });

  it('is reported as damaged, or opened, if its checksums hold over content that nobody wrote', async () => {
    const files = await writtenDisk();
    const anyRecord = fc.record({
      type: fc.oneof(fc.constantFrom(...Object.values(RECORD_TYPES)), fc.nat(10)),
      payload: fc.oneof(
        fc.uint8Array({ maxLength: 40 }),
        fc.json().map((text) => new Uint8Array(Buffer.from(text))),
      ),
    });
    const names = (await namesOf(files)).filter((name) => !name.endsWith('.json'));
    const property = fc.asyncProperty(
      fc.constantFrom(...names),
      fc.array(anyRecord, { minLength: 1, maxLength: 3 }),
      fc.boolean(),
      async (name, records, isWhole) => {
        const added = records.map(({ type, payload }) => encodeRecord(type, payload, 0));
        const damaged = await changed(files, name, (bytes) =>
          Buffer.concat(isWhole ? added : [bytes, ...added]),
        );
        await openDamaged(damaged);
      },
    );
    await fc.assert(property, { seed, numRuns });
  });

  /** Guards against a member that takes what another release wrote for damage, and replaces its folder by an empty one. */
  it('is kept as it is, if its checksums hold over content that this release can not read', async () => {
    const files = await writtenDisk();
    const last =
      (await namesOf(files))
        .filter((name) => name.endsWith('.wal'))
        .sort()
        .at(-1) ?? '';
    const unread = encodeRecord(RECORD_TYPES.hardState, Buffer.from('not json'), 0);
    const foreign = await changed(files, last, (bytes) => Buffer.concat([bytes, unread]));
    const before = await namesOf(foreign);
    const start = { cluster: 'demo', address: '127.0.0.1:1', bootstrap: false, seeds: [] };
    const lock = () => ({ release: () => {} });
    const failure = await openOrCreateReplica(FOLDER, start, { files: foreign, lock }).then(
      () => null,
      (error: Error) => error,
    );
    expect(failure).to.be.instanceOf(FolderUnusableError);
    expect(failure?.message).to.contain(last).and.to.contain("that this release can't read");
    expect(await namesOf(foreign)).to.deep.equal(before);
  });
});
