/** Errors that the HTTP client itself throws. */
import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { expect } from 'chai';
import { ResettableClient } from '../../src/router/attempts/resettable-client.js';
import { createSettledConnector } from '../../src/router/attempts/settled-connector.js';

describe('an error of the HTTP client', () => {
  // Guards against a process that ends with an exchange, whatever the client throws while its connection reports an event.
  it('is the end of its exchange, and is reported', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart'));
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const failures: Error[] = [];
    const fault = new Error('a fault of the client');
    const connector = createSettledConnector({ timeout: 1000 });
    const client = new ResettableClient(
      new URL(`http://127.0.0.1:${port}`),
      {
        connect: (target, callback) =>
          connector(target, (error, stream) => {
            stream?.on('readable', () => {
              throw fault;
            });
            callback(...([error, stream] as Parameters<typeof callback>));
          }),
      },
      (error) => failures.push(error),
    );
    const removed = once(client, 'connectionError');
    const ended = new Promise<Error>((resolve) => {
      client.dispatch(
        { path: '/', method: 'GET' },
        {
          onConnect: () => {},
          onHeaders: () => true,
          onData: () => true,
          onComplete: () => {},
          onError: resolve,
        },
      );
    });
    expect(await ended).to.equal(fault);
    expect(failures[0]).to.equal(fault);
    await removed;
    server.close();
  });
});
