/** Members that create their data folders themselves: the first ones agree without communicating, later ones are new replicas. */
import { expect } from 'chai';
import { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import { openOrCreateReplica, type SelfStart } from '../../src/storage/index.js';
import { firstReplicaAt } from '../../src/storage/replica-opening.js';

const FOLDER = '/data/replica';
const SEEDS = ['10.1.0.1:7400', '10.2.0.1:7400', '10.3.0.1:7400'];
const NO_LOCK = { release: (): void => {} };

function start(changes: Partial<SelfStart> = {}): SelfStart {
  return { cluster: 'north', address: SEEDS[0] as string, bootstrap: true, seeds: SEEDS, ...changes };
}

async function open(disk: MemoryDisk, changes: Partial<SelfStart> = {}) {
  const options = { files: disk, lock: () => NO_LOCK };
  const { identity, store } = await openOrCreateReplica(FOLDER, start(changes), options);
  return { identity, store };
}

describe('members that start without an operator’s command', () => {
  it('write the same membership, each with its own id, for any order of the seeds', async () => {
    const first = await open(new MemoryDisk());
    const second = await open(new MemoryDisk(), { address: SEEDS[1] as string, seeds: [...SEEDS].reverse() });
    expect(first.identity.initialMembership).to.deep.equal(second.identity.initialMembership);
    expect(first.identity.replica).to.equal(firstReplicaAt(SEEDS[0] as string));
    expect(first.identity.initialMembership?.voters).to.include(second.identity.replica);
    expect(first.identity.initialMembership?.voters).to.have.length(3);
  });

  it('are the same replica after a restart, even with other settings', async () => {
    const disk = new MemoryDisk();
    const { identity } = await open(disk);
    const again = await open(disk, { bootstrap: false, seeds: ['10.9.0.1:7400'] });
    expect(again.identity).to.deep.equal(identity);
  });

  it('join as a new replica after the loss of their disk', async () => {
    const { identity } = await open(new MemoryDisk());
    const wiped = await open(new MemoryDisk(), { bootstrap: false });
    expect(wiped.identity.replica).to.not.equal(identity.replica);
    expect(wiped.identity.initialMembership).to.equal(null);
  });

  it('join if they aren’t among the first members', async () => {
    const { identity } = await open(new MemoryDisk(), { address: '10.4.0.1:7400' });
    expect(identity.initialMembership).to.equal(null);
  });

  it('join as a new replica if the folder holds an incomplete one', async () => {
    const disk = new MemoryDisk();
    await disk.makeFolder(FOLDER);
    const file = await disk.create(`${FOLDER}/log-000000000001.wal`);
    await file.append(Buffer.from('half a log'));
    await file.sync();
    await file.close();
    const { identity } = await open(disk, { bootstrap: false });
    expect(identity.initialMembership).to.equal(null);
  });

  it('join under a new id if the log is damaged', async () => {
    const disk = new MemoryDisk();
    const { identity, store } = await open(disk);
    await store.close();
    const names = (await disk.list(FOLDER)) ?? [];
    const log = names.find((name) => name.endsWith('.wal')) as string;
    const damaged = await disk.create(`${FOLDER}/${log}`);
    await damaged.append(Buffer.from('something else altogether, and long enough to be looked at'));
    await damaged.sync();
    await damaged.close();
    const again = await open(disk);
    expect(again.identity.replica).to.not.equal(identity.replica);
    expect(again.identity.initialMembership).to.equal(null);
  });
});
