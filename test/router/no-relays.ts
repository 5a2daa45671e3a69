/** A dialer for tests in which no other router carries connections. */
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';

export const NO_RELAYS = new RelayDialer({
  identity: {
    greeting: { type: 'greeting', cluster: BENCH_IDENTITY.cluster, kind: 'router', name: 'r1', zone: 'a' },
    secret: BENCH_IDENTITY.secret,
    expects: ['router'],
  },
  onClosing: () => {},
});
