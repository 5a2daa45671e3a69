import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import type { LinkRule } from '../../../src/dev/standins/link/link-settings.js';
import { LinkStandin } from '../../../src/dev/standins/link/link-standin.js';
import { OWN_HOST } from '../../router/free-address.js';

const SOURCE = '127.0.0.1';
const zones = { near: [SOURCE], far: [] };
const bothWays = (state: LinkRule['state']): LinkRule[] => [
  { from: 'near', to: 'far', state },
  { from: 'far', to: 'near', state },
];

describe('LinkStandin', () => {
  let echo: Server;
  let link: LinkStandin;
  let sockets: Socket[];
  let received: string;

  beforeEach(async () => {
    sockets = [];
    received = '';
    echo = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        received += bytes.toString();
        socket.write(bytes);
      });
    });
    echo.listen(0, OWN_HOST);
    await once(echo, 'listening');
    const { port } = echo.address() as AddressInfo;
    const route = { listen: '127.0.0.1:0', target: `${OWN_HOST}:${port}`, targetZone: 'far' };
    link = new LinkStandin({ control: '127.0.0.1:0', seed: 1, zones, routes: [route], delayMillis: 1 });
    await link.start();
  });

  afterEach(async () => {
    for (const socket of sockets) {
      socket.destroy();
    }
    echo.close();
    await link.stop();
  });

  function dial(): Socket {
    const [address = ''] = link.addresses();
    const [host, port] = address.split(':');
    const socket = connect({ host: host as string, port: Number(port), localAddress: SOURCE });
    socket.on('error', () => {});
    sockets.push(socket);
    return socket;
  }

  /** Returns `connect`, or the code of the connection error. */
  async function dialResult(): Promise<string> {
    const socket = dial();
    return new Promise((resolve) => {
      socket.once('connect', () => resolve('connect'));
      socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
    });
  }

  /** Unlike `once` of `node:events`, doesn't throw on the reset that precedes the close. */
  function closeOf(socket: Socket): Promise<void> {
    return new Promise((resolve) => socket.once('close', () => resolve()));
  }

  async function exchange(socket: Socket, text: string): Promise<string> {
    const answer = once(socket, 'data');
    socket.write(text);
    const [bytes] = (await answer) as [Buffer];
    return bytes.toString();
  }

  it('forwards both ways', async () => {
    expect(await exchange(dial(), 'hello')).to.equal('hello');
  });

  it('resets connections when a cut begins and refuses new ones until it ends', async () => {
    const socket = dial();
    await exchange(socket, 'hello');
    const closed = closeOf(socket);
    for (const rule of bothWays('refuse')) {
      link.rules.apply(rule);
    }
    await closed;
    await closeOf(dial());
    for (const rule of bothWays('open')) {
      link.rules.apply(rule);
    }
    expect(await exchange(dial(), 'again')).to.equal('again');
  });

  it('holds one direction: requests arrive, and answers wait until it opens again', async () => {
    const socket = dial();
    await exchange(socket, 'a');
    link.rules.apply({ from: 'far', to: 'near', state: 'hold' });
    let answered = false;
    socket.on('data', () => {
      answered = true;
    });
    const [upstream] = sockets.slice(-1);
    socket.write('b');
    while (!received.endsWith('b')) {
      await once(upstream as Socket, 'data');
    }
    expect(answered).to.equal(false);
    expect(socket.destroyed).to.equal(false);
    const late = once(socket, 'data');
    link.rules.apply({ from: 'far', to: 'near', state: 'open' });
    const [bytes] = (await late) as [Buffer];
    expect(bytes.toString()).to.equal('b');
  });

  it('refuses connections while the target does', async () => {
    const { port } = echo.address() as AddressInfo;
    const closed = once(echo, 'close');
    echo.close();
    await closed;
    while ((await dialResult()) !== 'ECONNREFUSED') {
      await delay(5);
    }
    echo.listen(port, OWN_HOST);
    while ((await dialResult()) !== 'connect') {
      await delay(5);
    }
    expect(await exchange(dial(), 'back')).to.equal('back');
  });
});
