/** A planned stop of a listener. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const CALLERS = 100;
/** More than the sockets of both ends take. */
const ANSWER_BYTES = 8_000_000;
const PIPELINED = 3;
const SLOW_MILLIS = 100;
const GRACE_MILLIS = 5000;

/** Blocks the event loop, so that connections wait to be accepted. */
function block(millis: number): void {
  const end = performance.now() + millis;
  while (performance.now() < end) {
    // Busy.
  }
}

/** Connects, sends `count` requests at once and resolves with what came until the end of the connection. */
function call(address: string, count = 1): { readonly socket: Socket; readonly answer: Promise<string> } {
  const socket = connect(parseAddress(address));
  let received = '';
  socket.setEncoding('latin1');
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(count));
  const answer = new Promise<string>((resolve) => {
    socket.on('data', (text: string) => {
      received += text;
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
  return { socket, answer };
}

/** Sends one request on a new connection. `unanswered`: it was connected, and ended without an answer. */
function callOnce(address: string): Promise<'answered' | 'refused' | 'unanswered'> {
  const socket = connect(parseAddress(address));
  socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  return new Promise((resolve) => {
    socket.once('data', () => {
      resolve('answered');
      socket.destroy();
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      resolve(code === 'ECONNREFUSED' ? 'refused' : 'unanswered'),
    );
    socket.once('close', () => resolve('unanswered'));
  });
}

/** Calls on one new connection after the other until one is refused. Resolves with the number of those without an answer. */
async function callUntilRefused(address: string): Promise<number> {
  let unanswered = 0;
  for (let result = await callOnce(address); result !== 'refused'; result = await callOnce(address)) {
    unanswered += result === 'unanswered' ? 1 : 0;
  }
  return unanswered;
}

describe('a planned stop of a listener', () => {
  it('answers connections that had not been accepted yet, instead of resetting them', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end('ok');
    });
    const calls = Array.from({ length: CALLERS }, () => call(listener.address));
    block(50);
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
    const answers = await Promise.all(calls.map(({ answer }) => answer));
    expect(answers.filter((answer) => answer.endsWith('ok'))).to.have.length(CALLERS);
  });

  // Guards against answers that are cut off because they were handed to the socket, whose caller hadn't taken them yet.
  it('lets slow callers take the answers that wait in their sockets, and those behind them', async () => {
    const body = 'x'.repeat(ANSWER_BYTES);
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end(body);
    });
    const { socket, answer } = call(listener.address, PIPELINED);
    socket.pause();
    await sleep(SLOW_MILLIS);
    const stopped = listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
    await sleep(SLOW_MILLIS);
    socket.resume();
    const received = await answer;
    expect(received.split('HTTP/1.1 200 OK').slice(1)).to.have.length(PIPELINED);
    expect(received.endsWith(body)).to.equal(true);
    await stopped;
  });

  it('closes a connection at once whose answer was taken', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end('ok');
    });
    const used = call(listener.address);
    await once(used.socket, 'data');
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
    expect(await used.answer).to.match(/ok$/);
  });

  // Guards against a stop that a connection without any request holds up until the process is killed.
  it('closes a connection on which nothing was ever sent', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end('ok');
    });
    const silent = call(listener.address, 0);
    await once(silent.socket, 'connect');
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
    expect(await silent.answer).to.equal('');
  });

  // Guards against requests on new connections that are reset unread, since callers that are answered come back and the port closes before all were accepted.
  it('resets no connection of callers that come back at once, but refuses them once its port is closed', async () => {
    const listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, (_request, response) => {
      response.end('ok');
    });
    const { address } = listener;
    const callers = Array.from({ length: CALLERS }, () => callUntilRefused(address));
    await sleep(SLOW_MILLIS);
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
    const unanswered = await Promise.all(callers);
    expect(unanswered.reduce((sum, count) => sum + count, 0)).to.equal(0);
  });
});
