import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { UpstreamSessions } from '../../src/control/daemon/upstream-sessions.js';
import { RouterClient } from '../../src/dev/standins/caller/router-client.js';
import { createLogger } from '../../src/logging/logger.js';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { DEFAULT_WIRE_LIMITS, FrameClient } from '../../src/wire/index.js';
import { NO_RELAYS } from '../router/no-relays.js';

const OWN_HOST = '127.0.0.9';

/** Opens one connection to `address` from `OWN_HOST`; returns a function that closes it. */
type Connector = (address: string) => () => unknown;

const CONNECTORS: Readonly<Record<string, Connector>> = {
  'a router to an upstream': (address) => {
    const options = { connectionsPerUpstream: 1, connectMillis: 1000, onClientFailed: () => {} };
    const pools = new UpstreamPools({ ...options, localAddress: OWN_HOST, dialer: NO_RELAYS });
    pools
      .poolFor({ upstream: 'u1', address, via: null })
      .request({ path: '/', method: 'GET' })
      .catch(() => {});
    return () => pools.stop();
  },
  'control to an upstream': (address) => {
    const owner = { answered: () => {}, failed: () => {} };
    const sessions = new UpstreamSessions({
      timeoutMillis: 1000,
      owner,
      log: createLogger('test'),
      localAddress: OWN_HOST,
      secret: '',
    });
    sessions.call('u1', address, {
      cluster: 'c1',
      leader: 'm1',
      term: 1,
      sequence: 1,
      upstream: 'u1',
      incarnation: null,
      validUntil: null,
      keyMap: null,
      orders: [],
      complete: false,
      drain: false,
    });
    return () => sessions.stop();
  },
  'a daemon to control': (address) => {
    const greeting = { type: 'greeting', cluster: 'c1', kind: 'router', name: 'r1', zone: 'a' } as const;
    const identity = { greeting, secret: 'secret', expects: ['control'] as const };
    const client = new FrameClient({
      address,
      localAddress: OWN_HOST,
      identity,
      limits: DEFAULT_WIRE_LIMITS,
    });
    return () => client.stop();
  },
  'a stand-in caller to a router': (address) => {
    const client = new RouterClient({
      name: 'router-1',
      address,
      localAddress: OWN_HOST,
      form: 'by-service',
      connections: 1,
      pipelining: 1,
    });
    void client.send({
      service: 'items',
      method: 'GET',
      request: 'r1',
      id: 'r1',
      key: null,
      idempotencyKey: null,
      coalesced: false,
      deadlineMillis: 1000,
      leaveMillis: null,
    });
    return () => client.close();
  },
};

describe('outgoing connections', () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.close();
  });

  for (const [title, connectTo] of Object.entries(CONNECTORS)) {
    it(`of ${title} use its own IP address`, async () => {
      const { port } = server.address() as AddressInfo;
      const stop = connectTo(`127.0.0.1:${port}`);
      const [socket] = (await once(server, 'connection')) as [Socket];
      const { remoteAddress } = socket;
      socket.destroy();
      await stop();
      expect(remoteAddress).to.equal(OWN_HOST);
    });
  }
});
