/** Whether the head of an answer is well-formed is seen alike in whatever pieces it comes, and its body isn't looked at. */
import { expect } from 'chai';
import { HeadFormat } from '../../src/wire/http/head-format.js';

const WELL_FORMED = [
  'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody',
  'HTTP/1.1 200 OK\r\n\r\n x bad: v\r\n\ty\r\n: z',
  'HTTP/1.0 404\r\nX-EMPTY:\r\n\r\n',
  "HTTP/1.1 200 a b\tc\r\n!#$%&'*+-.^_`|~0aZ: any : thing\r\n\r\n",
  'HTTP/1.1 200 OK\nx: y\n\n z',
  'HTTP/1.1 100\r\n\r\n',
  '\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n',
  'HTTP/1.1 599 Odd\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK\r\n\r\n x bad: v',
];

const MALFORMED = [
  'HTTP/1.1 101 Switching Protocols\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n',
  '\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 103\r\n\r\nHTTP/1.1 0200 Odd\r\n\r\n',
  'HTTP/1.1 1000 Odd\r\n\r\n',
  '\r\nHTTP/1.1 000 Odd\r\n\r\n',
  'HTTP/1.1 000 Odd\r\n\r\n',
  'HTTP/1.1 099 Odd\r\n\r\n',
  'HTTP/1.1 600 Odd\r\n\r\n',
  'HTTP/1.1 0200 Odd\r\n\r\n',
  'HTTP/1.1 2000 Odd\r\n\r\n',
  'HTTP/1.1 20 Odd\r\n\r\n',
  'HTTP/1.1 200Odd\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx: y\r\n z\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx: y\r\n\tz\r\n\r\n',
  'HTTP/1.1 200 OK\r\n x: y\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx y: z\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx : z\r\n\r\n',
  'HTTP/1.1 200 OK\r\n: z\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx\x00: z\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx\xe9: z\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx: y\r\n\rz: v\r\n\r\n',
];

/** Whether all pieces are taken, of a head that is the second of its connection. */
function isWellFormed(pieces: readonly Buffer[]): boolean {
  const format = new HeadFormat();
  format.expectHead();
  format.read(Buffer.from('HTTP/1.1 204 No Content\r\n\r\n'));
  format.expectHead();
  return pieces.map((piece) => format.read(piece)).every((isTaken) => isTaken);
}

describe('the format of a head', () => {
  for (const [heads, expected] of [
    [WELL_FORMED, true],
    [MALFORMED, false],
  ] as const) {
    for (const head of heads) {
      it(`is ${expected ? 'taken' : 'refused'}, in any two pieces and byte by byte: ${JSON.stringify(head)}`, () => {
        const bytes = Buffer.from(head, 'latin1');
        const cuts = [...bytes.keys()].map((cut) => [bytes.subarray(0, cut), bytes.subarray(cut)]);
        const single = [...bytes.keys()].map((at) => bytes.subarray(at, at + 1));
        const verdicts = [...cuts, single].map(isWellFormed);
        expect(new Set(verdicts)).to.deep.equal(new Set([expected]));
      });
    }
  }

  it('is not looked at where none is expected', () => {
    expect(new HeadFormat().read(Buffer.from('x bad\r\n y'))).to.equal(true);
  });
});
