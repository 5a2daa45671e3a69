/** What a slow caller still gets when its connection is closed, whatever closes it and whatever it still sends. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { DEFAULT_HTTP_LIMITS, type HttpLimits, HttpListener } from '../../src/wire/http/http-listener.js';
import type { CutConnection } from '../../src/wire/http/lingering-connections.js';

/** The system takes that much although nothing is read. */
const ANSWER = 'x'.repeat(500_000);
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const GRACE_MILLIS = 5000;
/** Longer than any of the limits below. */
const UNREAD_MILLIS = 1500;
const SEND_EACH_MILLIS = 50;
const SHORT_GRACE_MILLIS = 300;
const ENDLESS_BYTES = 64 * 1024 * 1024;
const DISCARDED_BYTES = 16 * 1024 * 1024;

interface Ending {
  readonly name: string;
  readonly limits?: Partial<HttpLimits>;
  /** What closes the connection, once its answer has left the process. */
  readonly close: (listener: HttpListener, socket: Socket) => void;
  /** What the caller goes on sending. */
  readonly late: string;
  /** From when on. Default: at once. */
  readonly lateFromMillis?: number;
  readonly lastStatus: number;
}

const ENDINGS: readonly Ending[] = [
  {
    name: 'a planned stop',
    close: (listener) => void listener.stop({ idleMillis: 0, graceMillis: GRACE_MILLIS }),
    late: REQUEST,
    lastStatus: 200,
  },
  {
    name: 'the limit of idle connections',
    limits: { keepAliveMillis: 200 },
    close: () => {},
    lateFromMillis: 1600,
    late: REQUEST,
    lastStatus: 200,
  },
  {
    name: 'an answer that says so',
    close: (_listener, socket) => socket.write('GET /last HTTP/1.1\r\nHost: a\r\n\r\n'),
    late: REQUEST,
    lastStatus: 204,
  },
  {
    name: 'bytes that are no request',
    close: (_listener, socket) => socket.write('NONSENSE\r\n\r\n'),
    late: REQUEST,
    lastStatus: 400,
  },
  {
    name: 'a request for a tunnel',
    close: (_listener, socket) => socket.write('CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n'),
    late: REQUEST,
    lastStatus: 400,
  },
  {
    name: 'a header over the limit',
    close: (_listener, socket) => socket.write(`GET / HTTP/1.1\r\nX: ${'x'.repeat(20_000)}`),
    late: 'x'.repeat(20_000),
    lastStatus: 431,
  },
  {
    name: 'a request that comes too slowly',
    limits: { headersMillis: 100, requestMillis: 100 },
    close: (_listener, socket) => socket.write('GET / HTTP/1.1\r\nX: '),
    late: 'x',
    lastStatus: 408,
  },
];

function answer(path: string | undefined, response: ServerResponse): void {
  if (path === '/last') {
    response.shouldKeepAlive = false;
    response.writeHead(204).end();
  } else {
    response.end(ANSWER);
  }
}

class SlowCaller {
  readonly socket: Socket;
  received = '';
  error: string | null = null;
  readonly ended: Promise<unknown>;
  #timer: NodeJS.Timeout | undefined;

  private constructor(socket: Socket) {
    this.socket = socket;
    socket.setEncoding('latin1');
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      this.error = code ?? 'unknown';
    });
    this.ended = Promise.race([once(socket, 'end'), once(socket, 'close')]).catch(() => {});
  }

  static async connect(address: string): Promise<SlowCaller> {
    const socket = connect({ ...parseAddress(address), allowHalfOpen: true });
    await once(socket, 'connect');
    return new SlowCaller(socket);
  }

  /** Goes on sending `text` until `close`. */
  keepSending(text: string): void {
    this.#timer = setInterval(() => {
      if (this.socket.writable) {
        this.socket.write(text);
      }
    }, SEND_EACH_MILLIS);
  }

  read(): void {
    this.socket.on('data', (text: string) => {
      this.received += text;
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.socket.destroy();
  }
}

describe('a connection that is closed before its slow caller has taken its answers', () => {
  let listener: HttpListener;
  let caller: SlowCaller;
  let cuts: CutConnection[];
  let hasSent: () => void;

  /** Opens a connection whose first answer has left the process. */
  async function open(limits: Partial<HttpLimits> = {}): Promise<void> {
    cuts = [];
    const sent = new Promise<void>((resolve) => {
      hasSent = resolve;
    });
    listener = await HttpListener.listen(
      '127.0.0.1:0',
      { ...DEFAULT_HTTP_LIMITS, ...limits },
      ({ url }, response) => {
        response.once('close', () => hasSent());
        answer(url, response);
      },
      { onCut: (cut) => cuts.push(cut) },
    );
    caller = await SlowCaller.connect(listener.address);
    caller.socket.write(REQUEST);
    await sent;
  }

  afterEach(async () => {
    caller.close();
    await listener.stop({ idleMillis: 0, graceMillis: 0 });
  });

  for (const { name, limits, close, late, lateFromMillis = 0, lastStatus } of ENDINGS) {
    // Guards against answers that the system held for a slow caller and threw away, since bytes came to a closed connection.
    it(`delivers them all, then ends, after ${name}`, async () => {
      await open(limits);
      close(listener, caller.socket);
      await sleep(lateFromMillis);
      caller.keepSending(late);
      await sleep(UNREAD_MILLIS);
      caller.read();
      await caller.ended;
      expect(caller.error).to.equal(null);
      expect(caller.received).to.include(ANSWER);
      const statuses = [...caller.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
      expect(statuses.at(-1)).to.equal(lastStatus);
    });
  }

  // Guards against a stop that lasts as long as callers like.
  it('is closed at the end of the grace time of a stop if its caller keeps it open', async () => {
    await open();
    await listener.stop({ idleMillis: 0, graceMillis: SHORT_GRACE_MILLIS });
    expect(cuts.map(({ unsentBytes }) => unsentBytes)).to.deep.equal([0]);
  });

  // Guards against callers that keep a closing connection busy for as long as it is open.
  it('is read no further than to a bound of discarded bytes', async () => {
    await open();
    const stopped = listener.stop({ idleMillis: 0, graceMillis: UNREAD_MILLIS });
    caller.socket.write('x'.repeat(ENDLESS_BYTES));
    await stopped;
    expect(cuts[0]?.discardedBytes).to.be.within(DISCARDED_BYTES, DISCARDED_BYTES * 1.1);
  });
});
