/** A planned stop of a listener. */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const CALLERS = 100;

/** Blocks the event loop, so that connections wait to be accepted. */
function block(millis: number): void {
  const end = performance.now() + millis;
  while (performance.now() < end) {
    // Busy.
  }
}

/** Connects, sends a request and resolves with what came until the end of the connection. */
function call(address: string): { readonly socket: Socket; readonly answer: Promise<string> } {
  const socket = connect(parseAddress(address));
  let received = '';
  socket.setEncoding('latin1');
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  const answer = new Promise<string>((resolve) => {
    socket.on('data', (text: string) => {
      received += text;
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
  return { socket, answer };
}

describe('a planned stop of a listener', () => {
  it('answers connections that had not been accepted yet, instead of resetting them', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end('ok');
    });
    const calls = Array.from({ length: CALLERS }, () => call(listener.address));
    block(50);
    await listener.stop({ idleMillis: 0 });
    const answers = await Promise.all(calls.map(({ answer }) => answer));
    expect(answers.filter((answer) => answer.endsWith('ok'))).to.have.length(CALLERS);
  });
});
