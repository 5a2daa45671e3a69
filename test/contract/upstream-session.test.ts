/** The session endpoint of upstreams: malformed, late, repeated and foreign messages change nothing. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { SessionRequest } from '../../src/lease/types.js';
import { SESSION_PATH } from '../../src/upstream/index.js';
import { GOOD_HEAD, GRANT, GREETING, KEY_MAP, SHARD, UpstreamHarness } from './upstream-harness.js';

const MALFORMED: readonly (readonly [string, unknown])[] = [
  ['no JSON', '{"cluster":'],
  ['nothing', ''],
  ['a list', []],
  ['null', 'null'],
  ['an empty object', {}],
  ['no term', { ...GRANT, term: undefined }],
  ['a term below 0', { ...GRANT, term: -1 }],
  ['a term as text', { ...GRANT, term: '3' }],
  ['a term with a fraction', { ...GRANT, term: 3.5 }],
  ['a sequence above 2^53', '{"cluster":"north","sequence":9007199254740993}'],
  ['an empty upstream', { ...GRANT, upstream: '' }],
  ['validUntil as text', { ...GRANT, validUntil: '2500' }],
  ['an unknown order', { ...GRANT, orders: [{ type: 'seize', shard: SHARD, revision: 9 }] }],
  ['a grant without its epoch', { ...GRANT, orders: [{ type: 'grant', shard: SHARD, revision: 9 }] }],
  ['a key map without shards', { ...GRANT, keyMap: { ...KEY_MAP, keyspaces: [{ name: 'all' }] } }],
  ['complete left out', { ...GRANT, complete: undefined }],
];

const FOREIGN: readonly (readonly [string, SessionRequest, string])[] = [
  ['another cluster', { ...GRANT, sequence: 9, cluster: 'south' }, 'other-cluster'],
  ['another incarnation', { ...GRANT, sequence: 9, incarnation: 'run-0' }, 'other-incarnation'],
  ['another upstream', { ...GRANT, sequence: 9, upstream: 'menu-2' }, 'other-incarnation'],
  ['an older term', { ...GRANT, sequence: 9, term: 2 }, 'stale-term'],
  ['the same sequence again', { ...GRANT, validUntil: 9000 }, 'stale-sequence'],
  ['an older sequence', { ...GRANT, sequence: 1, validUntil: 9000 }, 'stale-sequence'],
];

describe('the session endpoint of an upstream', () => {
  const harness = new UpstreamHarness();
  beforeEach(async () => {
    harness.now = 1000;
    await harness.start();
    await harness.session(GREETING);
  });
  afterEach(() => harness.stop());

  const get = (headers: Readonly<Record<string, string>> = GOOD_HEAD) =>
    harness.send('GET', '/menu/home-12', headers);

  for (const [name, message] of MALFORMED) {
    it(`${name}: 400, and nothing is granted`, async () => {
      expect((await harness.post(message)).status).to.equal(400);
      expect(harness.fence?.status()).to.include({ leased: false, held: 0 });
      expect((await get()).status).to.equal(421);
    });
  }

  for (const [name, message, refused] of FOREIGN) {
    it(`${name}: refused as ${refused}, and the lease stays as it was`, async () => {
      await harness.session(GRANT);
      const answer = await harness.session(message);
      expect(answer.refused).to.equal(refused);
      expect(answer.held).to.deep.equal([{ shard: SHARD, epoch: 9 }]);
      harness.now = 2499;
      expect((await get()).status).to.equal(200);
      harness.now = 2501;
      expect((await get()).headers['ternmount-reason']).to.equal('lease-over');
    });
  }

  it('a message for another upstream raises neither term nor sequence', async () => {
    await harness.session(GRANT);
    await harness.session({ ...GRANT, upstream: 'menu-2', term: 7, sequence: 90 });
    const answer = await harness.session({ ...GRANT, sequence: 3, validUntil: 3000 });
    expect(answer.refused).to.equal(null);
    harness.now = 2900;
    expect((await get()).status).to.equal(200);
  });

  it('a body above 8 MiB: 413, and nothing is granted', async () => {
    const filler = 'x'.repeat(8 * 1024 * 1024);
    expect((await harness.post({ ...GRANT, filler })).status).to.equal(413);
    expect(harness.fence?.status().held).to.equal(0);
  });

  for (const method of ['GET', 'PUT', 'DELETE']) {
    it(`${method}: 405`, async () => {
      const answer = await harness.send(method, SESSION_PATH);
      expect(answer.status).to.equal(405);
      expect(answer.headers.allow).to.equal('POST');
    });
  }

  it('any JSON is answered 400 or with a whole answer, and grants nothing', async () => {
    const field = fc.constantFrom(...Object.keys(GREETING));
    await fc.assert(
      fc.asyncProperty(field, fc.jsonValue(), async (name, value) => {
        const answer = await harness.post({ ...GREETING, [name]: value });
        expect(answer.status).to.be.oneOf([200, 400]);
        expect(harness.fence?.status().held).to.equal(0);
      }),
      { seed: 6, numRuns: 150 },
    );
  });

  const heads: readonly (readonly [string, Readonly<Record<string, string>>, number, string])[] = [
    ['an older epoch', { ...GOOD_HEAD, 'ternmount-epoch': '8' }, 421, 'stale-epoch'],
    ['a later epoch', { ...GOOD_HEAD, 'ternmount-epoch': '10' }, 421, 'stale-epoch'],
    ['another incarnation', { ...GOOD_HEAD, 'ternmount-incarnation': 'run-0' }, 421, 'other-incarnation'],
    ['another shard', { ...GOOD_HEAD, 'ternmount-shard': 'menu/all@5/1' }, 421, 'not-owner'],
    ['no shard', { 'ternmount-key': 'home-12' }, 421, 'not-owner'],
    ['an epoch as text', { ...GOOD_HEAD, 'ternmount-epoch': 'nine' }, 400, 'malformed'],
    ['an epoch below 0', { ...GOOD_HEAD, 'ternmount-epoch': '-9' }, 400, 'malformed'],
    ['a key that is no UTF-8', { ...GOOD_HEAD, 'ternmount-key': '%ff' }, 400, 'malformed'],
    ['a deadline as text', { ...GOOD_HEAD, 'ternmount-deadline-ms': 'soon' }, 400, 'malformed'],
  ];
  for (const [name, head, status, reason] of heads) {
    it(`a request with ${name}: ${status} ${reason}, and doesn't run`, async () => {
      await harness.session(GRANT);
      const answer = await get(head);
      expect(answer.status).to.equal(status);
      expect(answer.headers['ternmount-outcome']).to.equal('not-run');
      expect(answer.headers['ternmount-reason']).to.equal(reason);
      expect(harness.runs).to.equal(0);
    });
  }

  it('a request with any headers of the protocol runs only if they are the right ones', async () => {
    await harness.session(GRANT);
    const name = fc.constantFrom(...(Object.keys(GOOD_HEAD) as (keyof typeof GOOD_HEAD)[]));
    const fencing = new Set(['ternmount-shard', 'ternmount-epoch', 'ternmount-incarnation']);
    await fc.assert(
      fc.asyncProperty(name, fc.stringMatching(/^[\x21-\x7e]{1,20}$/), async (header, value) => {
        const before = harness.runs;
        await get({ ...GOOD_HEAD, [header]: value });
        const ran = harness.runs > before;
        expect(ran && fencing.has(header) && value !== GOOD_HEAD[header]).to.equal(false);
      }),
      { seed: 6, numRuns: 150 },
    );
  });
});
