/** Routes with large responses: their requests may run twice, like those of `safe` routes. */
import { expect } from 'chai';
import { validateRoute } from '../../src/registry/validation/validate-declaration.js';

const ROUTE = {
  name: 'bundles',
  host: 'files.example',
  prefix: '/bundles/',
  type: 'download',
  timeoutMillis: 5000,
  targetMillis: 2500,
  priority: 2,
  service: 'files',
};

describe('a route of type download', () => {
  it('is accepted, and its requests may be repeated', () => {
    expect(validateRoute('routes[0]', ROUTE).repeatable).to.equal(true);
  });

  it('is listed among the valid types when an unknown type is declared', () => {
    const declare = (): unknown => validateRoute('routes[0]', { ...ROUTE, type: 'upload' });
    expect(declare).to.throw('routes[0].type: must be safe, unsafe or download');
  });
});
