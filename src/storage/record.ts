/**
 * Records of storage files: a header of 24 bytes and a payload, padded to 8 bytes.
 *
 * | bytes | what |
 * |---|---|
 * | 0-3 | mark `TMR1` |
 * | 4-7 | length of the payload |
 * | 8-11 | CRC-32 of bytes 4-7, 12-23 and the payload |
 * | 12-15 | type |
 * | 16-23 | bytes of the file that were synced when the record was written |
 *
 * The synced length tells a torn tail from damage: a bad record that a later good one counts as synced is damage.
 */
import { crc32 } from 'node:zlib';

const MARK = 0x544d5231;
const HEADER_BYTES = 24;
const ALIGNMENT = 8;
const LENGTH_OFFSET = 4;
const CRC_OFFSET = 8;
const TYPE_OFFSET = 12;
const SYNCED_OFFSET = 16;

/** A record as it was read. */
export interface StoredRecord {
  readonly type: number;
  readonly payload: Buffer;
  /** Bytes of the file that were synced when this was written. */
  readonly syncedBytes: number;
  /** Where the next record starts. */
  readonly end: number;
}

function checksum(header: Buffer, payload: Uint8Array): number {
  const length = crc32(header.subarray(LENGTH_OFFSET, CRC_OFFSET));
  return crc32(payload, crc32(header.subarray(TYPE_OFFSET, HEADER_BYTES), length));
}

function paddedLength(payloadBytes: number): number {
  return Math.ceil((HEADER_BYTES + payloadBytes) / ALIGNMENT) * ALIGNMENT;
}

/** Bytes of a record; `syncedBytes`: those of its file that are synced already. */
export function encodeRecord(type: number, payload: Uint8Array, syncedBytes: number): Buffer {
  const record = Buffer.alloc(paddedLength(payload.length));
  const header = record.subarray(0, HEADER_BYTES);
  header.writeUInt32BE(MARK, 0);
  header.writeUInt32BE(payload.length, LENGTH_OFFSET);
  header.writeUInt32BE(type, TYPE_OFFSET);
  header.writeBigUInt64BE(BigInt(syncedBytes), SYNCED_OFFSET);
  header.writeUInt32BE(checksum(header, payload), CRC_OFFSET);
  record.set(payload, HEADER_BYTES);
  return record;
}

/** The whole record at `offset`; `undefined` if there is none, or a damaged one. */
export function readRecord(file: Buffer, offset: number): StoredRecord | undefined {
  if (offset + HEADER_BYTES > file.length || file.readUInt32BE(offset) !== MARK) {
    return undefined;
  }
  const header = file.subarray(offset, offset + HEADER_BYTES);
  const length = header.readUInt32BE(LENGTH_OFFSET);
  const end = offset + paddedLength(length);
  if (end > file.length) {
    return undefined;
  }
  const payload = file.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length);
  if (checksum(header, payload) !== header.readUInt32BE(CRC_OFFSET)) {
    return undefined;
  }
  return {
    type: header.readUInt32BE(TYPE_OFFSET),
    payload,
    syncedBytes: Number(header.readBigUInt64BE(SYNCED_OFFSET)),
    end,
  };
}

/** What a file holds up to its first bad record. */
export interface ScannedFile {
  readonly records: readonly StoredRecord[];
  /** Length of the good part. */
  readonly goodBytes: number;
  /** Whether a later record proves that the bad one had been synced, so that more than a torn tail is gone. */
  readonly damaged: boolean;
}

/** Reads records from the start until one is bad or the file ends. */
export function scanRecords(file: Buffer): ScannedFile {
  const records: StoredRecord[] = [];
  let offset = 0;
  for (let record = readRecord(file, 0); record !== undefined; record = readRecord(file, offset)) {
    records.push(record);
    offset = record.end;
  }
  return { records, goodBytes: offset, damaged: hasSyncedRecordAfter(file, offset) };
}

function hasSyncedRecordAfter(file: Buffer, badOffset: number): boolean {
  for (let offset = badOffset + ALIGNMENT; offset + HEADER_BYTES <= file.length; offset += ALIGNMENT) {
    const record = readRecord(file, offset);
    if (record !== undefined && record.syncedBytes > badOffset) {
      return true;
    }
  }
  return false;
}
