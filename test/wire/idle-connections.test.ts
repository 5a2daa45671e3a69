/** A request that came while its process was held up is answered, although the time of its idle connection ended meanwhile. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextImmediate, setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const IDLE_MILLIS = 150;
/** The HTTP server lets a connection be idle for that much longer than it tells callers. */
const IDLE_BUFFER_MILLIS = 1000;
/** Much less than the time of an idle connection. */
const REST_MILLIS = 20;
const HELD_UP_MILLIS = 2 * IDLE_MILLIS;
const GRACE_MILLIS = 2000;

class IdleCaller {
  received = '';
  readonly #socket: Socket;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding('latin1').on('data', (text: string) => {
      this.received += text;
    });
  }

  /** Connects and takes the answer to a first request. */
  static async connect(address: string): Promise<IdleCaller> {
    const socket = connect(parseAddress(address));
    const caller = new IdleCaller(socket);
    await once(socket, 'connect');
    caller.send();
    await once(socket, 'data');
    return caller;
  }

  get answers(): number {
    return this.received.split('HTTP/1.1 200 OK').length - 1;
  }

  /** The system takes the request at once, so that it waits for the listener however long this process is held up. */
  send(): void {
    this.#socket.write(REQUEST);
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** Sends a request and then runs no timer and reads no socket of this process until idle times have ended. Timers run next. */
async function sendAndHoldUp(caller: IdleCaller): Promise<void> {
  await nextImmediate();
  caller.send();
  const until = performance.now() + HELD_UP_MILLIS;
  while (performance.now() < until) {
    // Busy.
  }
}

async function listen(keepAliveMillis: number): Promise<HttpListener> {
  const limits = { ...DEFAULT_HTTP_LIMITS, keepAliveMillis };
  return HttpListener.listen('127.0.0.1:0', limits, (_request, response) => void response.end('answer'));
}

describe('a request on a connection whose idle time ends while the process is held up', () => {
  let listener: HttpListener;
  let caller: IdleCaller;

  afterEach(() => caller.close());

  it('is answered after the limit of idle connections', async () => {
    listener = await listen(IDLE_MILLIS);
    caller = await IdleCaller.connect(listener.address);
    await sleep(IDLE_BUFFER_MILLIS + REST_MILLIS);
    await sendAndHoldUp(caller);
    await sleep(REST_MILLIS);
    expect(caller.answers).to.equal(2);
    caller.close();
    await listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS });
  });

  it('is answered in a planned stop', async () => {
    listener = await listen(DEFAULT_HTTP_LIMITS.keepAliveMillis);
    caller = await IdleCaller.connect(listener.address);
    const stopped = listener.stop({ idleMillis: IDLE_MILLIS, graceMillis: GRACE_MILLIS });
    await sleep(REST_MILLIS);
    await sendAndHoldUp(caller);
    await stopped;
    expect(caller.answers).to.equal(2);
    expect(caller.received).to.match(/connection: close/i);
  });
});
