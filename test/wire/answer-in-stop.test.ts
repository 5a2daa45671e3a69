/** A planned stop of a listener: which answers close their connections, and for how long connections are accepted. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const STOP_TIMES = { idleMillis: 0, graceMillis: 1000 };
const POLL_MILLIS = 5;
const LONG_MILLIS = 20_000;

describe('a planned stop of a listener', () => {
  let listener: HttpListener;
  let running: ServerResponse[];
  let socket: Socket;
  let received: string;

  beforeEach(async () => {
    running = [];
    received = '';
    listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      running.push(response);
    });
    socket = connect(parseAddress(listener.address));
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
    });
    await send(1);
  });

  afterEach(() => socket.destroy());

  /** Sends a request, and returns when `count` were received. */
  async function send(count: number): Promise<void> {
    socket.write(REQUEST);
    while (running.length < count) {
      await sleep(POLL_MILLIS);
    }
  }

  async function answerAll(stopped: Promise<void>): Promise<void> {
    for (const response of running) {
      response.end('ok');
    }
    await once(socket, 'close');
    await stopped;
  }

  // Guards against requests that come on a connection just when a stopped server closes it.
  it('closes a connection with the answer to a request that was read before, and says so', async () => {
    await answerAll(listener.stop(STOP_TIMES));
    expect(received).to.match(/connection: close/i);
  });

  it('answers a request that comes behind it, and closes with that', async () => {
    const stopped = listener.stop(STOP_TIMES);
    await send(2);
    await answerAll(stopped);
    expect(received.match(/HTTP\/1.1 200/g)).to.have.length(2);
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });

  // Guards against stops that outlast the time after which their process may be killed, since they accept connections for longer.
  it('accepts connections no longer than it has time for answers', async () => {
    socket.destroy();
    await listener.stop({ lameDuckMillis: LONG_MILLIS, idleMillis: 0, answersMillis: 20, graceMillis: 50 });
  }).timeout(LONG_MILLIS / 2);
});
