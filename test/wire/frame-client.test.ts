/** How long a connection between processes may take to come up. */
import { expect } from 'chai';
import { dialMillis } from '../../src/wire/frame-client.js';
import { DEFAULT_WIRE_LIMITS } from '../../src/wire/frame-connection.js';

const { handshakeMillis } = DEFAULT_WIRE_LIMITS;

describe('tries to connect', () => {
  it('are short at first: a machine without power refuses nothing', () => {
    expect(dialMillis(0, DEFAULT_WIRE_LIMITS)).to.be.at.most(handshakeMillis / 4);
  });

  it('become as long as a handshake may take, and no longer', () => {
    const times = [0, 1, 2, 3, 10, 1000].map((failures) => dialMillis(failures, DEFAULT_WIRE_LIMITS));
    expect(times).to.deep.equal([...times].sort((one, other) => one - other));
    expect(times.at(-1)).to.equal(handshakeMillis);
  });
});
