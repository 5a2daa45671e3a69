/** Snapshots of a replica, one file each; only the newest is used. */
import { join } from 'node:path';
import type { Snapshot } from '../consensus/types.js';
import type { FileSystem } from './file-system.js';
import { readJson } from './log-records.js';
import { encodeRecord, scanRecords } from './record.js';
import { replaceFile } from './replace-file.js';
import type { ReplicaIdentity } from './replica-identity.js';
import { readContent, StorageDamagedError } from './storage-error.js';

const NAME_PATTERN = /^snapshot-(\d{16})\.snap$/;
const INDEX_DIGITS = 16;
const RECORD_TYPES = { facts: 1, data: 2 } as const;
const CHUNK_BYTES = 1024 * 1024;

/** First record of a snapshot file. */
interface SnapshotInfo extends Omit<Snapshot, 'data'> {
  readonly cluster: string;
  readonly replica: string;
  readonly dataBytes: number;
}

function snapshotName(lastIndex: number): string {
  return `snapshot-${String(lastIndex).padStart(INDEX_DIGITS, '0')}.snap`;
}

function snapshotIndexes(names: readonly string[]): number[] {
  return names
    .map((name) => NAME_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((left, right) => left - right);
}

export class SnapshotStore {
  constructor(
    private readonly files: FileSystem,
    private readonly folder: string,
    private readonly identity: ReplicaIdentity,
  ) {}

  /** Returns the newest snapshot, or `null` if there is none. Throws `StorageDamagedError`. */
  async load(names: readonly string[]): Promise<Snapshot | null> {
    const newest = snapshotIndexes(names).at(-1);
    return newest === undefined ? null : this.#read(newest);
  }

  /** Writes a snapshot to disk; resolves once it is synced. */
  async save(snapshot: Snapshot): Promise<void> {
    const path = join(this.folder, snapshotName(snapshot.lastIndex));
    await replaceFile(this.files, path, this.#encode(snapshot));
  }

  /** Removes the snapshots before `lastIndex`. */
  async dropBefore(lastIndex: number): Promise<void> {
    const names = (await this.files.list(this.folder)) ?? [];
    for (const index of snapshotIndexes(names).filter((found) => found < lastIndex)) {
      await this.files.remove(join(this.folder, snapshotName(index)));
    }
  }

  #encode({ data, ...rest }: Snapshot): Buffer[] {
    const { cluster, replica } = this.identity;
    const facts: SnapshotInfo = { ...rest, cluster, replica, dataBytes: data.length };
    const parts = [encodeRecord(RECORD_TYPES.facts, Buffer.from(JSON.stringify(facts)), 0)];
    for (let offset = 0; offset < data.length; offset += CHUNK_BYTES) {
      parts.push(encodeRecord(RECORD_TYPES.data, data.subarray(offset, offset + CHUNK_BYTES), 0));
    }
    return parts;
  }

  async #read(lastIndex: number): Promise<Snapshot> {
    const path = join(this.folder, snapshotName(lastIndex));
    const file = Buffer.from(await this.files.read(path));
    const { records, goodBytes } = scanRecords(file);
    const [first, ...chunks] = records;
    if (first?.type !== RECORD_TYPES.facts || goodBytes !== file.length) {
      throw new StorageDamagedError(path, `damaged at byte ${goodBytes}`);
    }
    const info = readContent(path, () => ({ ...readJson<SnapshotInfo>(first.payload) }));
    const { cluster, replica, dataBytes, ...rest } = info;
    if (cluster !== this.identity.cluster || replica !== this.identity.replica) {
      throw new StorageDamagedError(path, `belongs to replica ${replica} of cluster ${cluster}`);
    }
    const data = new Uint8Array(Buffer.concat(chunks.map((chunk) => chunk.payload)));
    if (data.length !== dataBytes || rest.lastIndex !== lastIndex) {
      throw new StorageDamagedError(path, 'is incomplete');
    }
    return { ...rest, data };
  }
}
