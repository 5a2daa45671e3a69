/** Session messages to an upstream that knows the cluster's secret: only those that prove it are followed. */
import { expect } from 'chai';
import fc from 'fast-check';
import { UpstreamSessions } from '../../src/control/daemon/upstream-sessions.js';
import type { SessionAnswer } from '../../src/lease/types.js';
import { createLogger } from '../../src/logging/logger.js';
import { SESSION_PATH } from '../../src/upstream/index.js';
import { computeSessionProof, isSessionProof } from '../../src/wire/session/session-proof.js';
import { GRANT, GREETING, UPSTREAM_ID, UpstreamHarness } from './upstream-harness.js';

const SECRET = 'the cluster secret';
const BODY = JSON.stringify({ ...GRANT, sequence: 1 });
const PROOF = computeSessionProof(SECRET, BODY);

describe('proof of session messages', () => {
  const harness = new UpstreamHarness();
  beforeEach(() => harness.start({ secret: SECRET }));
  afterEach(() => harness.stop());

  const send = (headers: Readonly<Record<string, string>>, body = BODY) =>
    harness.send('POST', SESSION_PATH, { 'content-type': 'application/json', ...headers }, body);

  it('a message with its proof is followed', async () => {
    expect((await send({ 'ternmount-session-proof': PROOF })).status).to.equal(200);
    expect(harness.fence?.status()).to.include({ leased: true, held: 1 });
  });

  const unproved: readonly (readonly [string, Readonly<Record<string, string>>, string?])[] = [
    ['no proof', {}],
    ['an empty proof', { 'ternmount-session-proof': '' }],
    ['a proof under another secret', { 'ternmount-session-proof': computeSessionProof('another', BODY) }],
    ['a proof under no secret', { 'ternmount-session-proof': computeSessionProof('', BODY) }],
    ['the proof of another message', { 'ternmount-session-proof': PROOF }, BODY.replace('2500', '9500')],
    ['a proof cut short', { 'ternmount-session-proof': PROOF.slice(2) }],
    ['a proof that is no hexadecimal', { 'ternmount-session-proof': `${PROOF.slice(2)}zz` }],
    ['the secret itself', { 'ternmount-session-proof': SECRET }],
  ];
  for (const [name, headers, body] of unproved) {
    it(`${name}: 401, and nothing is granted`, async () => {
      const answer = await send(headers, body);
      expect(answer.status).to.equal(401);
      expect(answer.text).not.to.contain('run-1');
      expect(harness.fence?.status()).to.include({ leased: false, held: 0 });
    });
  }

  it('a proved message sent again is refused as old', async () => {
    await send({ 'ternmount-session-proof': PROOF });
    const again = await send({ 'ternmount-session-proof': PROOF });
    expect((JSON.parse(again.text) as SessionAnswer).refused).to.equal('stale-sequence');
  });

  for (const [name, secret, heard] of [
    ['the same secret', SECRET, 'answered'],
    ['another secret', 'another secret', 'failed'],
    ['none', '', 'failed'],
  ] as const) {
    it(`a control member with ${name}: ${heard}`, async () => {
      const outcome = await new Promise((resolve) => {
        const sessions = new UpstreamSessions({
          timeoutMillis: 2000,
          owner: { answered: () => resolve('answered'), failed: () => resolve('failed') },
          log: createLogger('test'),
          secret,
        });
        sessions.call(UPSTREAM_ID, harness.address, GREETING);
      });
      expect(outcome).to.equal(heard);
    });
  }

  it('holds for the very bytes and nothing else', () => {
    fc.assert(
      fc.property(fc.uint8Array(), fc.uint8Array(), (one, other) => {
        const proof = computeSessionProof(SECRET, one);
        const same = Buffer.compare(Buffer.from(one), Buffer.from(other)) === 0;
        expect(isSessionProof(SECRET, one, proof)).to.equal(true);
        expect(isSessionProof(SECRET, other, proof)).to.equal(same);
      }),
      { seed: 6, numRuns: 100 },
    );
  });
});
