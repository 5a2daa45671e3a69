/** Connect timeouts between processes. */
import { expect } from 'chai';
import { connectTimeoutMillis } from '../../src/wire/frame-client.js';
import { DEFAULT_WIRE_LIMITS } from '../../src/wire/frame-connection.js';

const { handshakeMillis } = DEFAULT_WIRE_LIMITS;

describe('connect timeouts', () => {
  it('are short at first, since a machine without power refuses nothing', () => {
    expect(connectTimeoutMillis(0, DEFAULT_WIRE_LIMITS)).to.be.at.most(handshakeMillis / 4);
  });

  it('grow up to the handshake timeout', () => {
    const times = [0, 1, 2, 3, 10, 1000].map((failures) =>
      connectTimeoutMillis(failures, DEFAULT_WIRE_LIMITS),
    );
    expect(times).to.deep.equal([...times].sort((one, other) => one - other));
    expect(times.at(-1)).to.equal(handshakeMillis);
  });
});
