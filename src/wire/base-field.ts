/** Base of the project's own field types: `restructure` has such a class but its module doesn't export it. */
import * as restructure from 'restructure';

export abstract class BaseField<Value> implements restructure.Base<Value> {
  abstract size(value?: Value | null, parent?: unknown): number;
  abstract decode(stream: restructure.DecodeStream, parent?: unknown): Value;
  abstract encode(stream: restructure.EncodeStream, value: Value, parent?: unknown): void;

  fromBuffer(buffer: Uint8Array): Value {
    return this.decode(new restructure.DecodeStream(buffer));
  }

  toBuffer(value: Value): Uint8Array {
    const buffer = new Uint8Array(this.size(value));
    this.encode(new restructure.EncodeStream(buffer), value);
    return buffer;
  }
}
