import { expect } from 'chai';
import { NoFreeNetworkError, reserveNetwork } from '../../src/dev/fleet/network-reservation.js';

const PREFERRED = 231;
const LAST_NETWORK = 254;

describe('network reservation', () => {
  it('gives two fleets two networks, and a released one again', async () => {
    const first = await reserveNetwork(PREFERRED);
    const second = await reserveNetwork(PREFERRED);
    expect(second.network).not.to.equal(first.network);
    await first.release();
    const third = await reserveNetwork(first.network);
    expect(third.network).to.equal(first.network);
    await Promise.all([second.release(), third.release()]);
  });

  it('says so if none is left', async () => {
    const last = await reserveNetwork(LAST_NETWORK).catch(() => undefined);
    const error = await reserveNetwork(LAST_NETWORK).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(NoFreeNetworkError);
    await last?.release();
  });
});
