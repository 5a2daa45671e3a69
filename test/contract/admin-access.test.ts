/** Who may do what at the operators' API, and the audit record of each change. */
import { expect } from 'chai';
import { AdminHarness, GOOD_SERVICE, GOOD_UPSTREAM, READ_TOKEN, STRANGERS } from './admin-harness.js';

const WRITES: readonly (readonly [string, string, unknown])[] = [
  ['PUT', '/v1/services/menu', GOOD_SERVICE],
  ['PUT', '/v1/services/menu/policy', { policy: [] }],
  ['DELETE', '/v1/services/menu', {}],
  ['PUT', '/v1/upstreams/menu-1', GOOD_UPSTREAM],
  ['POST', '/v1/upstreams/menu-1/drain', {}],
  ['DELETE', '/v1/upstreams/menu-1', {}],
  ['POST', '/v1/shards/move', { shard: 'menu/all@1/0', to: 'menu-1' }],
  ['POST', '/v1/control/add-learner', { replica: 'r-1', address: '10.0.0.1:7400' }],
  ['POST', '/v1/control/replace', { oldReplica: 'r-1', newReplica: 'r-2', address: '10.0.0.1:7400' }],
  ['POST', '/v1/control/transfer', {}],
  ['POST', '/v1/control/snapshot', {}],
];
const READS = ['/v1/services', '/v1/upstreams', '/v1/shards', '/v1/ledger/menu/key', '/metrics'];

describe("access to the operators' API", () => {
  const harness = new AdminHarness();
  before(() => harness.start());
  after(() => harness.stop());
  beforeEach(() => {
    harness.audits.length = 0;
  });

  for (const [method, path, body] of WRITES) {
    for (const [who, authorization] of STRANGERS) {
      it(`${method} ${path} with ${who}: 401, audited, nothing changed`, async () => {
        const before = harness.state();
        const answer = await harness.call({ method, path, body, authorization });
        expect(answer.status).to.equal(401);
        expect(answer.body.error?.code).to.equal('unauthenticated');
        expect(answer.headers['www-authenticate']).to.equal('Bearer');
        expect(harness.state()).to.equal(before);
        expect(harness.audits).to.have.length(1);
        expect(harness.audits[0]).to.include({ actor: null, method, path, outcome: 'unauthenticated' });
      });
    }

    it(`${method} ${path} with a token that may only read: 403, audited, nothing changed`, async () => {
      const before = harness.state();
      const answer = await harness.call({ method, path, body, authorization: `Bearer ${READ_TOKEN}` });
      expect(answer.status).to.equal(403);
      expect(harness.state()).to.equal(before);
      expect(harness.audits).to.have.length(1);
      expect(harness.audits[0]).to.include({ actor: 'reader', method, path, outcome: 'forbidden' });
    });
  }

  for (const path of READS) {
    it(`GET ${path} without a token: 401, and no audit record`, async () => {
      expect((await harness.call({ method: 'GET', path })).status).to.equal(401);
      expect(harness.audits).to.have.length(0);
    });
  }

  it('liveness needs no token', async () => {
    expect((await harness.call({ method: 'GET', path: '/healthz' })).status).to.equal(200);
  });

  it('an accepted change is audited with who, what, request id and revision', async () => {
    const answer = await harness.write('PUT', '/v1/services/menu', GOOD_SERVICE, {
      'ternmount-request-id': 'request-1',
    });
    expect(answer.status).to.equal(200);
    expect(harness.audits).to.have.length(1);
    expect(harness.audits[0]).to.include({
      actor: 'writer',
      action: 'service-apply',
      subject: 'menu',
      requestId: 'request-1',
      outcome: 'accepted',
      revision: answer.body.revision,
    });
  });

  it('a lost race is audited as such', async () => {
    await harness.write('PUT', '/v1/services/menu', GOOD_SERVICE, { 'if-match': '"999"' });
    expect(harness.audits[0]).to.include({ actor: 'writer', outcome: 'conflict' });
  });

  it('no answer or audit record holds a token', async () => {
    const answer = await harness.call({
      method: 'PUT',
      path: '/v1/services/menu',
      authorization: 'Bearer tmt_secret-word',
    });
    expect(JSON.stringify([answer, harness.audits])).not.to.contain('secret-word');
  });
});
