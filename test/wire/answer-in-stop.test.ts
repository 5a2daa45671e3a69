/** An answer that is written in a stop of a listener, to a request that was read before. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const POLL_MILLIS = 5;
const LONG_MILLIS = 20_000;

async function untilLength(list: readonly unknown[], length: number): Promise<void> {
  while (list.length < length) {
    await sleep(POLL_MILLIS);
  }
}

describe('a planned stop of a listener, beside a request that runs', () => {
  // Guards against requests that come on a connection just when a stopped server closes it.
  it('closes the connection with the answer, and says so', async () => {
    const running: ServerResponse[] = [];
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      running.push(response);
    });
    const socket = connect(parseAddress(listener.address));
    let received = '';
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
    });
    socket.write(REQUEST);
    await untilLength(running, 1);
    const stopped = listener.stop({ idleMillis: 0, graceMillis: 1000 });
    running[0]?.end('ok');
    await once(socket, 'close');
    await stopped;
    expect(received).to.match(/connection: close/i);
  });

  it('answers a request that comes behind it, and closes with that', async () => {
    const running: ServerResponse[] = [];
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      running.push(response);
    });
    const socket = connect(parseAddress(listener.address));
    let received = '';
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
    });
    socket.write(REQUEST);
    await untilLength(running, 1);
    const stopped = listener.stop({ idleMillis: 0, graceMillis: 1000 });
    socket.write(REQUEST);
    await untilLength(running, 2);
    for (const response of running) {
      response.end('ok');
    }
    await once(socket, 'close');
    await stopped;
    expect(received.match(/HTTP\/1.1 200/g)).to.have.length(2);
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });

  // Guards against stops that outlast the time after which their process may be killed, since they accept connections for longer.
  it('accepts connections no longer than it has time for answers', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, () => {});
    await listener.stop({ lameDuckMillis: LONG_MILLIS, idleMillis: 0, answersMillis: 20, graceMillis: 50 });
  }).timeout(LONG_MILLIS / 2);
});
