/** What resets a connection leaves none of it behind. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { resetSocket } from './reset-socket.js';

describe('the reset of a connection', () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => {});
      socket.on('end', () => socket.destroy());
      socket.resume();
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.close();
  });

  // Guards against threads of proxies that never end, and tests with them, since a connection is left open.
  it('closes it while its end is being sent', async () => {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    await once(socket, 'connect');
    const errors: Error[] = [];
    socket.on('error', (error) => errors.push(error));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.end();
    process.nextTick(() => process.nextTick(() => resetSocket(socket)));
    await closed;
    expect(errors).to.deep.equal([]);
  });
});
