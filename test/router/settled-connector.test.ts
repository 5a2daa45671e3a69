/** Connections to upstreams are probed while they rest, and that is set once each. */
import { once } from 'node:events';
import { type AddressInfo, createServer, Socket } from 'node:net';
import { expect } from 'chai';
import { createSettledConnector } from '../../src/router/attempts/settled-connector.js';

describe('a settled connection', () => {
  const { setKeepAlive } = Socket.prototype;

  afterEach(() => {
    Socket.prototype.setKeepAlive = setKeepAlive;
  });

  it('is probed after a minute of rest, which is set once, when it stands', async () => {
    const set: { readonly on: boolean; readonly millis: number; readonly isConnected: boolean }[] = [];
    Socket.prototype.setKeepAlive = function note(on = false, millis = 0) {
      set.push({ on, millis, isConnected: !this.connecting });
      return setKeepAlive.call(this, on, millis);
    };
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const connect = createSettledConnector({ timeout: 1000 });
    const target = { hostname: '127.0.0.1', protocol: 'http:', port: String(port) };
    const socket = await new Promise<Socket>((resolve, reject) => {
      connect(target, (error, made) => (error === null ? resolve(made as Socket) : reject(error)));
    });
    expect(set).to.deep.equal([{ on: true, millis: 60_000, isConnected: true }]);
    socket.destroy();
    server.close();
  });
});
