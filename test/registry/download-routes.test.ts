/** Routes whose answers are large: what they ask for may be run twice, like that of `safe` ones. */
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
  it('is taken, and may be repeated', () => {
    expect(validateRoute('routes[0]', ROUTE).repeatable).to.equal(true);
  });

  it('is named among the types that there are when another is declared', () => {
    const declare = (): unknown => validateRoute('routes[0]', { ...ROUTE, type: 'upload' });
    expect(declare).to.throw('routes[0].type: must be safe, unsafe or download');
  });
});
