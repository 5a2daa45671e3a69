/** Which bytes of a connection are left, wherever its pieces end. */
import { expect } from 'chai';
import { InterimFilter } from '../../src/router/attempts/interim-filter.js';

const FINAL = 'HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\nHTTP/1.1 103 no answer\r\n\r\n';
const HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
const CLOSING = 'HTTP/1.1 100 Continue\r\nConnection: keep-alive, Close\r\n\r\n';
const MAX_INTERIM_BYTES = 64 * 1024;

function passed(filter: InterimFilter, pieces: readonly string[]): string {
  return pieces.map((piece) => Buffer.from(filter.pass(Buffer.from(piece))).toString()).join('');
}

function created(): InterimFilter {
  const filter = new InterimFilter();
  filter.expectAnswer();
  return filter;
}

describe('the filter of interim answers', () => {
  for (const [name, interim, saysClose] of [
    ['none', '', false],
    ['one', HINTS, false],
    ['several', HINTS + CLOSING + HINTS, true],
    ['bare line feeds', 'HTTP/1.1 103 Early Hints\nlink: </a>\n\n', false],
    ['HTTP/1.0', 'HTTP/1.0 100 Continue\r\n\r\n', true],
    ['no field', 'HTTP/1.1 100\r\n\r\n', false],
  ] as const) {
    it(`leaves the answer, in any two pieces and byte by byte: ${name}`, () => {
      const text = interim + FINAL;
      for (let cut = 0; cut <= text.length; cut += 1) {
        const filter = created();
        expect(passed(filter, [text.slice(0, cut), text.slice(cut)])).to.equal(FINAL);
        expect(filter.saysClose).to.equal(saysClose);
      }
      expect(passed(created(), [...text])).to.equal(FINAL);
    });
  }

  for (const text of [
    'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    'HTTP/2 103 x\r\n\r\n',
    'nonsense',
    'HTTP/1.1 2',
  ]) {
    it(`holds nothing back of what is no interim answer: ${JSON.stringify(text)}`, () => {
      expect(passed(created(), [...text])).to.equal(text);
    });
  }

  it('leaves all bytes where no answer is expected', () => {
    expect(passed(new InterimFilter(), [HINTS, FINAL])).to.equal(HINTS + FINAL);
  });

  it('looks at the next answer of a connection', () => {
    const filter = created();
    passed(filter, [FINAL]);
    filter.expectAnswer();
    expect(passed(filter, [HINTS + FINAL])).to.equal(FINAL);
  });

  it('is exceeded by too many bytes in one interim answer, or in several', () => {
    const long = created();
    passed(long, [`HTTP/1.1 103 x\r\nx: ${'x'.repeat(MAX_INTERIM_BYTES)}`]);
    const many = created();
    passed(many, [HINTS.repeat(MAX_INTERIM_BYTES / HINTS.length + 1)]);
    const few = created();
    passed(few, [HINTS.repeat(100), FINAL]);
    expect([long, many, few].map(({ isExceeded }) => isExceeded)).to.deep.equal([true, true, false]);
  });
});
