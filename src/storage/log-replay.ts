/** Builds the log again from the records of its segments. */
import type { HardState, LogEntry } from '../consensus/types.js';
import { RECORD_TYPES, readEntry, readJson, readTruncate, type SegmentHeader } from './log-records.js';
import type { StoredRecord } from './record.js';

export class LogReplay {
  hardState: HardState = { term: 0, votedFor: null };
  /** Last index of the newest snapshot that the log speaks of; 0: none. */
  snapshotIndex = 0;
  readonly entries: LogEntry[] = [];

  /** Takes the next record. Gives what is wrong with it, if anything is. */
  take(record: StoredRecord): string | undefined {
    switch (record.type) {
      case RECORD_TYPES.segmentHeader:
        this.#begin(readJson<SegmentHeader>(record.payload));
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

  /** Entries after a snapshot; `undefined` if some between are missing. */
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

  /** Drops what the snapshot covers, so that a log which goes on after an installed snapshot has no gap. */
  #begin({ hardState, snapshotIndex }: SegmentHeader): void {
    this.hardState = hardState;
    this.snapshotIndex = snapshotIndex;
    const kept = this.entries.filter((entry) => entry.index > snapshotIndex);
    this.entries.splice(0, this.entries.length, ...kept);
  }
}
