import { expect } from 'chai';
import { NoFreeNetworkError, reserveNetwork } from '../../src/dev/fleet/network-reservation.js';

const PREFERRED = 231;
const LAST_NETWORK = 254;

describe('network reservation', () => {
  it('assigns different networks to two fleets, and reuses a released one', async () => {
    const first = await reserveNetwork(PREFERRED);
    const second = await reserveNetwork(PREFERRED);
    expect(second.network).not.to.equal(first.network);
    await first.release();
    const third = await reserveNetwork(first.network);
    expect(third.network).to.equal(first.network);
    await Promise.all([second.release(), third.release()]);
  });

  it('throws if no network is free', async () => {
    const last = await reserveNetwork(LAST_NETWORK).catch(() => undefined);
    const error = await reserveNetwork(LAST_NETWORK).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(NoFreeNetworkError);
    await last?.release();
  });
});
