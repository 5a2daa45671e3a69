/** Rebuilds the log from the records of its segments. */
import type { HardState, LogEntry } from '../consensus/types.js';
import { RECORD_TYPES, readEntry, readJson, readTruncate, type SegmentHeader } from './log-records.js';
import type { StoredRecord } from './record.js';

export class LogReplay {
  hardState: HardState = { term: 0, votedFor: null };
  /** Last index of the newest snapshot recorded in the log; 0: none. */
  snapshotIndex = 0;
  readonly entries: LogEntry[] = [];

  /** Applies the next record. Returns a description of the problem if the record is invalid. */
  apply(record: StoredRecord): string | undefined {
    switch (record.type) {
      case RECORD_TYPES.segmentHeader:
        this.#beginSegment(readJson<SegmentHeader>(record.payload));
        return undefined;
      case RECORD_TYPES.hardState:
        this.hardState = readJson<HardState>(record.payload);
        return undefined;
      case RECORD_TYPES.truncate:
        this.#truncate(readTruncate(record.payload));
        return undefined;
      case RECORD_TYPES.entry:
        return this.#append(readEntry(record.payload));
      case RECORD_TYPES.segmentEnd:
        return undefined;
      default:
        return `record of unknown type ${record.type}`;
    }
  }

  /** Returns the entries after a snapshot; `undefined` if the log doesn't continue directly after it. */
  entriesAfter(lastIndex: number): readonly LogEntry[] | undefined {
    const entries = this.entries.filter((entry) => entry.index > lastIndex);
    const [first] = entries;
    return first === undefined || first.index === lastIndex + 1 ? entries : undefined;
  }

  #truncate(index: number): void {
    while ((this.entries.at(-1)?.index ?? 0) >= index) {
      this.entries.pop();
    }
  }

  #append(entry: LogEntry | undefined): string | undefined {
    if (entry === undefined) {
      return 'entry of unknown kind';
    }
    const last = this.entries.at(-1);
    if (last !== undefined && entry.index !== last.index + 1) {
      return `entry ${entry.index} follows entry ${last.index}`;
    }
    this.entries.push(entry);
    return undefined;
  }

  /** Drops the entries that the snapshot covers, so that a log that continues after an installed snapshot has no gap. */
  #beginSegment({ hardState, snapshotIndex }: SegmentHeader): void {
    this.hardState = hardState;
    this.snapshotIndex = snapshotIndex;
    const kept = this.entries.filter((entry) => entry.index > snapshotIndex);
    this.entries.splice(0, this.entries.length, ...kept);
  }
}
