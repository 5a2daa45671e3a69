/** A router sends the ledger the body of an answer if the ledger stores it whole, and no body that the ledger would drop. */
import { expect } from 'chai';
import { STORED_BODY_LIMIT } from '../../src/ledger/limits.js';
import { storedAnswerOf } from '../../src/router/attempts/stored-answer.js';
import { DEFAULT_ROUTER_LIMITS } from '../../src/router/settings.js';

describe('answers stored for resends', () => {
  const { storedAnswerBytes } = DEFAULT_ROUTER_LIMITS;

  it('are sent with their body up to the limit of the ledger', () => {
    const stored = storedAnswerOf(
      200,
      ['Content-Type', 'a/b'],
      Buffer.alloc(storedAnswerBytes),
      storedAnswerBytes,
    );
    expect(stored).to.include({ status: 200, contentType: 'a/b', truncated: false });
    expect(stored.body).to.have.length(STORED_BODY_LIMIT);
  });

  it('are sent without their body above it', () => {
    const body = Buffer.alloc(storedAnswerBytes + 1);
    expect(storedAnswerOf(200, [], body, storedAnswerBytes)).to.deep.equal({
      status: 200,
      contentType: '',
      body: '',
      truncated: true,
    });
  });
});
