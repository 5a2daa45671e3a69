/** TCP keep-alive is set exactly once on each connection to an upstream. */
import { once } from 'node:events';
import { type AddressInfo, createServer, Socket } from 'node:net';
import { expect } from 'chai';
import { createSettledConnector } from '../../src/router/attempts/settled-connector.js';

describe('a settled connection', () => {
  const { setKeepAlive } = Socket.prototype;

  afterEach(() => {
    Socket.prototype.setKeepAlive = setKeepAlive;
  });

  it('gets keep-alive probes after an idle minute, set once and only when it is connected', async () => {
    const calls: { readonly on: boolean; readonly millis: number; readonly isConnected: boolean }[] = [];
    Socket.prototype.setKeepAlive = function record(on = false, millis = 0) {
      calls.push({ on, millis, isConnected: !this.connecting });
      return setKeepAlive.call(this, on, millis);
    };
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const connect = createSettledConnector({ timeout: 1000 });
    const target = { hostname: '127.0.0.1', protocol: 'http:', port: String(port) };
    const socket = await new Promise<Socket>((resolve, reject) => {
      connect(target, (error, connected) => (error === null ? resolve(connected as Socket) : reject(error)));
    });
    expect(calls).to.deep.equal([{ on: true, millis: 60_000, isConnected: true }]);
    socket.destroy();
    server.close();
  });
});
