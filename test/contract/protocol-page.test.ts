/** docs/UPSTREAM-PROTOCOL.md says what `ternmount/upstream` really does. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import xxhash from 'xxhash-wasm';
import { HEADERS } from '../../src/model/outcome.js';
import { computeSessionProof } from '../../src/wire/session/session-proof.js';
import { countRequests, normaliseAnswer, readExchanges, replay } from './protocol-page.js';
import { UpstreamHarness } from './upstream-harness.js';

const PAGE = readFileSync(new URL('../../../docs/UPSTREAM-PROTOCOL.md', import.meta.url), 'utf8');
const HASH_ROW = /^\| (?:`([^`]+)`|\*\(empty\)\*) \| `([0-9a-f]{16})` \| (\d+) \|$/gm;

describe('the page of the upstream protocol', () => {
  const harness = new UpstreamHarness();
  before(() => harness.start());
  after(() => harness.stop());

  const exchanges = readExchanges(PAGE);

  it('has an answer to each request', () => {
    expect(exchanges.length).to.be.greaterThan(10);
    expect(exchanges.length).to.equal(countRequests(PAGE));
  });

  exchanges.forEach(({ clock, request, response, statusOnly }, index) => {
    it(`exchange ${index + 1} at ${clock}: ${request.split('\n', 1)[0]}`, async () => {
      harness.now = clock;
      const answer = normaliseAnswer(await replay(harness.address, request));
      const compared = statusOnly ? answer.split('\n', 1)[0] : answer;
      expect(compared).to.equal(response);
    });
  });

  it('has the right hashes of keys', async () => {
    const { h64 } = await xxhash();
    const rows = [...PAGE.matchAll(HASH_ROW)];
    expect(rows.length).to.be.greaterThan(3);
    for (const [, key = '', hash, remainder] of rows) {
      expect(h64(key).toString(16).padStart(16, '0')).to.equal(hash);
      expect(Number(h64(key) % 64n)).to.equal(Number(remainder));
    }
  });

  it('has the right proof of a session message', () => {
    expect(PAGE).to.contain(`\n${computeSessionProof('the cluster secret', '{}')}\n`);
  });

  it('names every header that passes between routers and upstreams', () => {
    const names = [HEADERS.outcome, HEADERS.reason, HEADERS.key, HEADERS.requestId, HEADERS.shard];
    for (const name of [
      ...names,
      HEADERS.epoch,
      HEADERS.incarnation,
      HEADERS.deadlineMillis,
      HEADERS.load,
      HEADERS.sessionProof,
    ]) {
      expect(PAGE).to.contain(name);
    }
  });
});
