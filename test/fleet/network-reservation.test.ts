import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { FLEET_DEFAULTS } from '../../src/dev/fleet/fleet-options.js';
import {
  MAX_NETWORKS_TRIED,
  NoFreeNetworkError,
  reserveNetwork,
} from '../../src/dev/fleet/network-reservation.js';

const PREFERRED = 231;
const LAST_NETWORK = 254;
const SOURCES = fileURLToPath(new URL('../../../test/', import.meta.url));
/** A network as tests name those that they use themselves: a constant, or part of an address. */
const NAMED_NETWORK = /NETWORK = (\d+);|127\.(\d+)\./g;

/** Networks that tests name, by file. */
function namedNetworks(): { file: string; network: number }[] {
  const files = readdirSync(SOURCES, { recursive: true, encoding: 'utf8' });
  return files
    .filter((file) => file.endsWith('.ts') && file !== join('fleet', 'network-reservation.test.ts'))
    .flatMap((file) => {
      const matches = [...readFileSync(join(SOURCES, file), 'utf8').matchAll(NAMED_NETWORK)];
      return matches.map(([, constant, part]) => ({ file, network: Number(constant ?? part) }));
    });
}

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

  // Guards against fleets beside others that take addresses of tests, and end before they are ready.
  it('assigns no network that a test uses', () => {
    const named = namedNetworks();
    const { network: first } = FLEET_DEFAULTS;
    const taken = named.filter(({ network }) => network >= first && network < first + MAX_NETWORKS_TRIED);
    expect(named).to.not.be.empty;
    expect(taken).to.deep.equal([]);
  });

  it('throws if no network is free', async () => {
    const last = await reserveNetwork(LAST_NETWORK).catch(() => undefined);
    const error = await reserveNetwork(LAST_NETWORK).catch((thrown: unknown) => thrown);
    expect(error).to.be.instanceOf(NoFreeNetworkError);
    await last?.release();
  });
});
