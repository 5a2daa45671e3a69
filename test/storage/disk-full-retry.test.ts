/** A full disk: log writes wait for disk space, the log stays intact, and it holds everything once there is space. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { PersistRequest } from '../../src/consensus/types.js';
import { PersistTask } from '../../src/control/daemon/persist-task.js';
import { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import type { WritableFile } from '../../src/storage/file-system.js';
import { createReplica, DiskFullRetry, openReplica } from '../../src/storage/index.js';
import { StorageFailedError } from '../../src/storage/storage-error.js';

const FOLDER = '/data';
const RETRY_MILLIS = 2;

function request(index: number): PersistRequest {
  const entry = { index, term: 1, kind: 'command', data: Buffer.from(`entry ${index}`) } as const;
  return { persistId: index, entries: [entry] };
}

async function newDisk(): Promise<MemoryDisk> {
  const disk = new MemoryDisk();
  await createReplica(FOLDER, { cluster: 'demo', address: '127.0.0.1:1', role: 'first' }, { files: disk });
  return disk;
}

describe('a full disk', () => {
  it('delays writes: nothing is reported as persisted before it is, and nothing is lost', async () => {
    const disk = await newDisk();
    const events: string[] = [];
    const diskFullRetry = new DiskFullRetry({
      retryMillis: RETRY_MILLIS,
      onDiskFull: () => events.push('full'),
      onSpaceAvailable: () => events.push('room'),
    });
    const lock = () => ({ release: () => {} });
    const opened = await openReplica(FOLDER, 'demo', { files: diskFullRetry.wrap(disk), lock });
    const persisted: number[] = [];
    const failures: Error[] = [];
    const task = new PersistTask(opened.store, {
      persisted: (id) => persisted.push(id),
      failed: (error) => failures.push(error),
    });
    task.enqueue(request(1));
    await sleep(5 * RETRY_MILLIS);
    disk.isFull = true;
    task.enqueue(request(2));
    task.enqueue(request(3));
    await sleep(10 * RETRY_MILLIS);
    expect(persisted).to.deep.equal([1]);
    disk.isFull = false;
    await sleep(10 * RETRY_MILLIS);
    expect(persisted.at(-1)).to.equal(3);
    expect(failures).to.deep.equal([]);
    expect(events).to.deep.equal(['full', 'room']);
    await task.stop();
    const { restored } = await openReplica(FOLDER, 'demo', { files: disk, lock });
    expect(restored.entries.map(({ index }) => index)).to.deep.equal([1, 2, 3]);
  });

  it('doesn’t delay a shutdown', async () => {
    const disk = await newDisk();
    const diskFullRetry = new DiskFullRetry({ retryMillis: RETRY_MILLIS });
    const lock = () => ({ release: () => {} });
    const opened = await openReplica(FOLDER, 'demo', { files: diskFullRetry.wrap(disk), lock });
    const failures: Error[] = [];
    const task = new PersistTask(opened.store, {
      persisted: () => {},
      failed: (error) => failures.push(error),
    });
    disk.isFull = true;
    task.enqueue(request(1));
    await sleep(3 * RETRY_MILLIS);
    diskFullRetry.stop();
    await task.stop();
    expect(failures.map(({ name }) => name)).to.deep.equal(['StorageFailedError']);
  });

  it('that also refuses to cut a file delays writes, and leaves no part of one', async () => {
    const disk = new FussyDisk();
    const file = await new DiskFullRetry({ retryMillis: RETRY_MILLIS }).wrap(disk).create('/data/log');
    await file.append(Buffer.from('one '));
    disk.isFull = true;
    const written = file.append(Buffer.from('two'));
    await sleep(5 * RETRY_MILLIS);
    disk.isFull = false;
    await written;
    expect(disk.text).to.equal('one two');
    disk.isFull = true;
    const cut = file.truncate(3);
    await sleep(5 * RETRY_MILLIS);
    disk.isFull = false;
    await cut;
    expect(disk.text).to.equal('one');
  });
});

/** One file; while it is full, appends write a part, and files can't be cut either. */
class FussyDisk extends MemoryDisk {
  text = '';

  override async create(path: string): Promise<WritableFile> {
    const refuse = (): void => {
      if (this.isFull) {
        throw new StorageFailedError(path, 'write', Object.assign(new Error('full'), { code: 'ENOSPC' }));
      }
    };
    return {
      append: async (bytes) => {
        this.text += Buffer.from(bytes.subarray(0, this.isFull ? 1 : bytes.length)).toString();
        refuse();
      },
      truncate: async (size) => {
        refuse();
        this.text = this.text.slice(0, size);
      },
      sync: async () => {},
      close: async () => {},
    };
  }
}
