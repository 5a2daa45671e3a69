/** A connection's end by a FIN is told from its reset, also if the system reports both alike. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { CONNECTION_RESET_CODE } from '../../src/router/attempts/attempt-error.js';
import { SocketConnection } from '../../src/router/attempts/socket-connection.js';

/** Endings of each kind; the environment sets another number. */
const ENDINGS = Number(process.env.ENDINGS ?? 300);
const AT_A_TIME = 10;
const SIZES = [1, 400, 2400, 70_000, 300_000];
/** Delays of an end after the last byte; -1: as soon as the system took it. */
const DELAYS_MILLIS = [-1, -1, 0, 1, 3];
/** How long the loop is busy at a time, so that the last bytes and the end are found together. */
const BUSY_MILLIS = 5;

/** A request that the system takes at once, and one whose rest waits until the end, since nothing reads it. */
const REQUESTS = [
  { request: Buffer.from('x'), what: '' },
  { request: Buffer.alloc(8_000_000, 'x'), what: ', while the request is still being sent' },
] as const;

/** How long a connection with an unread request stays open: long after its end was sent. */
const UNREAD_MILLIS = 500;

type Ending = (socket: Socket) => unknown;

function spin(): void {
  const end = performance.now() + BUSY_MILLIS;
  while (performance.now() < end) {
    // Busy.
  }
}

describe('the end of a connection', function suite() {
  this.timeout(60_000 + ENDINGS * 10);
  let server: Server;
  let end: Ending = () => {};
  let spinning: NodeJS.Timeout | undefined;

  before(async () => {
    let count = 0;
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', (chunk: Buffer) => {
        count += 1;
        if (chunk.length > 1) {
          // Nothing reads the rest of the request until the connection is closed.
          socket.pause();
          setTimeout(() => socket.destroy(), UNREAD_MILLIS);
        }
        const size = SIZES[count % SIZES.length] as number;
        const delay = DELAYS_MILLIS[Math.floor(count / SIZES.length) % DELAYS_MILLIS.length] as number;
        socket.write(Buffer.alloc(size, 'x'), () => {
          if (delay < 0) {
            end(socket);
          } else {
            setTimeout(() => end(socket), delay);
          }
        });
      });
      socket.resume();
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => clearInterval(spinning));

  after(() => server.close());

  /** Resolves with how the connection ended: `fin`, or the code of its error. */
  function endOfOne(request: Buffer): Promise<string> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve) => {
      const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      const connection = new SocketConnection(socket);
      connection.on('error', ({ code }: NodeJS.ErrnoException) => resolve(String(code)));
      connection.on('end', () => {
        resolve('fin');
        connection.destroy();
      });
      connection.resume();
      connection.write(request);
    });
  }

  async function countEnds(request: Buffer): Promise<Record<string, number>> {
    const counts: Record<string, number> = {};
    let left = ENDINGS;
    const work = async (): Promise<void> => {
      while (left > 0) {
        left -= 1;
        const how = await endOfOne(request);
        counts[how] = (counts[how] ?? 0) + 1;
      }
    };
    await Promise.all(Array.from({ length: AT_A_TIME }, work));
    return counts;
  }

  for (const isBusy of [false, true]) {
    for (const { request, what } of REQUESTS) {
      const when = `${what}${isBusy ? ', while the process is busy' : ''}`;

      // Guards against whole answers that are lost: an upstream may end before it has read its request.
      it(`is seen as a FIN if it was one${when}`, async () => {
        end = (socket) => socket.end();
        spinning = isBusy ? setInterval(spin, 2 * BUSY_MILLIS) : undefined;
        expect(await countEnds(request)).to.deep.equal({ fin: ENDINGS });
      });

      // Guards against truncated answers that pass for whole: the system may report a reset as an ordinary end.
      it(`is seen as a reset if it was one${when}`, async () => {
        end = (socket) => socket.resetAndDestroy();
        spinning = isBusy ? setInterval(spin, 2 * BUSY_MILLIS) : undefined;
        expect(await countEnds(request)).to.deep.equal({ [CONNECTION_RESET_CODE]: ENDINGS });
      });
    }
  }
});
