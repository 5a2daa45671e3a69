/** A data folder on an in-memory disk, and entries and snapshots to write into it. */
import type { LogEntry, RestoredState, Snapshot } from '../../src/consensus/types.js';
import { MemoryDisk } from '../../src/dev/disk/memory-disk.js';
import { createReplica, type OpenedStore, openReplica } from '../../src/storage/index.js';

export const FOLDER = '/data';
export const FIRST_SEGMENT = `${FOLDER}/log-000000000001.wal`;
export const SEGMENT_BYTES = 600;
const NO_LOCK = { release: () => {} };
const MEMBERSHIP = { voters: ['a'], outgoingVoters: [], learners: [], addresses: { a: '127.0.0.1:1' } };

export function open(files: MemoryDisk, cluster = 'demo'): Promise<OpenedStore> {
  return openReplica(FOLDER, cluster, { files, lock: () => NO_LOCK, segmentBytes: SEGMENT_BYTES });
}

export async function newDisk(): Promise<MemoryDisk> {
  const files = new MemoryDisk();
  await createReplica(FOLDER, { cluster: 'demo', address: '127.0.0.1:1', role: 'joining' }, { files });
  return files;
}

export function entry(index: number, term = 1): LogEntry {
  return { index, term, kind: 'command', data: Buffer.from(`entry ${index} of term ${term}`) };
}

export function snapshot(lastIndex: number, lastTerm = 1): Snapshot {
  const data = Buffer.from(`state after ${lastIndex}`);
  return { lastIndex, lastTerm, membership: MEMBERSHIP, data };
}

/** Returns a state with its bytes as text, so that comparisons ignore the type of the byte arrays. */
export function plain({ hardState, snapshot: found, entries }: RestoredState): unknown {
  const text = (data: Uint8Array): string => Buffer.from(data).toString('utf8');
  return {
    hardState,
    snapshot: found === null ? null : { ...found, data: text(found.data) },
    entries: entries.map((item) => ({ ...item, data: text(item.data) })),
  };
}
