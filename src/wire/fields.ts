/** Field types of messages, built on `restructure`. */
import * as restructure from 'restructure';
import { MalformedFrameError } from './wire-error.js';

const VARINT_RANGE = 128;
const MAX_VARINT_BYTES = 8;
const MAX_TEXT_BYTES = 65535;
const textDecoder = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/**
 * Integers from 0 to 2^53 - 1 as LEB128: seven bits per byte, lowest first, with the top bit set if another byte follows. Most
 * values are small, and they make up most of a heartbeat.
 */
class SafeIntegerField implements restructure.FieldType<number> {
  size(value: number): number {
    let bytes = 1;
    for (let rest = Math.floor(value / VARINT_RANGE); rest > 0; rest = Math.floor(rest / VARINT_RANGE)) {
      bytes += 1;
    }
    return bytes;
  }

  decode(stream: restructure.DecodeStream): number {
    let value = 0;
    let scale = 1;
    for (let count = 0; count < MAX_VARINT_BYTES; count += 1) {
      const byte = stream.readUInt8();
      value += (byte % VARINT_RANGE) * scale;
      if (byte < VARINT_RANGE) {
        return checkedInteger(value);
      }
      scale *= VARINT_RANGE;
    }
    throw new MalformedFrameError(`integer of more than ${MAX_VARINT_BYTES} bytes`);
  }

  encode(stream: restructure.EncodeStream, value: number): void {
    let rest = checkedInteger(value);
    while (rest >= VARINT_RANGE) {
      stream.writeUInt8((rest % VARINT_RANGE) + VARINT_RANGE);
      rest = Math.floor(rest / VARINT_RANGE);
    }
    stream.writeUInt8(rest);
  }
}

function checkedInteger(value: number): number {
  if (!Number.isSafeInteger(value) || value < 0) {
    throw new MalformedFrameError(`${value} is not an integer from 0 to 2^53 - 1`);
  }
  return value;
}

/** Bytes preceded by their length in four bytes; a length beyond the frame is an error. */
class BytesField implements restructure.FieldType<Uint8Array> {
  size(value: Uint8Array): number {
    return 4 + value.length;
  }

  decode(stream: restructure.DecodeStream): Uint8Array {
    return readExactly(stream, stream.readUInt32BE());
  }

  encode(stream: restructure.EncodeStream, value: Uint8Array): void {
    stream.writeUInt32BE(value.length);
    stream.writeBuffer(value);
  }
}

/** UTF-8 text of up to 65535 bytes, preceded by its length. */
class TextField implements restructure.FieldType<string> {
  size(value: string): number {
    const length = Buffer.byteLength(value);
    return safeIntegerField.size(length) + length;
  }

  decode(stream: restructure.DecodeStream): string {
    const bytes = readExactly(stream, safeIntegerField.decode(stream));
    return decodeText(bytes);
  }

  encode(stream: restructure.EncodeStream, value: string): void {
    const bytes = Buffer.from(value);
    if (bytes.length > MAX_TEXT_BYTES) {
      throw new MalformedFrameError(`text of ${bytes.length} bytes is above ${MAX_TEXT_BYTES} bytes`);
    }
    safeIntegerField.encode(stream, bytes.length);
    stream.writeBuffer(bytes);
  }
}

/** A boolean in one byte, 0 or 1. */
class FlagField implements restructure.FieldType<boolean> {
  size(): number {
    return 1;
  }

  decode(stream: restructure.DecodeStream): boolean {
    const value = restructure.uint8.decode(stream);
    if (value > 1) {
      throw new MalformedFrameError(`${value} is not a boolean`);
    }
    return value === 1;
  }

  encode(stream: restructure.EncodeStream, value: boolean): void {
    restructure.uint8.encode(stream, value ? 1 : 0);
  }
}

/** One of a fixed list of words, encoded as its index. */
class ChoiceField<Word extends string> implements restructure.FieldType<Word> {
  constructor(private readonly words: readonly Word[]) {}

  size(): number {
    return 1;
  }

  decode(stream: restructure.DecodeStream): Word {
    const index = restructure.uint8.decode(stream);
    const word = this.words[index];
    if (word === undefined) {
      throw new MalformedFrameError(`${index} is none of ${this.words.length} choices`);
    }
    return word;
  }

  encode(stream: restructure.EncodeStream, value: Word): void {
    restructure.uint8.encode(stream, this.words.indexOf(value));
  }
}

/**
 * A nested value as JSON text. Its sender has proved that it belongs to the cluster, so the shape isn't validated.
 * `restructure` calls `size` several times before `encode`, so the text is cached until it is written.
 */
class JsonField<Value> implements restructure.FieldType<Value> {
  private encodedValue: Value | undefined;
  private encodedBytes: Uint8Array | undefined;

  size(value: Value): number {
    if (this.encodedBytes === undefined || this.encodedValue !== value) {
      this.encodedValue = value;
      this.encodedBytes = Buffer.from(JSON.stringify(value));
    }
    return 4 + this.encodedBytes.length;
  }

  decode(stream: restructure.DecodeStream): Value {
    const text = decodeText(readExactly(stream, stream.readUInt32BE()));
    try {
      return JSON.parse(text) as Value;
    } catch (thrown) {
      throw new MalformedFrameError('nested value is not JSON', thrown as Error);
    }
  }

  encode(stream: restructure.EncodeStream, value: Value): void {
    const isCached = this.encodedValue === value && this.encodedBytes !== undefined;
    const bytes = isCached ? (this.encodedBytes as Uint8Array) : Buffer.from(JSON.stringify(value));
    this.encodedValue = undefined;
    this.encodedBytes = undefined;
    bytesField.encode(stream, bytes);
  }
}

/** Reads exactly `length` bytes; `restructure` would return fewer at the end of a frame. */
function readExactly(stream: restructure.DecodeStream, length: number): Uint8Array {
  const left = stream.length - stream.pos;
  if (length > left) {
    throw new MalformedFrameError(`field of ${length} bytes in a frame with ${left} bytes left`);
  }
  return stream.readBuffer(length);
}

function decodeText(bytes: Uint8Array): string {
  try {
    return textDecoder.decode(bytes);
  } catch (thrown) {
    throw new MalformedFrameError('text is not UTF-8', thrown as Error);
  }
}

const bytesField = new BytesField();
const safeIntegerField = new SafeIntegerField();

export const safeInteger: restructure.FieldType<number> = safeIntegerField;
export const bytes: restructure.FieldType<Uint8Array> = bytesField;
export const text: restructure.FieldType<string> = new TextField();
export const flag: restructure.FieldType<boolean> = new FlagField();
export const uint8: restructure.FieldType<number> = restructure.uint8;
/** Any number, including fractions. */
export const real: restructure.FieldType<number> = restructure.double;

/** Exactly `length` bytes. */
export function fixedBytes(length: number): restructure.FieldType<Uint8Array> {
  return new restructure.Buffer(length);
}

export function choice<Word extends string>(words: readonly Word[]): restructure.FieldType<Word> {
  return new ChoiceField(words);
}

export function json<Value>(): restructure.FieldType<Value> {
  return new JsonField<Value>();
}

/** A list preceded by its number of items. */
export function list<Item>(item: restructure.FieldType<Item>): restructure.FieldType<Item[]> {
  return new restructure.Array(item, restructure.uint32);
}
