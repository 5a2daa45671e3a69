/** What makes two requests the same one. */
import { expect } from 'chai';
import { fingerprintRequest } from '../../src/router/caller/request-fingerprint.js';
import type { CallerRequestHead } from '../../src/router/caller/request-head.js';

const HEAD: CallerRequestHead = {
  method: 'POST',
  target: '/sheets/1?day=2',
  place: { host: 'menu.example', path: '/sheets/1' },
  requestId: 'r1',
  service: '',
  key: '7',
  deadlineMillis: 500,
  idempotency: null,
};
const BODY = Buffer.from('fish');

function of(changes: Partial<CallerRequestHead> = {}, headers: readonly string[] = [], body = BODY): string {
  return fingerprintRequest({ ...HEAD, ...changes }, headers, body);
}

describe('the fingerprint of a request', () => {
  it('is 32 hexadecimal digits', () => expect(of()).to.match(/^[0-9a-f]{32}$/));

  const SAME: Readonly<Record<string, string>> = {
    'another id': of({ requestId: 'r2' }),
    'another deadline': of({ deadlineMillis: 100 }),
    'other headers about the connection': of({}, ['Connection', 'close', 'Request-Id', 'r9']),
    'a copy of the body': of({}, [], Buffer.from('fish')),
  };
  for (const [what, fingerprint] of Object.entries(SAME)) {
    it(`stays the same with ${what}`, () => expect(fingerprint).to.equal(of()));
  }

  const OTHER: Readonly<Record<string, string>> = {
    'another method': of({ method: 'PUT' }),
    'another host': of({ place: { host: 'other.example', path: '/sheets/1' } }),
    'another query': of({ target: '/sheets/1?day=3' }),
    'another key': of({ key: '8' }),
    'no key': of({ key: null }),
    'another body': of({}, [], Buffer.from('fowl')),
    'other credentials': of({}, ['Authorization', 'Bearer 1']),
    'another cookie': of({}, ['Cookie', 'a=1']),
    'a cookie in the place of credentials': of({}, ['Cookie', 'Bearer 1']),
  };
  for (const [what, fingerprint] of Object.entries(OTHER)) {
    it(`differs with ${what}`, () => expect(fingerprint).not.to.equal(of()));
  }

  it('differs between all of these', () => {
    expect(new Set(Object.values(OTHER)).size).to.equal(Object.keys(OTHER).length);
  });
});
