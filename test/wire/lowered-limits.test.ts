/** Limits that are lowered while connections are in use end no request that was read whole. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const LOWERED_MILLIS = 50;
/** The HTTP server looks for requests over their time that often, and lets idle connections be for that much longer. */
const CHECK_MILLIS = 1000;
const GRACE_MILLIS = 1000;

describe('limits that are lowered', () => {
  it('end no request that runs, and none that waits behind it', async () => {
    const running: ServerResponse[] = [];
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      running.push(response);
    });
    const socket = connect(parseAddress(listener.address));
    await once(socket, 'connect');
    let received = '';
    socket.setEncoding('latin1').on('data', (text: string) => {
      received += text;
    });
    socket.write(REQUEST + REQUEST);
    while (running.length < 2) {
      await sleep(1);
    }
    listener.resize({
      headersMillis: LOWERED_MILLIS,
      requestMillis: LOWERED_MILLIS,
      keepAliveMillis: LOWERED_MILLIS,
    });
    await sleep(2 * CHECK_MILLIS + LOWERED_MILLIS);
    for (const response of running) {
      response.end('answer');
    }
    await once(socket, 'data');
    await sleep(LOWERED_MILLIS);
    expect(received.split('HTTP/1.1 200 OK')).to.have.length(3);
    socket.destroy();
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
  });
});
