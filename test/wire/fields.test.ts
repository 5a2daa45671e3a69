/** Integers and texts are encoded in the fewest bytes, and `size` returns that number. */
import { expect } from 'chai';
import fc from 'fast-check';
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import { safeInteger, text } from '../../src/wire/fields.js';
import { MalformedFrameError } from '../../src/wire/index.js';

const PARAMETERS = { seed: 11, numRuns: 500 };

function encoded<Value>(field: FieldType<Value>, value: Value): Uint8Array {
  const bytes = new Uint8Array(field.size(value));
  field.encode(new EncodeStream(bytes), value);
  return bytes;
}

describe('fields of messages', () => {
  const sizes: readonly (readonly [number, number])[] = [
    [0, 1],
    [127, 1],
    [128, 2],
    [16_383, 2],
    [16_384, 3],
    [2 ** 32, 5],
    [Number.MAX_SAFE_INTEGER, 8],
  ];
  for (const [value, bytes] of sizes) {
    it(`${value} takes ${bytes} bytes`, () => {
      expect(encoded(safeInteger, value).length).to.equal(bytes);
    });
  }

  it('integers survive encoding and decoding', () => {
    fc.assert(
      fc.property(fc.nat(Number.MAX_SAFE_INTEGER), (value) => {
        expect(safeInteger.decode(new DecodeStream(encoded(safeInteger, value)))).to.equal(value);
      }),
      PARAMETERS,
    );
  });

  it('texts survive encoding and decoding', () => {
    fc.assert(
      fc.property(fc.string({ unit: 'binary', maxLength: 300 }), (value) => {
        expect(text.decode(new DecodeStream(encoded(text, value)))).to.equal(value);
      }),
      PARAMETERS,
    );
  });

  const malformed: readonly (readonly [string, number[]])[] = [
    ['an integer without an end', [128, 128, 128, 128, 128, 128, 128, 128, 1]],
    ['an integer above 2^53 - 1', [255, 255, 255, 255, 255, 255, 255, 127]],
  ];
  for (const [name, bytes] of malformed) {
    it(`${name} is malformed`, () => {
      expect(() => safeInteger.decode(new DecodeStream(Uint8Array.from(bytes)))).to.throw(
        MalformedFrameError,
      );
    });
  }

  for (const value of [-1, 0.5, Number.NaN, 2 ** 53]) {
    it(`${value} is not sent`, () => {
      const stream = new EncodeStream(new Uint8Array(8));
      expect(() => safeInteger.encode(stream, value)).to.throw(MalformedFrameError);
    });
  }
});
