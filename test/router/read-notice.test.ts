/** The notice read from each form of a header. */
import { expect } from 'chai';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import type { LimitNotice } from '../../src/model/upstream-notice.js';
import { readNotice } from '../../src/router/attempts/read-notice.js';

const NONE: LimitNotice = { type: 'none' };
const UNREADABLE: LimitNotice = { type: 'unreadable' };
const WALL = Date.parse('2030-01-01T00:00:00Z');
const LIMITS: readonly { readonly texts: readonly string[]; readonly expected: LimitNotice }[] = [
  { texts: [], expected: NONE },
  { texts: ['5.3'], expected: { type: 'named', perSecond: 5.3 } },
  { texts: [' 12 '], expected: { type: 'named', perSecond: 12 } },
  { texts: ['0'], expected: { type: 'named', perSecond: 0 } },
  { texts: ['0.25'], expected: { type: 'named', perSecond: 0.25 } },
  { texts: ['1000000000'], expected: { type: 'named', perSecond: 1e9 } },
  { texts: ['5', '3'], expected: { type: 'named', perSecond: 3 } },
  { texts: ['5', 'many'], expected: UNREADABLE },
  { texts: [''], expected: UNREADABLE },
  { texts: ['-1'], expected: UNREADABLE },
  { texts: ['NaN'], expected: UNREADABLE },
  { texts: ['Infinity'], expected: UNREADABLE },
  { texts: ['1e9'], expected: UNREADABLE },
  { texts: ['5/s'], expected: UNREADABLE },
  { texts: ['9'.repeat(400)], expected: UNREADABLE },
];

describe('the head of an answer', () => {
  for (const { texts, expected } of LIMITS) {
    it(`with the limits ${JSON.stringify(texts).slice(0, 40)} means ${expected.type}`, () => {
      const headers = ['Content-Type', 'text/plain', ...texts.flatMap((text) => ['Ternmount-Limit', text])];
      const notice = readNotice({ status: 200, headers }, DEFAULT_HEADER_NAMES, WALL);
      expect(notice.limit).to.deep.equal(expected);
      expect(notice.unreadable).to.have.length(expected === UNREADABLE ? 1 : 0);
    });
  }

  const backoffs: readonly {
    readonly status: number;
    readonly headers: readonly string[];
    readonly expected: number | null;
  }[] = [
    { status: 503, headers: ['Retry-After', '3'], expected: 3000 },
    { status: 503, headers: ['Retry-After', '0.25'], expected: 250 },
    { status: 429, headers: ['Retry-After', '3'], expected: 3000 },
    { status: 503, headers: ['Retry-After', '1', 'Retry-After', '2'], expected: 2000 },
    { status: 503, headers: [], expected: null },
    { status: 503, headers: ['Retry-After', 'soon'], expected: null },
    { status: 503, headers: ['Retry-After', '-3'], expected: null },
    { status: 503, headers: ['Retry-After', ''], expected: null },
    { status: 421, headers: ['Retry-After', '3'], expected: null },
    { status: 200, headers: ['Retry-After', '3'], expected: null },
    { status: 503, headers: ['Retry-After', 'Tue, 01 Jan 2030 00:00:05 GMT'], expected: 5000 },
    {
      status: 503,
      headers: ['Date', 'Tue, 01 Jan 2030 00:01:00 GMT', 'Retry-After', 'Tue, 01 Jan 2030 00:01:02 GMT'],
      expected: 2000,
    },
    { status: 503, headers: ['Retry-After', 'Mon, 01 Jan 2029 00:00:00 GMT'], expected: 0 },
  ];

  for (const { status, headers, expected } of backoffs) {
    it(`${status} with ${headers.join(' ')} means ${expected === null ? 'no back-off' : `${expected} ms`}`, () => {
      expect(readNotice({ status, headers }, DEFAULT_HEADER_NAMES, WALL).restMillis).to.equal(expected);
    });
  }
});
