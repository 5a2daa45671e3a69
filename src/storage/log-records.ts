/** Records of the write-ahead log. */
import type { HardState, LogEntry } from '../consensus/types.js';
import type { ClusterId, ReplicaId } from '../model/identifiers.js';

/** Record types. Their numbers are part of the file format and never change. */
export const RECORD_TYPES = {
  segmentHeader: 1,
  hardState: 2,
  truncate: 3,
  entry: 4,
  segmentEnd: 5,
} as const;

const ENTRY_KINDS: readonly LogEntry['kind'][] = ['command', 'membership', 'noop'];
const INDEX_BYTES = 8;
const KIND_OFFSET = 2 * INDEX_BYTES;
const ENTRY_HEADER_BYTES = KIND_OFFSET + 1;

/** First record of each segment. */
export interface SegmentHeader {
  readonly cluster: ClusterId;
  readonly replica: ReplicaId;
  readonly sequence: number;
  /** Synced bytes of the previous segment: it must hold at least that many, and may hold more. */
  readonly previousBytes: number;
  /** Hard state when the segment was created, so that older segments can be removed. */
  readonly hardState: HardState;
  /** Last index of the newest snapshot on disk when the segment was created; 0: none. */
  readonly snapshotIndex: number;
}

/** A record to be written. */
export interface LogRecord {
  readonly type: number;
  readonly payload: Uint8Array;
}

function jsonRecord(type: number, value: unknown): LogRecord {
  return { type, payload: Buffer.from(JSON.stringify(value)) };
}

/** Reads a JSON payload. Its shape isn't validated: the record's checksum guarantees that it is as written. */
export function readJson<Value>(payload: Buffer): Value {
  return JSON.parse(payload.toString('utf8')) as Value;
}

export function segmentHeaderRecord(header: SegmentHeader): LogRecord {
  return jsonRecord(RECORD_TYPES.segmentHeader, header);
}

export function hardStateRecord(hardState: HardState): LogRecord {
  return jsonRecord(RECORD_TYPES.hardState, hardState);
}

/** Last record of a segment that is followed by another one. */
export function segmentEndRecord(): LogRecord {
  return { type: RECORD_TYPES.segmentEnd, payload: new Uint8Array(0) };
}

/** Removes the entries from `index` on. */
export function truncateRecord(index: number): LogRecord {
  const payload = Buffer.alloc(INDEX_BYTES);
  payload.writeBigUInt64BE(BigInt(index));
  return { type: RECORD_TYPES.truncate, payload };
}

export function readTruncate(payload: Buffer): number {
  return Number(payload.readBigUInt64BE());
}

export function entryRecord(entry: LogEntry): LogRecord {
  const payload = Buffer.alloc(ENTRY_HEADER_BYTES + entry.data.length);
  payload.writeBigUInt64BE(BigInt(entry.index));
  payload.writeBigUInt64BE(BigInt(entry.term), INDEX_BYTES);
  payload.writeUInt8(ENTRY_KINDS.indexOf(entry.kind), KIND_OFFSET);
  payload.set(entry.data, ENTRY_HEADER_BYTES);
  return { type: RECORD_TYPES.entry, payload };
}

export function readEntryIndex(payload: Buffer): number {
  return Number(payload.readBigUInt64BE());
}

/** Returns the entry with a copy of its data, so that the file's buffer can be freed; `undefined` for an unknown kind. */
export function readEntry(payload: Buffer): LogEntry | undefined {
  const kind = ENTRY_KINDS[payload.readUInt8(KIND_OFFSET)];
  if (kind === undefined) {
    return undefined;
  }
  return {
    index: readEntryIndex(payload),
    term: Number(payload.readBigUInt64BE(INDEX_BYTES)),
    kind,
    data: new Uint8Array(payload.subarray(ENTRY_HEADER_BYTES)),
  };
}
