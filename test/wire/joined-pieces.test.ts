/** Bodies in many small pieces: what is kept of them takes little more memory than their bytes. */
import { expect } from 'chai';
import { JoinedPieces } from '../../src/wire/http/joined-pieces.js';

const READ_BYTES = 64 * 1024;
const BODY_BYTES = 256 * 1024;
/** A few pieces more than full blocks would be. */
const MAX_PIECES = 40;

/** Adds a body in pieces that each are all that is kept of a read, and returns its bytes. */
function addPieces(pieces: JoinedPieces, pieceBytes: number): Buffer {
  const body = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251));
  for (let start = 0; start < BODY_BYTES; start += pieceBytes) {
    const end = Math.min(start + pieceBytes, BODY_BYTES);
    const read = Buffer.alloc(start % (64 * pieceBytes) === 0 ? READ_BYTES : end - start);
    body.copy(read, 0, start, end);
    pieces.add(read.subarray(0, end - start));
  }
  return body;
}

function memoryOf(pieces: readonly Buffer[]): number {
  const memories = new Set(pieces.map(({ buffer }) => buffer));
  return [...memories].reduce((sum, { byteLength }) => sum + byteLength, 0);
}

describe('pieces of a body', () => {
  for (const pieceBytes of [1, 7, 4096, 5000, 40_000]) {
    // Guards against an upstream or a caller whose chunks of one byte fill the memory of the process.
    it(`of ${pieceBytes} bytes are joined, and keep little else in memory`, () => {
      const pieces = new JoinedPieces();
      const body = addPieces(pieces, pieceBytes);
      const kept = pieces.all;
      expect(Buffer.concat(kept).equals(body)).to.equal(true);
      expect(kept.length).to.be.below(Math.max(MAX_PIECES, BODY_BYTES / 4096 + 2));
      expect(memoryOf(kept)).to.be.below(2 * BODY_BYTES + 2 * READ_BYTES);
    });
  }

  it('come out in their order however often they are taken', () => {
    const pieces = new JoinedPieces();
    const taken: Buffer[] = [];
    for (const text of ['a', 'bc', 'd'.repeat(20_000), 'e', 'f']) {
      pieces.add(Buffer.from(text));
      pieces.add(Buffer.from('.'));
      taken.push(...pieces.take());
    }
    expect(Buffer.concat(taken).toString()).to.equal(`a.bc.${'d'.repeat(20_000)}.e.f.`);
    expect(pieces.take()).to.deep.equal([]);
  });

  it('that were taken are not changed by later ones', () => {
    const pieces = new JoinedPieces();
    pieces.add(Buffer.from('first'));
    pieces.add(Buffer.from('one'));
    const [, one] = pieces.take();
    pieces.add(Buffer.from('two'));
    expect(String(one)).to.equal('one');
  });
});
