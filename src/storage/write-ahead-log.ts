/** The write-ahead log of a replica: a sequence of segment files. Old segments are removed after snapshots. */
import { join } from 'node:path';
import type { HardState, LogEntry } from '../consensus/types.js';
import type { FileSystem } from './file-system.js';
import {
  entryRecord,
  hardStateRecord,
  type LogRecord,
  RECORD_TYPES,
  readEntryIndex,
  readJson,
  type SegmentHeader,
  segmentEndRecord,
  truncateRecord,
} from './log-records.js';
import { LogReplay } from './log-replay.js';
import { type ScannedFile, type StoredRecord, scanRecords } from './record.js';
import type { ReplicaIdentity } from './replica-identity.js';
import { OpenSegment, segmentName, segmentSequences } from './segment.js';
import { readContent, StorageDamagedError } from './storage-error.js';

export const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;
const FIRST_SEQUENCE = 1;
const EMPTY_LOG = {
  sequence: FIRST_SEQUENCE,
  previousBytes: 0,
  hardState: { term: 0, votedFor: null },
  snapshotIndex: 0,
} as const;

/** Changes that are written together. */
export interface LogChange {
  readonly hardState?: HardState | undefined;
  readonly truncateFrom?: number | undefined;
  readonly entries?: readonly LogEntry[] | undefined;
}

/** A segment that is no longer written to. */
interface ClosedSegment {
  readonly sequence: number;
  readonly highestIndex: number;
}

export interface WriteAheadLogOptions {
  readonly files: FileSystem;
  readonly folder: string;
  readonly identity: ReplicaIdentity;
  /** Size from which on a segment is closed and a new one created. */
  readonly segmentBytes: number;
}

/** An opened log with its replayed contents. */
export interface OpenedLog {
  readonly log: WriteAheadLog;
  readonly replay: LogReplay;
}

export class WriteAheadLog {
  #closed: ClosedSegment[];
  #current: OpenSegment;
  #hardState: HardState;
  #snapshotIndex: number;

  private constructor(
    private readonly options: WriteAheadLogOptions,
    initial: {
      readonly closed: ClosedSegment[];
      readonly current: OpenSegment;
      readonly hardState: HardState;
      readonly snapshotIndex: number;
    },
  ) {
    this.#closed = initial.closed;
    this.#current = initial.current;
    this.#hardState = initial.hardState;
    this.#snapshotIndex = initial.snapshotIndex;
  }

  /** Creates the first segment of a new replica. */
  static async create(options: WriteAheadLogOptions): Promise<void> {
    const { cluster, replica } = options.identity;
    const header: SegmentHeader = { cluster, replica, ...EMPTY_LOG };
    const segment = await OpenSegment.create(options.files, options.folder, header);
    await segment.close();
  }

  /** Reads all segments and truncates a torn tail of the last. Throws `StorageDamagedError`. */
  static async open(options: WriteAheadLogOptions, names: readonly string[]): Promise<OpenedLog> {
    const sequences = segmentSequences(names);
    checkSequences(options.folder, sequences);
    const replay = new LogReplay();
    const segments: ReadSegment[] = [];
    for (const sequence of sequences) {
      const { path, scanned } = await scanSegment(options, sequence);
      const segment = readContent(path, () => readSegment(options, sequence, path, scanned));
      readContent(path, () => replaySegment(segment, replay));
      checkPrevious(segments.at(-1), segment);
      segments.push(segment);
    }
    const last = segments.pop() as ReadSegment;
    checkLast(options.folder, last);
    const current = await OpenSegment.reopen(options.files, options.folder, last);
    const { hardState, snapshotIndex } = replay;
    const initial = { closed: segments, current, hardState, snapshotIndex };
    return { log: new WriteAheadLog(options, initial), replay };
  }

  /** Writes changes in order and syncs them together. */
  async write(changes: readonly LogChange[]): Promise<void> {
    const records = changes.flatMap(toRecords);
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

  /** Records that a snapshot is on disk, and removes the segments that it covers. */
  async markSnapshot(lastIndex: number): Promise<void> {
    this.#snapshotIndex = lastIndex;
    await this.#rotate();
    const { files, folder } = this.options;
    while (this.#closed[0] !== undefined && this.#closed[0].highestIndex <= lastIndex) {
      await files.remove(join(folder, segmentName(this.#closed[0].sequence)));
      this.#closed.shift();
    }
    await files.syncFolder(folder);
  }

  close(): Promise<void> {
    return this.#current.close();
  }

  /** Starts a new segment. The old one ends with an end record, so that a lost last segment is detected. */
  async #rotate(): Promise<void> {
    const { files, folder, identity } = this.options;
    const old = this.#current;
    const header: SegmentHeader = {
      cluster: identity.cluster,
      replica: identity.replica,
      sequence: old.sequence + 1,
      previousBytes: old.bytes,
      hardState: this.#hardState,
      snapshotIndex: this.#snapshotIndex,
    };
    this.#current = await OpenSegment.create(files, folder, header);
    await old.append([segmentEndRecord()], 0);
    await old.sync();
    await old.close();
    this.#closed.push({ sequence: old.sequence, highestIndex: old.highestIndex });
  }
}

function toRecords({ hardState, truncateFrom, entries = [] }: LogChange): LogRecord[] {
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

/** A segment read from disk. */
interface ReadSegment extends ClosedSegment {
  readonly path: string;
  readonly header: SegmentHeader;
  readonly records: readonly StoredRecord[];
  readonly goodBytes: number;
}

/** Reads the records of a segment. Throws `StorageDamagedError` if synced ones are invalid. */
async function scanSegment(
  { files, folder }: WriteAheadLogOptions,
  sequence: number,
): Promise<{ readonly path: string; readonly scanned: ScannedFile }> {
  const path = join(folder, segmentName(sequence));
  const scanned = scanRecords(Buffer.from(await files.read(path)));
  if (scanned.damaged) {
    throw new StorageDamagedError(path, `damaged at byte ${scanned.goodBytes}`);
  }
  return { path, scanned };
}

/** Throws `StorageDamagedError` if the segment has no header or belongs to another replica. */
function readSegment(
  { identity }: WriteAheadLogOptions,
  sequence: number,
  path: string,
  { records, goodBytes }: ScannedFile,
): ReadSegment {
  const [first] = records;
  if (first?.type !== RECORD_TYPES.segmentHeader) {
    throw new StorageDamagedError(path, 'has no header');
  }
  const header = readJson<SegmentHeader>(first.payload);
  if (header.cluster !== identity.cluster || header.replica !== identity.replica) {
    throw new StorageDamagedError(path, `belongs to replica ${header.replica} of cluster ${header.cluster}`);
  }
  const entries = records.filter((record) => record.type === RECORD_TYPES.entry);
  const highestIndex = entries.reduce((high, { payload }) => Math.max(high, readEntryIndex(payload)), 0);
  return { path, sequence, header, records, goodBytes, highestIndex };
}

function replaySegment(segment: ReadSegment, replay: LogReplay): void {
  for (const record of segment.records) {
    const problem = replay.apply(record);
    if (problem !== undefined) {
      throw new StorageDamagedError(segment.path, problem);
    }
  }
}

/** Checks that the previous segment still holds all bytes that were synced before the next one was created. */
function checkPrevious(previous: ReadSegment | undefined, { header }: ReadSegment): void {
  if (previous !== undefined && previous.goodBytes < header.previousBytes) {
    throw new StorageDamagedError(previous.path, `damaged at byte ${previous.goodBytes}`);
  }
}

function checkLast(folder: string, { sequence, records }: ReadSegment): void {
  if (records.at(-1)?.type === RECORD_TYPES.segmentEnd) {
    throw new StorageDamagedError(folder, `${segmentName(sequence + 1)} is missing`);
  }
}
