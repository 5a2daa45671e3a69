import { expect } from 'chai';
import { formatShardId, parseShardId } from '../../src/model/identifiers.js';

describe('shard names', () => {
  it('parses what it formats', () => {
    const parts = { service: 'menuboard', keyspace: 'sheets', generation: 12, number: 7 };
    expect(parseShardId(formatShardId(parts))).to.deep.equal(parts);
  });

  for (const text of ['', 'a/b/1', 'a/b@x/1', 'a/b@1/', 'a/b@1/2/3']) {
    it(`rejects ${JSON.stringify(text)}`, () => {
      expect(parseShardId(text)).to.equal(undefined);
    });
  }
});
