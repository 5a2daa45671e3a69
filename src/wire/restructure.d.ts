/** Types of the used parts of `restructure`, which has no type declarations. */
declare module 'restructure' {
  export class DecodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    readonly length: number;
    pos: number;
    readUInt8(): number;
    readUInt16BE(): number;
    readUInt32BE(): number;
    readFloatBE(): number;
    readBuffer(length: number): Uint8Array;
  }
  export class EncodeStream {
    constructor(buffer: Uint8Array);
    pos: number;
    writeUInt8(value: number): void;
    writeUInt16BE(value: number): void;
    writeUInt32BE(value: number): void;
    writeFloatBE(value: number): void;
    writeBuffer(buffer: Uint8Array): void;
  }
  /** A type that decodes and encodes values; the package accepts any object of this shape. */
  export interface FieldType<Value> {
    size(value?: Value | null, parent?: unknown): number;
    decode(stream: DecodeStream, parent?: unknown): Value;
    encode(stream: EncodeStream, value: Value, parent?: unknown): void;
  }
  /** Base class of the package's types, which it doesn't export. */
  abstract class BuiltInType<Value> implements FieldType<Value> {
    size(value?: Value | null, parent?: unknown): number;
    decode(stream: DecodeStream, parent?: unknown): Value;
    encode(stream: EncodeStream, value: Value, parent?: unknown): void;
    fromBuffer(buffer: Uint8Array): Value;
    toBuffer(value: Value): Uint8Array;
  }
  class NumberType extends BuiltInType<number> {
    constructor(type: string, endian?: 'BE' | 'LE');
  }
  export const uint8: NumberType;
  export const uint16: NumberType;
  export const uint32: NumberType;
  export const double: NumberType;
  /** `length` is a fixed length or the type of the length that precedes the bytes. */
  class BufferType extends BuiltInType<Uint8Array> {
    constructor(length: NumberType | number);
  }
  class StringType extends BuiltInType<string> {
    constructor(length: NumberType | number, encoding: 'ascii' | 'utf8');
  }
  class ArrayType<Item> extends BuiltInType<Item[]> {
    constructor(type: FieldType<Item>, length: NumberType | number);
  }
  export type Fields<Value> = { readonly [Key in keyof Value]: FieldType<Value[Key]> };
  export class Struct<Value extends object> extends BuiltInType<Value> {
    constructor(fields: Fields<Value>);
  }
  export { ArrayType as Array, BufferType as Buffer, NumberType as Number, StringType as String };
}
