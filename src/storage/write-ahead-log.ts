/** The write-ahead log of a replica: segment files, one after the other, of which old ones are dropped after snapshots. */
import { join } from 'node:path';
import type { HardState, LogEntry } from '../consensus/types.js';
import type { FileSystem } from './file-system.js';
import {
  entryRecord,
  hardStateRecord,
  type LogRecord,
  RECORD_TYPES,
  readEntry,
  readJson,
  type SegmentHeader,
  type SnapshotMark,
  segmentEndRecord,
  snapshotMarkRecord,
  truncateRecord,
} from './log-records.js';
import { LogReplay } from './log-replay.js';
import { type ScannedFile, scanRecords } from './record.js';
import type { ReplicaIdentity } from './replica-identity.js';
import { OpenSegment, segmentName, segmentSequences } from './segment.js';
import { StorageDamagedError } from './storage-error.js';

export const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;
const FIRST_SEQUENCE = 1;
const NO_HARD_STATE: HardState = { term: 0, votedFor: null };

/** What is written together. */
export interface LogChange {
  readonly hardState?: HardState | undefined;
  readonly truncateFrom?: number | undefined;
  readonly entries?: readonly LogEntry[] | undefined;
}

/** A segment that takes no more records. */
interface ClosedSegment {
  readonly sequence: number;
  readonly highestIndex: number;
}

export interface WriteAheadLogOptions {
  readonly files: FileSystem;
  readonly folder: string;
  readonly identity: ReplicaIdentity;
  /** A new segment is begun once one is this long. */
  readonly segmentBytes: number;
}

/** A log as it was found. */
export interface OpenedLog {
  readonly log: WriteAheadLog;
  readonly replay: LogReplay;
}

export class WriteAheadLog {
  #closed: ClosedSegment[];
  #current: OpenSegment;
  #hardState: HardState;

  private constructor(
    private readonly options: WriteAheadLogOptions,
    found: {
      readonly closed: ClosedSegment[];
      readonly current: OpenSegment;
      readonly hardState: HardState;
    },
  ) {
    this.#closed = found.closed;
    this.#current = found.current;
    this.#hardState = found.hardState;
  }

  /** Makes the first segment of a new replica. */
  static async create(options: WriteAheadLogOptions): Promise<void> {
    const header = segmentHeader(options, FIRST_SEQUENCE, NO_HARD_STATE);
    const segment = await OpenSegment.create(options.files, options.folder, header);
    await segment.close();
  }

  /** Reads all segments, and cuts a torn tail off the last. Throws `StorageDamagedError`. */
  static async open(options: WriteAheadLogOptions, names: readonly string[]): Promise<OpenedLog> {
    const sequences = segmentSequences(names);
    checkSequences(options.folder, sequences);
    const replay = new LogReplay();
    const segments: (ClosedSegment & { readonly goodBytes: number })[] = [];
    for (const sequence of sequences) {
      const scanned = await readSegment(options, sequence, sequence === sequences.at(-1));
      const highestIndex = replaySegment(options, sequence, scanned, replay);
      segments.push({ sequence, highestIndex, goodBytes: scanned.goodBytes });
    }
    const last = segments.pop() as (typeof segments)[number];
    const current = await OpenSegment.reopen(options.files, options.folder, {
      ...last,
      lastIndex: last.highestIndex,
    });
    const found = { closed: segments, current, hardState: replay.hardState };
    return { log: new WriteAheadLog(options, found), replay };
  }

  /** Writes changes in order and syncs them together. */
  async write(changes: readonly LogChange[]): Promise<void> {
    const records = changes.flatMap(recordsOf);
    if (records.length === 0) {
      return;
    }
    const indexes = changes.map((change) => change.entries?.at(-1)?.index ?? 0);
    await this.#current.append(records, Math.max(...indexes));
    await this.#current.sync();
    this.#hardState = changes.findLast((change) => change.hardState)?.hardState ?? this.#hardState;
    if (this.#current.bytes >= this.options.segmentBytes) {
      await this.#rotate();
    }
  }

  /** Notes that a snapshot is on disk, and drops the segments that it makes needless. */
  async markSnapshot(mark: SnapshotMark): Promise<void> {
    await this.#current.append([snapshotMarkRecord(mark)], 0);
    await this.#current.sync();
    await this.#rotate();
    const { files, folder } = this.options;
    while (this.#closed[0] !== undefined && this.#closed[0].highestIndex <= mark.lastIndex) {
      await files.remove(join(folder, segmentName(this.#closed[0].sequence)));
      this.#closed.shift();
    }
    await files.syncFolder(folder);
  }

  close(): Promise<void> {
    return this.#current.close();
  }

  /** The old segment says that another one follows, so that a lost last segment is noticed. */
  async #rotate(): Promise<void> {
    const { files, folder } = this.options;
    const old = this.#current;
    const header = segmentHeader(this.options, old.sequence + 1, this.#hardState);
    this.#current = await OpenSegment.create(files, folder, header);
    await old.append([segmentEndRecord()], 0);
    await old.sync();
    await old.close();
    this.#closed.push({ sequence: old.sequence, highestIndex: old.highestIndex });
  }
}

function segmentHeader(
  { identity }: WriteAheadLogOptions,
  sequence: number,
  hardState: HardState,
): SegmentHeader {
  return { cluster: identity.cluster, replica: identity.replica, sequence, hardState };
}

function recordsOf({ hardState, truncateFrom, entries = [] }: LogChange): LogRecord[] {
  return [
    ...(hardState === undefined ? [] : [hardStateRecord(hardState)]),
    ...(truncateFrom === undefined ? [] : [truncateRecord(truncateFrom)]),
    ...entries.map(entryRecord),
  ];
}

function checkSequences(folder: string, sequences: readonly number[]): void {
  const [first] = sequences;
  if (first === undefined) {
    throw new StorageDamagedError(folder, 'there is no log');
  }
  sequences.forEach((sequence, position) => {
    if (sequence !== first + position) {
      throw new StorageDamagedError(folder, `${segmentName(first + position)} is missing`);
    }
  });
}

async function readSegment(
  { files, folder }: WriteAheadLogOptions,
  sequence: number,
  isLast: boolean,
): Promise<ScannedFile> {
  const path = join(folder, segmentName(sequence));
  const file = Buffer.from(await files.read(path));
  const scanned = scanRecords(file);
  const hasTail = scanned.goodBytes < file.length;
  if (scanned.damaged || (hasTail && !isLast)) {
    throw new StorageDamagedError(path, `damaged at byte ${scanned.goodBytes}`);
  }
  if (isLast && scanned.records.at(-1)?.type === RECORD_TYPES.segmentEnd) {
    throw new StorageDamagedError(folder, `${segmentName(sequence + 1)} is missing`);
  }
  return scanned;
}

/** Gives the highest index of an entry in the segment. */
function replaySegment(
  { folder, identity }: WriteAheadLogOptions,
  sequence: number,
  { records }: ScannedFile,
  replay: LogReplay,
): number {
  const path = join(folder, segmentName(sequence));
  const [first] = records;
  if (first?.type !== RECORD_TYPES.segmentHeader) {
    throw new StorageDamagedError(path, 'has no header');
  }
  const header = readJson<SegmentHeader>(first.payload);
  if (header.cluster !== identity.cluster || header.replica !== identity.replica) {
    throw new StorageDamagedError(path, `is of replica ${header.replica} of cluster ${header.cluster}`);
  }
  let highestIndex = 0;
  for (const record of records) {
    const problem = replay.take(record);
    if (problem !== undefined) {
      throw new StorageDamagedError(path, problem);
    }
    if (record.type === RECORD_TYPES.entry) {
      highestIndex = Math.max(highestIndex, readEntry(record.payload)?.index ?? 0);
    }
  }
  return highestIndex;
}
