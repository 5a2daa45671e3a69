/** Reports of the persist task about completed and failed writes. */
import { expect } from 'chai';
import type { PersistRequest } from '../../src/consensus/types.js';
import { PersistTask, type ReplicaFiles } from '../../src/control/daemon/persist-task.js';
import { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import { createReplica, openReplica } from '../../src/storage/index.js';

const FOLDER = '/data';

function request(index: number): PersistRequest {
  const entry = { index, term: 1, kind: 'command', data: Buffer.from('x') } as const;
  return { persistId: index, entries: [entry] };
}

async function openOn(files: MemoryDisk): Promise<ReplicaFiles> {
  const options = { files, lock: () => ({ release: () => {} }) };
  return (await openReplica(FOLDER, 'demo', options)).store;
}

describe('PersistTask', () => {
  it('reports completed writes, and nothing after the disk failed', async () => {
    const disk = new MemoryDisk();
    await createReplica(FOLDER, { cluster: 'demo', address: '127.0.0.1:1', role: 'first' }, { files: disk });
    const persisted: number[] = [];
    let fail: (error: Error) => void = () => {};
    const failed = new Promise<Error>((resolve) => {
      fail = resolve;
    });
    const task = new PersistTask(await openOn(disk), {
      persisted: (persistId) => {
        persisted.push(persistId);
        if (persistId === 2) {
          disk.losePowerAfter(1);
          task.enqueue(request(3));
        }
      },
      failed: (error) => fail(error),
    });
    task.enqueue(request(1));
    task.enqueue(request(2));
    expect((await failed).message).to.equal('the power is off');
    task.enqueue(request(4));
    await new Promise((resolve) => setImmediate(resolve));
    expect(persisted).to.deep.equal([1, 2]);
    disk.restart(() => 0);
    const options = { files: disk, lock: () => ({ release: () => {} }) };
    const { restored } = await openReplica(FOLDER, 'demo', options);
    expect(restored.entries.map(({ index }) => index)).to.deep.equal([1, 2]);
  });
});
