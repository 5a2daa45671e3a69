/** A change whose outcome isn't known is never answered as one that wasn't made. */
import { expect } from 'chai';
import { AdminHarness, WRITE_TOKEN } from './admin-harness.js';

const CHANGES = [
  {
    name: 'a whole document',
    method: 'PUT',
    path: '/v1/declaration',
    body: { version: 1, routes: [], services: [] },
  },
  { name: 'a part of the document', method: 'PATCH', path: '/v1/declaration', body: { version: 2, set: {} } },
  { name: 'the evacuation of a zone', method: 'PUT', path: '/v1/evacuations/a', body: {} },
] as const;

describe('a change whose outcome is not known', () => {
  const harness = new AdminHarness();
  before(() => harness.start());
  after(() => harness.stop());

  for (const { name, ...change } of CHANGES) {
    it(`is answered as such, not as one that was not made: ${name}`, async () => {
      harness.isOutcomeUnknown = true;
      const headers = { 'if-match': '0' };
      const answer = await harness.call({ ...change, headers, authorization: `Bearer ${WRITE_TOKEN}` });
      expect(answer.status, JSON.stringify(answer.body)).to.equal(504);
      expect(answer.body.error).to.include({ code: 'outcome-unknown' });
    });
  }
});
