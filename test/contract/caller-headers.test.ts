/** Headers between routers and upstreams: a caller's copies of the project's own never pass. */
import { expect } from 'chai';
import fc from 'fast-check';
import { HEADERS } from '../../src/model/outcome.js';
import { forwardedAnswerHeaders, forwardedRequestHeaders } from '../../src/router/caller/header-rules.js';

const INTERNAL = Object.values(HEADERS).filter((name) => name.startsWith('ternmount-'));

function names(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
}

/** The same word with letters of both cases. */
const anyCase = (word: string) =>
  fc
    .array(fc.boolean(), { minLength: word.length, maxLength: word.length })
    .map((flags) =>
      [...word].map((letter, index) => (flags[index] ? letter.toUpperCase() : letter)).join(''),
    );

describe("a caller's headers", () => {
  for (const header of INTERNAL) {
    it(`${header} doesn't pass, in whatever case, once or many times`, () => {
      fc.assert(
        fc.property(anyCase(header), anyCase(header), fc.string(), (one, other, value) => {
          const raw = ['accept', '*/*', one, value, 'x-own', 'kept', other, value];
          expect(names(forwardedRequestHeaders(raw))).to.deep.equal(['accept', 'x-own']);
          expect(names(forwardedAnswerHeaders(raw))).to.deep.equal(['accept', 'x-own']);
        }),
        { seed: 6, numRuns: 50 },
      );
    });
  }

  it('a header that the caller names in Connection does not pass', () => {
    const raw = ['Connection', 'x-secret, close', 'X-Secret', '1', 'X-Own', '2'];
    expect(names(forwardedRequestHeaders(raw))).to.deep.equal(['x-own']);
  });

  it('naming a header in Connection can not take an own header of the router away', () => {
    const raw = ['Connection', 'ternmount-epoch, content-length', 'A', '1'];
    expect(names(forwardedRequestHeaders(raw))).to.deep.equal(['a']);
  });

  it('any headers: none of the project, none of one connection', () => {
    const name = fc.oneof(
      fc.constantFrom(...INTERNAL, 'connection', 'transfer-encoding', 'te', 'upgrade', 'accept', 'x-a'),
      fc.stringMatching(/^[a-zA-Z-]{1,12}$/),
    );
    fc.assert(
      fc.property(fc.array(fc.tuple(name, fc.string()), { maxLength: 8 }), (pairs) => {
        for (const passed of names(forwardedRequestHeaders(pairs.flat()))) {
          expect(passed.startsWith('ternmount-')).to.equal(false);
          expect(passed).not.to.be.oneOf([
            'connection',
            'transfer-encoding',
            'te',
            'upgrade',
            'content-length',
          ]);
        }
      }),
      { seed: 6, numRuns: 300 },
    );
  });
});
