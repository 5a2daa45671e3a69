/** What a router sends to the ledger of an answer: whatever the ledger keeps whole, and nothing that it would drop. */
import { expect } from 'chai';
import { STORED_BODY_LIMIT } from '../../src/ledger/limits.js';
import { storedAnswerOf } from '../../src/router/attempts/stored-answer.js';
import { DEFAULT_ROUTER_LIMITS } from '../../src/router/settings.js';

describe('answers kept for resends', () => {
  const { storedAnswerBytes } = DEFAULT_ROUTER_LIMITS;

  it('are sent up to what the ledger keeps', () => {
    const stored = storedAnswerOf(
      200,
      ['Content-Type', 'a/b'],
      Buffer.alloc(storedAnswerBytes),
      storedAnswerBytes,
    );
    expect(stored).to.include({ status: 200, contentType: 'a/b', truncated: false });
    expect(stored.body).to.have.length(STORED_BODY_LIMIT);
  });

  it('are sent without their body beyond that', () => {
    const body = Buffer.alloc(storedAnswerBytes + 1);
    expect(storedAnswerOf(200, [], body, storedAnswerBytes)).to.deep.equal({
      status: 200,
      contentType: '',
      body: '',
      truncated: true,
    });
  });
});
