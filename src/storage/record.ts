/**
 * Record format of storage files: a header of 24 bytes and a payload, padded to a multiple of 8 bytes.
 *
 * | bytes | content |
 * |---|---|
 * | 0-3 | magic number `TMR1` |
 * | 4-7 | payload length |
 * | 8-11 | CRC-32 of bytes 4-7, 12-23 and the payload |
 * | 12-15 | type |
 * | 16-23 | synced bytes of the file when the record was written |
 *
 * The synced length distinguishes a torn tail from damage: an invalid record is damage if a later valid record counts it
 * as synced.
 */
import { crc32 } from 'node:zlib';

const MAGIC = 0x544d5231;
const HEADER_BYTES = 24;
const ALIGNMENT = 8;
const LENGTH_OFFSET = 4;
const CRC_OFFSET = 8;
const TYPE_OFFSET = 12;
const SYNCED_OFFSET = 16;

/** A record read from a file. */
export interface StoredRecord {
  readonly type: number;
  readonly payload: Buffer;
  /** Synced bytes of the file when the record was written. */
  readonly syncedBytes: number;
  /** Offset of the next record. */
  readonly end: number;
}

function checksum(header: Buffer, payload: Uint8Array): number {
  const length = crc32(header.subarray(LENGTH_OFFSET, CRC_OFFSET));
  return crc32(payload, crc32(header.subarray(TYPE_OFFSET, HEADER_BYTES), length));
}

function paddedLength(payloadBytes: number): number {
  return Math.ceil((HEADER_BYTES + payloadBytes) / ALIGNMENT) * ALIGNMENT;
}

/** Encodes a record. `syncedBytes` is the number of bytes of its file that are synced so far. */
export function encodeRecord(type: number, payload: Uint8Array, syncedBytes: number): Buffer {
  const record = Buffer.alloc(paddedLength(payload.length));
  const header = record.subarray(0, HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeUInt32BE(payload.length, LENGTH_OFFSET);
  header.writeUInt32BE(type, TYPE_OFFSET);
  header.writeBigUInt64BE(BigInt(syncedBytes), SYNCED_OFFSET);
  header.writeUInt32BE(checksum(header, payload), CRC_OFFSET);
  record.set(payload, HEADER_BYTES);
  return record;
}

/** Returns the record at `offset`; `undefined` if it is missing, incomplete or damaged. */
export function readRecord(file: Buffer, offset: number): StoredRecord | undefined {
  if (offset + HEADER_BYTES > file.length || file.readUInt32BE(offset) !== MAGIC) {
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

/** The contents of a file up to its first invalid record. */
export interface ScannedFile {
  readonly records: readonly StoredRecord[];
  /** Length of the valid part. */
  readonly goodBytes: number;
  /** Whether a later record proves that the invalid one was synced, so that the loss is more than a torn tail. */
  readonly damaged: boolean;
}

/** Reads records from the start up to the first invalid one or the end of the file. */
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
