/** Types of the parts of `restructure` in use; the package brings none. */
declare module 'restructure' {
  export class DecodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    readonly length: number;
    pos: number;
    readUInt32BE(): number;
    readBuffer(length: number): Uint8Array;
  }
  export class EncodeStream {
    constructor(buffer: Uint8Array);
    pos: number;
    writeUInt32BE(value: number): void;
    writeBuffer(buffer: Uint8Array): void;
  }
  /** A type of which values are read from and written to bytes. The package doesn't export the class itself. */
  export interface Base<Value> {
    size(value?: Value | null, parent?: unknown): number;
    decode(stream: DecodeStream, parent?: unknown): Value;
    encode(stream: EncodeStream, value: Value, parent?: unknown): void;
    fromBuffer(buffer: Uint8Array): Value;
    toBuffer(value: Value): Uint8Array;
  }
  interface NumberType extends Base<number> {}
  class NumberType {
    constructor(type: string, endian?: 'BE' | 'LE');
  }
  export const uint8: NumberType;
  export const uint16: NumberType;
  export const uint32: NumberType;
  export const double: NumberType;
  /** `length` is a fixed length or the type of the length that stands before the bytes. */
  interface BufferType extends Base<Uint8Array> {}
  class BufferType {
    constructor(length: NumberType | number);
  }
  interface StringType extends Base<string> {}
  class StringType {
    constructor(length: NumberType | number, encoding: 'ascii' | 'utf8');
  }
  interface ArrayType<Item> extends Base<Item[]> {}
  class ArrayType<Item> {
    constructor(type: Base<Item>, length: NumberType | number);
  }
  export type Fields<Value> = { readonly [Key in keyof Value]: Base<Value[Key]> };
  export interface Struct<Value extends object> extends Base<Value> {}
  export class Struct<Value extends object> {
    constructor(fields: Fields<Value>);
  }
  export { ArrayType as Array, BufferType as Buffer, NumberType as Number, StringType as String };
}
