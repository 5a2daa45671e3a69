/** Which parts of a request its fingerprint covers. */
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

function fingerprintWith(
  changes: Partial<CallerRequestHead> = {},
  headers: readonly string[] = [],
  body = BODY,
): string {
  return fingerprintRequest({ ...HEAD, ...changes }, headers, body);
}

describe('the fingerprint of a request', () => {
  it('is 32 hexadecimal digits', () => expect(fingerprintWith()).to.match(/^[0-9a-f]{32}$/));

  const SAME: Readonly<Record<string, string>> = {
    'another id': fingerprintWith({ requestId: 'r2' }),
    'another deadline': fingerprintWith({ deadlineMillis: 100 }),
    'other headers about the connection': fingerprintWith({}, ['Connection', 'close', 'Request-Id', 'r9']),
    'a copy of the body': fingerprintWith({}, [], Buffer.from('fish')),
  };
  for (const [change, fingerprint] of Object.entries(SAME)) {
    it(`stays the same with ${change}`, () => expect(fingerprint).to.equal(fingerprintWith()));
  }

  const OTHER: Readonly<Record<string, string>> = {
    'another method': fingerprintWith({ method: 'PUT' }),
    'another host': fingerprintWith({ place: { host: 'other.example', path: '/sheets/1' } }),
    'another query': fingerprintWith({ target: '/sheets/1?day=3' }),
    'another key': fingerprintWith({ key: '8' }),
    'no key': fingerprintWith({ key: null }),
    'another body': fingerprintWith({}, [], Buffer.from('fowl')),
    'other credentials': fingerprintWith({}, ['Authorization', 'Bearer 1']),
    'another cookie': fingerprintWith({}, ['Cookie', 'a=1']),
    'a cookie instead of credentials': fingerprintWith({}, ['Cookie', 'Bearer 1']),
  };
  for (const [change, fingerprint] of Object.entries(OTHER)) {
    it(`differs with ${change}`, () => expect(fingerprint).not.to.equal(fingerprintWith()));
  }

  it('differs between all of these', () => {
    expect(new Set(Object.values(OTHER)).size).to.equal(Object.keys(OTHER).length);
  });
});
