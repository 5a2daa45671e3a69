import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { expect } from 'chai';
import { createFence, createNodeHandler, type Fence } from '../../src/upstream/index.js';

describe('a request whose router disconnects before the fence handles it', () => {
  let fence: Fence;
  let server: Server;
  let handled: number;
  let checked: Promise<void>;

  beforeEach(async () => {
    handled = 0;
    fence = createFence({ cluster: 'c1', upstream: 'u1', service: 'orders', keyed: false });
    const guarded = createNodeHandler(fence, (_request, response) => {
      handled += 1;
      response.end();
    });
    let resolveChecked: () => void;
    checked = new Promise((resolve) => {
      resolveChecked = resolve;
    });
    server = createServer(async (request, response) => {
      await once(response, 'close');
      guarded(request, response);
      resolveChecked();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1', () => {
      socket.write('POST / HTTP/1.1\r\nhost: u1\r\ncontent-length: 0\r\n\r\n', () => socket.destroy());
    });
  });

  afterEach(() => {
    server.close();
  });

  it('does not run and is not counted as work in flight', async () => {
    await checked;
    expect(handled).to.equal(0);
    expect(fence.status().inFlight).to.equal(0);
  });
});
