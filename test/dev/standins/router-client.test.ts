/** What a stand-in caller sends and records. */
import { createServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { Attempt } from '../../../src/dev/standins/caller/request-form.js';
import { RouterClient } from '../../../src/dev/standins/caller/router-client.js';

function read(request: string): Attempt {
  return {
    service: 'items',
    method: 'GET',
    request,
    id: request,
    key: null,
    idempotencyKey: null,
    coalesced: false,
    deadlineMillis: 500,
    leaveMillis: null,
  };
}

describe('the client of a stand-in caller', () => {
  it('does not send a pipelined read again by itself: the first sending may have run', async () => {
    const arrivals: string[] = [];
    const server = createServer((socket: Socket) => {
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        const targets = [...String(bytes).matchAll(/GET \S+request=(\S+) HTTP/g)].map(
          ([, name = '']) => name,
        );
        arrivals.push(...targets);
        if (arrivals.length === 2) {
          socket.end('HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
        }
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as { port: number };
    const client = new RouterClient({
      name: 'router-1',
      address: `127.0.0.1:${port}`,
      localAddress: '127.0.0.1',
      form: 'by-service',
      connections: 1,
      pipelining: 8,
    });
    const answers = await Promise.all(['a', 'b'].map((name) => client.send(read(name))));
    await sleep(100);
    expect(arrivals).to.deep.equal(['a', 'b']);
    expect(answers.map(({ verdict }) => verdict)).to.deep.equal(['refused', 'lost']);
    await client.close();
    server.close();
  });

  it('tells a connection that it closed itself for another read from one that was closed', async () => {
    const server = createServer((socket: Socket) => {
      socket.on('error', () => {});
      socket.resume();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as { port: number };
    const client = new RouterClient({
      name: 'router-1',
      address: `127.0.0.1:${port}`,
      localAddress: '127.0.0.1',
      form: 'by-service',
      connections: 1,
      pipelining: 8,
    });
    const leaving = client.send({ ...read('a'), leaveMillis: 50 });
    const behind = client.send(read('b'));
    expect([(await leaving).verdict, (await behind).verdict]).to.deep.equal(['left', 'left']);
    await client.close();
    server.close();
  });
});
