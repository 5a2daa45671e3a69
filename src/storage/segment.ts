/** One file of the write-ahead log. */
import { join } from 'node:path';
import type { FileSystem, WritableFile } from './file-system.js';
import { type LogRecord, type SegmentHeader, segmentHeaderRecord } from './log-records.js';
import { encodeRecord } from './record.js';
import { replaceFile } from './replace-file.js';

const NAME_PATTERN = /^log-(\d{12})\.wal$/;
const SEQUENCE_DIGITS = 12;

/** Returns the file name of a segment. */
export function segmentName(sequence: number): string {
  return `log-${String(sequence).padStart(SEQUENCE_DIGITS, '0')}.wal`;
}

/** Returns the sequence numbers of the segments among a folder's names, in ascending order. */
export function segmentSequences(names: readonly string[]): number[] {
  return names
    .map((name) => NAME_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((left, right) => left - right);
}

/** A segment that is open for appending. */
export class OpenSegment {
  #syncedBytes: number;
  #bytes: number;

  private constructor(
    readonly sequence: number,
    private readonly file: WritableFile,
    bytes: number,
    /** Highest index of any entry ever written to the segment. */
    private lastIndex: number,
  ) {
    this.#bytes = bytes;
    this.#syncedBytes = bytes;
  }

  /** Creates a segment with its header, atomically. */
  static async create(files: FileSystem, folder: string, header: SegmentHeader): Promise<OpenSegment> {
    const path = join(folder, segmentName(header.sequence));
    const { type, payload } = segmentHeaderRecord(header);
    const bytes = encodeRecord(type, payload, 0);
    await replaceFile(files, path, [bytes]);
    return new OpenSegment(header.sequence, await files.openToAppend(path), bytes.length, 0);
  }

  /** Reopens a segment whose first `goodBytes` are valid, and truncates the rest. */
  static async reopen(
    files: FileSystem,
    folder: string,
    found: { readonly sequence: number; readonly goodBytes: number; readonly highestIndex: number },
  ): Promise<OpenSegment> {
    const file = await files.openToAppend(join(folder, segmentName(found.sequence)));
    await file.truncate(found.goodBytes);
    await file.sync();
    return new OpenSegment(found.sequence, file, found.goodBytes, found.highestIndex);
  }

  get bytes(): number {
    return this.#bytes;
  }

  get highestIndex(): number {
    return this.lastIndex;
  }

  /** Appends records in one write. `lastIndex` is the highest index among their entries, 0 if there are none. */
  async append(records: readonly LogRecord[], lastIndex: number): Promise<void> {
    const pieces = records.map(({ type, payload }) => encodeRecord(type, payload, this.#syncedBytes));
    const bytes = Buffer.concat(pieces);
    this.lastIndex = Math.max(this.lastIndex, lastIndex);
    this.#bytes += bytes.length;
    await this.file.append(bytes);
  }

  async sync(): Promise<void> {
    const bytes = this.#bytes;
    await this.file.sync();
    this.#syncedBytes = bytes;
  }

  close(): Promise<void> {
    return this.file.close();
  }
}
