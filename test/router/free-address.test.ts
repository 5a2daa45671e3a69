/** What tests listen at stays free until they do. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { freeAddress } from './free-address.js';

describe('a free address', () => {
  let server: Server;
  let outgoing: Socket;

  beforeEach(async () => {
    server = createServer((socket) => socket.on('error', () => {})).listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    outgoing.destroy();
    server.close();
  });

  // Guards against tests that fail because a connection of any process has their port by the time they listen.
  it('has a host of which an outgoing connection takes no port', async () => {
    const [host] = (await freeAddress()).split(':');
    const { port } = server.address() as AddressInfo;
    outgoing = connect({ host: '127.0.0.1', port });
    await once(outgoing, 'connect');
    const listener = createServer().listen(outgoing.localPort, host);
    await once(listener, 'listening');
    listener.close();
  });
});
