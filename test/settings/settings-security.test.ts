/** Settings that would leave a port unprotected are refused with the name of the setting. */
import { expect } from 'chai';
import { loadControlSettings } from '../../src/settings/control-settings.js';
import { loadRouterSettings } from '../../src/settings/router-settings.js';
import { SettingsError } from '../../src/settings/settings-error.js';

type Flags = Readonly<Record<string, string>>;

const CONTROL: Flags = {
  cluster: 'north',
  zone: 'zone-a',
  'data-folder': './data',
  listen: '127.0.0.1:7400',
  admin: '127.0.0.1:7401',
};
const ROUTER: Flags = {
  cluster: 'north',
  router: 'router-1',
  zone: 'zone-a',
  listen: '127.0.0.1:8000',
  admin: '127.0.0.1:8001',
  control: '127.0.0.1:7400',
};
const SECRET = { 'secret-file': 'cluster.secret' };
const TOKENS = { 'tokens-file': 'tokens.yaml' };

const control = (flags: Flags) => loadControlSettings({ environment: {}, flags: { ...CONTROL, ...flags } });
const router = (flags: Flags) => loadRouterSettings({ environment: {}, flags: { ...ROUTER, ...flags } });

const CASES: readonly (readonly [string, () => unknown, string | null])[] = [
  ['control on loopback without secret and tokens', () => control({}), null],
  [
    'control with secret and tokens',
    () => control({ listen: '10.0.0.1:1', admin: '10.0.0.1:2', ...SECRET, ...TOKENS }),
    null,
  ],
  [
    'an admin port reachable from other hosts without tokens',
    () => control({ admin: '10.0.0.1:7401' }),
    'tokensFile',
  ],
  [
    'an internal port reachable from other hosts without a secret',
    () => control({ listen: '10.0.0.1:7400' }),
    'secretFile',
  ],
  [
    'an internal port on all addresses without a secret',
    () => control({ listen: '0.0.0.0:7400', advertise: '10.0.0.1:7400' }),
    'secretFile',
  ],
  ['a router on loopback without a secret', () => router({}), null],
  ['a router with a secret', () => router({ control: '10.0.0.1:7400', ...SECRET }), null],
  [
    'a router of control on another host without a secret',
    () => router({ control: '127.0.0.1:7400,10.0.0.1:7400' }),
    'secretFile',
  ],
  ['a relay port on loopback without a secret', () => router({ relay: '127.0.0.1:8002' }), null],
  ['a relay port with a secret', () => router({ relay: '10.0.0.1:8002', ...SECRET }), null],
  [
    'a relay port reachable from other hosts without a secret',
    () => router({ relay: '10.0.0.1:8002' }),
    'secretFile',
  ],
  ['a relay port that is the admin port', () => router({ relay: '127.0.0.1:8001' }), 'relay'],
  ['a relay port on all addresses', () => router({ relay: '0.0.0.0:8002', ...SECRET }), 'relay'],
];

describe('settings of ports', () => {
  for (const [name, load, problem] of CASES) {
    it(`${name}: ${problem === null ? 'accepted' : `refused for ${problem}`}`, () => {
      if (problem === null) {
        load();
        return;
      }
      expect(load).to.throw(SettingsError).with.property('message').that.contains(problem);
    });
  }
});
