/** Wrong input at the operators' API: it is named, and changes nothing. */
import { expect } from 'chai';
import fc from 'fast-check';
import { AdminHarness, GOOD_SERVICE, GOOD_UPSTREAM } from './admin-harness.js';

interface BadCase {
  readonly name: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
  /** Part of the message. */
  readonly says: string;
}

const DEEP_LISTS = 20_000;
const SERVICE = '/v1/services/menu';
const UPSTREAM = '/v1/upstreams/menu-1';
const service = (fields: object) => ({ ...GOOD_SERVICE, ...fields });
const rule = (fields: object) => ({ policy: [{ name: 'a', when: 'true', action: 'refuse', ...fields }] });

const CASES: readonly BadCase[] = [
  { name: 'two owners', method: 'GET', path: '/v1/shards?owner=a&owner=b', status: 400, says: 'owner' },
  { name: 'no JSON', method: 'PUT', path: SERVICE, body: '{"a":', status: 400, says: "isn't JSON" },
  {
    name: 'a heartbeat of lists within one another',
    method: 'POST',
    path: `${UPSTREAM}/heartbeat`,
    body: `${'['.repeat(DEEP_LISTS)}${']'.repeat(DEEP_LISTS)}`,
    status: 400,
    says: 'expected',
  },
  { name: 'a list', method: 'PUT', path: SERVICE, body: [], status: 400, says: 'expected' },
  { name: 'null', method: 'PUT', path: SERVICE, body: 'null', status: 400, says: 'expected' },
  {
    name: 'an unknown key',
    method: 'PUT',
    path: SERVICE,
    body: service({ shards: 3 }),
    status: 400,
    says: 'shards',
  },
  { name: 'repeatable left out', method: 'PUT', path: SERVICE, body: {}, status: 400, says: 'repeatable' },
  {
    name: 'a deadline below 0',
    method: 'PUT',
    path: SERVICE,
    body: service({ deadlineMillis: -1 }),
    status: 400,
    says: 'deadline',
  },
  {
    name: 'a deadline as text',
    method: 'PUT',
    path: SERVICE,
    body: service({ deadlineMillis: '2s' }),
    status: 400,
    says: 'deadline',
  },
  {
    name: 'too many shards',
    method: 'PUT',
    path: SERVICE,
    body: service({ keyspaces: [{ name: 'a', kind: 'prefix', match: '', shards: 1e9 }] }),
    status: 400,
    says: 'keyspaces[0].shards',
  },
  {
    name: 'two keyspaces of one name',
    method: 'PUT',
    path: SERVICE,
    body: service({ keyspaces: [GOOD_SERVICE.keyspaces[0], GOOD_SERVICE.keyspaces[0]] }),
    status: 400,
    says: 'twice',
  },
  {
    name: 'another name than the path',
    method: 'PUT',
    path: SERVICE,
    body: service({ name: 'other' }),
    status: 400,
    says: 'differs',
  },
  {
    name: 'a wrong name',
    method: 'PUT',
    path: '/v1/services/Menu%20Board',
    body: GOOD_SERVICE,
    status: 400,
    says: 'name',
  },
  {
    name: 'a path that is no UTF-8',
    method: 'PUT',
    path: '/v1/services/%ff',
    body: GOOD_SERVICE,
    status: 400,
    says: '',
  },
  {
    name: 'a policy that does not parse',
    method: 'PUT',
    path: `${SERVICE}/policy`,
    body: rule({ when: 'queue.fill >' }),
    status: 422,
    says: 'when',
  },
  {
    name: 'a policy of another type',
    method: 'PUT',
    path: `${SERVICE}/policy`,
    body: rule({ when: '1 + 1' }),
    status: 422,
    says: 'bool',
  },
  {
    name: 'a policy with an unknown variable',
    method: 'PUT',
    path: `${SERVICE}/policy`,
    body: rule({ when: 'secret == 1' }),
    status: 422,
    says: 'secret',
  },
  {
    name: 'a policy with a costly function',
    method: 'PUT',
    path: `${SERVICE}/policy`,
    body: rule({ when: 'zone.matches("(a+)+")' }),
    status: 422,
    says: 'not allowed',
  },
  {
    name: 'a policy without its list',
    method: 'PUT',
    path: `${SERVICE}/policy`,
    body: {},
    status: 400,
    says: 'policy',
  },
  {
    name: 'a host name',
    method: 'PUT',
    path: UPSTREAM,
    body: { ...GOOD_UPSTREAM, address: 'db.example:80' },
    status: 400,
    says: 'address',
  },
  {
    name: 'no port',
    method: 'PUT',
    path: UPSTREAM,
    body: { ...GOOD_UPSTREAM, address: '10.0.0.1' },
    status: 400,
    says: 'address',
  },
  {
    name: 'an unknown service',
    method: 'PUT',
    path: UPSTREAM,
    body: { ...GOOD_UPSTREAM, service: 'none' },
    status: 422,
    says: 'none',
  },
  {
    name: 'an unknown keyspace',
    method: 'PUT',
    path: UPSTREAM,
    body: { ...GOOD_UPSTREAM, mayHold: ['x'] },
    status: 422,
    says: 'mayHold',
  },
  {
    name: 'a drain of nothing',
    method: 'POST',
    path: '/v1/upstreams/none/drain',
    status: 404,
    says: 'no such',
  },
  {
    name: 'leaving as text',
    method: 'POST',
    path: `${UPSTREAM}/drain`,
    body: { leaving: 'yes' },
    status: 400,
    says: 'leaving',
  },
  {
    name: 'a move of no shard',
    method: 'POST',
    path: '/v1/shards/move',
    body: { shard: 'x', to: 'menu-1' },
    status: 404,
    says: '',
  },
  {
    name: 'a move without a target',
    method: 'POST',
    path: '/v1/shards/move',
    body: { shard: 'menu/all@1/0' },
    status: 400,
    says: 'to',
  },
  {
    name: 'If-Match without quotes',
    method: 'PUT',
    path: SERVICE,
    body: GOOD_SERVICE,
    headers: { 'if-match': '12' },
    status: 400,
    says: 'If-Match',
  },
  {
    name: 'both preconditions',
    method: 'PUT',
    path: SERVICE,
    body: GOOD_SERVICE,
    headers: { 'if-match': '"1"', 'if-none-match': '*' },
    status: 400,
    says: 'exclude',
  },
  {
    name: 'a lost race',
    method: 'PUT',
    path: SERVICE,
    body: GOOD_SERVICE,
    headers: { 'if-match': '"777"' },
    status: 412,
    says: 'someone else',
  },
  {
    name: 'a creation of what exists',
    method: 'PUT',
    path: SERVICE,
    body: GOOD_SERVICE,
    headers: { 'if-none-match': '*' },
    status: 412,
    says: 'someone else',
  },
  {
    name: 'a request id with spaces',
    method: 'PUT',
    path: SERVICE,
    body: GOOD_SERVICE,
    headers: { 'ternmount-request-id': 'a b' },
    status: 400,
    says: 'request-id',
  },
  {
    name: 'wait=maybe',
    method: 'PUT',
    path: `${SERVICE}?wait=maybe`,
    body: GOOD_SERVICE,
    status: 400,
    says: 'wait',
  },
  {
    name: 'another media type',
    method: 'PUT',
    path: SERVICE,
    body: 'a=1',
    headers: { 'content-type': 'text/plain' },
    status: 415,
    says: 'json',
  },
  { name: 'an unknown path', method: 'PUT', path: '/v1/nothing', status: 404, says: 'nothing' },
  { name: 'another method', method: 'PATCH', path: SERVICE, status: 405, says: 'method' },
  { name: 'a delete of what has upstreams', method: 'DELETE', path: SERVICE, status: 422, says: 'menu-1' },
];

describe("wrong input at the operators' API", () => {
  const harness = new AdminHarness();
  before(async () => {
    await harness.start();
    expect((await harness.write('PUT', SERVICE, GOOD_SERVICE)).status).to.equal(200);
    expect((await harness.write('PUT', UPSTREAM, GOOD_UPSTREAM)).status).to.equal(200);
  });
  after(() => harness.stop());

  for (const { name, method, path, body, headers, status, says } of CASES) {
    it(`${name}: ${status}, nothing changed`, async () => {
      const before = harness.state();
      const answer = await harness.write(method, path, body, headers);
      expect(answer.status, JSON.stringify(answer.body)).to.equal(status);
      expect(answer.body.error?.message).to.contain(says);
      expect(harness.state()).to.equal(before);
    });
  }

  const paths = [
    SERVICE,
    `${SERVICE}/policy`,
    UPSTREAM,
    `${UPSTREAM}/drain`,
    '/v1/shards/move',
    '/v1/control/replace',
  ];

  it('any JSON at any path is answered, and never as an internal error', async () => {
    await fc.assert(
      fc.asyncProperty(fc.constantFrom(...paths), fc.json(), async (path, body) => {
        const answer = await harness.write(path.endsWith('drain') ? 'POST' : 'PUT', path, body);
        expect(answer.status).to.be.within(200, 499);
      }),
      { seed: 6, numRuns: 150 },
    );
  });

  it('a service with one field of any value is accepted whole or named', async () => {
    const field = fc.constantFrom(
      'deadlineMillis',
      'queueLimit',
      'retryBudget',
      'keyspaces',
      'policy',
      'placement',
    );
    await fc.assert(
      fc.asyncProperty(field, fc.jsonValue(), async (name, value) => {
        const before = harness.state();
        const answer = await harness.write('PUT', '/v1/services/menu', service({ [name]: value }));
        const changed = harness.state() !== before;
        expect(answer.status).to.be.oneOf([200, 400, 422]);
        expect(changed && answer.status !== 200).to.equal(false);
        expect(answer.status === 200 || answer.body.error?.message.includes(name)).to.equal(true);
      }),
      { seed: 6, numRuns: 150 },
    );
  });
});
