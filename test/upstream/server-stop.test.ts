/** A planned stop of an upstream's server. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { createServerStop, type ServerStop } from '../../src/upstream/index.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** The system takes that much although nothing is read; more than that waits in the process. */
const SIZES_BYTES = [500_000, 12_000_000];
const UNREAD_MILLIS = 500;
const LATE_REQUESTS = 5;
const GRACE_MILLIS = 5000;

describe("a planned stop of an upstream's server", () => {
  let server: Server;
  let stop: ServerStop;
  let body: string;

  beforeEach(async () => {
    server = createServer((_request, response) => response.end(body));
    stop = createServerStop(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  for (const bytes of SIZES_BYTES) {
    // Guards against answers of an upstream that are thrown away when it stops, since their router hadn't taken them.
    it(`delivers an answer of ${bytes} bytes that is read late, whatever comes meanwhile`, async () => {
      body = 'x'.repeat(bytes);
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      let received = '';
      socket.setEncoding('latin1');
      socket.on('error', () => {});
      socket.write(REQUEST);
      await sleep(UNREAD_MILLIS);
      const stopped = stop({ graceMillis: GRACE_MILLIS });
      for (let count = 0; count < LATE_REQUESTS; count += 1) {
        await sleep(UNREAD_MILLIS / LATE_REQUESTS);
        socket.write(REQUEST);
      }
      socket.on('data', (text: string) => {
        received += text;
      });
      await once(socket, 'close');
      await stopped;
      expect(received).to.include(body);
    });
  }

  it('ends although a caller keeps its connection open', async () => {
    body = 'ok';
    const socket = connect({
      port: (server.address() as AddressInfo).port,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    socket.write(REQUEST);
    await once(socket, 'data');
    await stop({ graceMillis: UNREAD_MILLIS });
    socket.destroy();
  });
});
