/** What a router that carries connections of others opens, refuses and says about how a connection ended. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { CONNECTION_RESET_CODE } from '../../src/router/attempts/attempt-error.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import type { RelayOpenError } from '../../src/router/relay/relay-error.js';
import { RelayServer } from '../../src/router/relay/relay-server.js';
import type { RelayStream } from '../../src/router/relay/relay-stream.js';
import type { RelayTarget } from '../../src/routing/paths/path-watch.js';
import { encodeFrame, FRAME_KINDS, type WireIdentity } from '../../src/wire/index.js';
import { LogRecorder } from './log-recorder.js';
import { until } from './router-fixture.js';

const LIMIT_MILLIS = 1000;
/** Time that bytes take to a slow relay and back, each way; a connection over it takes two round trips. */
const SLOW_WAY_MILLIS = 300;
const RESETS = 100;
const LARGE_BYTES = 8 * 1024 * 1024;
/** What the buffers of both ends and of the system hold at most. */
const MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

function identity(
  changes: Partial<WireIdentity> & { readonly kind?: 'control' | 'router' } = {},
): WireIdentity {
  const { kind = 'router', ...rest } = changes;
  const greeting = { type: 'greeting', cluster: 'c', kind, name: 'r1', zone: 'a' } as const;
  return { greeting, secret: 's', expects: ['router'], ...rest };
}

describe('a router that carries connections', () => {
  let upstream: Server;
  let accepted: Socket[];
  let relay: RelayServer;
  let log: LogRecorder;
  let targets: Map<string, RelayTarget>;
  let closing: string[];
  /** Called with what answers where an upstream is. */
  let onTargetAsked: (answer: () => void) => void;
  let slow: Server | null = null;

  beforeEach(async () => {
    accepted = [];
    closing = [];
    onTargetAsked = (answer) => answer();
    upstream = createServer({ allowHalfOpen: true }, (socket) => {
      accepted.push(socket);
      socket.on('error', () => {});
    }).listen(0, '127.0.0.1');
    await once(upstream, 'listening');
    const { port } = upstream.address() as AddressInfo;
    targets = new Map([['u1', { type: 'address', address: `127.0.0.1:${port}` }]]);
    log = new LogRecorder();
    relay = await startRelay();
  });

  afterEach(async () => {
    await relay.stop(0);
    for (const socket of accepted) {
      socket.destroy();
    }
    upstream.close();
    slow?.close();
    slow = null;
  });

  function startRelay(maxConnections?: number): Promise<RelayServer> {
    return RelayServer.listen({
      listen: '127.0.0.1:0',
      identity: identity(),
      log,
      targetOf: (id, answer) => onTargetAsked(() => answer(targets.get(id) ?? { type: 'unknown-upstream' })),
      ...(maxConnections !== undefined && { maxConnections }),
    });
  }

  function dial(id = 'u1', own = identity(), address = relay.address): Promise<RelayStream | string> {
    const dialer = new RelayDialer({ identity: own, onClosing: (router) => closing.push(router) });
    const peer = { router: 'r2', zone: 'a', address };
    return new Promise((resolve) => {
      dialer.open({ peer, upstream: id, timeoutMillis: LIMIT_MILLIS }, (error, stream) =>
        resolve(stream?.on('error', () => {}) ?? (error as RelayOpenError).failure),
      );
    });
  }

  /** An address at which whatever goes to the relay, or comes from it, is late. */
  async function slowAddress(): Promise<string> {
    const { port } = new URL(`tcp://${relay.address}`);
    slow = createServer((near) => {
      const far = connect(Number(port), '127.0.0.1');
      for (const [from, to] of [
        [near, far],
        [far, near],
      ] as const) {
        from.on('error', () => {}).on('data', (chunk) => setTimeout(() => to.write(chunk), SLOW_WAY_MILLIS));
        from.on('close', () => to.destroy());
      }
    }).listen(0, '127.0.0.1');
    await once(slow, 'listening');
    return `127.0.0.1:${(slow.address() as AddressInfo).port}`;
  }

  async function opened(): Promise<{ readonly stream: RelayStream; readonly socket: Socket }> {
    const stream = await dial();
    if (typeof stream === 'string') {
      throw new Error(`not opened: ${stream}`);
    }
    return { stream, socket: accepted.at(-1) as Socket };
  }

  it('carries bytes both ways, whole', async () => {
    const { stream, socket } = await opened();
    const sent = Buffer.alloc(LARGE_BYTES, 'abcdefghij');
    const there: Buffer[] = [];
    const back: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => there.push(chunk));
    socket.on('end', () => socket.end(sent));
    stream.on('data', (chunk: Buffer) => back.push(chunk));
    stream.end(sent);
    await once(stream, 'end');
    expect(Buffer.concat(there).equals(sent)).to.equal(true);
    expect(Buffer.concat(back).equals(sent)).to.equal(true);
    expect(relay.usage.bytes).to.equal(2 * LARGE_BYTES);
  });

  it('takes no relay for lost whose answers come in time one by one, though not all of them together', async () => {
    expect(await dial('u1', identity(), await slowAddress())).to.not.be.a('string');
  });

  it('takes a relay for lost that says nothing', async () => {
    const silent = createServer().listen(0, '127.0.0.1');
    await once(silent, 'listening');
    const { port } = silent.address() as AddressInfo;
    expect(await dial('u1', identity(), `127.0.0.1:${port}`)).to.equal('lost');
    silent.close();
  });

  it('connects to nothing but upstreams of its configuration', async () => {
    for (const id of ['u2', '127.0.0.1:22', '']) {
      expect(await dial(id)).to.equal('unknown-upstream');
    }
    expect(accepted).to.have.length(0);
  });

  it('carries nothing onward that it reaches over another router itself', async () => {
    targets.set('u1', { type: 'no-path' });
    expect(await dial()).to.equal('no-path');
    expect(accepted).to.have.length(0);
  });

  it('says that nothing listens at an upstream', async () => {
    upstream.close();
    await once(upstream, 'close');
    expect(await dial()).to.equal('refused');
  });

  it('refuses whoever has not the secret of the cluster, or is no router', async () => {
    expect(await dial('u1', identity({ secret: 'other' }))).to.equal('lost');
    expect(await dial('u1', identity({ kind: 'control' }))).to.equal('lost');
    expect(accepted).to.have.length(0);
    expect(log.warnings).to.deep.equal(['relay-refused', 'relay-refused']);
  });

  it('closes a connection that sends something else, or nothing', async () => {
    const port = Number(relay.address.split(':')[1]);
    const chatty = connect(port, '127.0.0.1').on('error', () => {});
    chatty.write('GET / HTTP/1.1\r\n\r\n');
    await once(chatty, 'close');
    const large = connect(port, '127.0.0.1').on('error', () => {});
    large.write(
      encodeFrame({ kind: FRAME_KINDS.relayOpen, correlation: 0, payload: Buffer.alloc(8192) }, 16_384),
    );
    await once(large, 'close');
    const silent = connect(port, '127.0.0.1').on('error', () => {});
    await once(silent, 'close');
    expect(accepted).to.have.length(0);
    await until(() => relay.usage.connections === 0);
  });

  it('resets the connection to the upstream when the router resets its own, so that nothing arrives later', async () => {
    const { stream, socket } = await opened();
    const failed = once(socket, 'error');
    stream.write('a request that is cancelled');
    await once(socket, 'data');
    stream.resetAndDestroy();
    const [error] = (await failed) as [NodeJS.ErrnoException];
    expect(error.code).to.equal('ECONNRESET');
  });

  it('refuses more connections than it may carry', async () => {
    const small = await startRelay(2);
    const first = await dial('u1', identity(), small.address);
    const second = await dial('u1', identity(), small.address);
    expect([typeof first, typeof second]).to.deep.equal(['object', 'object']);
    expect(await dial('u1', identity(), small.address)).to.equal('busy');
    await small.stop(0);
  });

  it('has a bounded number of connections that say nothing', async () => {
    const small = await startRelay(2);
    const [host, port] = small.address.split(':');
    const silent = Array.from({ length: 12 }, () => connect({ host: host as string, port: Number(port) }));
    await Promise.all(silent.map((socket) => once(socket, 'connect')));
    await until(() => small.usage.connections > 0);
    await sleep(50);
    expect(small.usage.connections).to.equal(4);
    for (const socket of silent) {
      socket.destroy();
    }
    await small.stop(0);
  });

  it('holds little of what a slow reader does not read', async () => {
    const { stream, socket } = await opened();
    stream.pause();
    const chunk = Buffer.alloc(1024 * 1024);
    let written = 0;
    const isTaken = (): boolean => socket.write(chunk);
    while (written < 4 * MAX_BUFFERED_BYTES && (isTaken() || socket.writableLength < chunk.length * 2)) {
      written += chunk.length;
      await sleep(1);
    }
    await sleep(200);
    expect(socket.bytesWritten - socket.writableLength).to.be.below(MAX_BUFFERED_BYTES);
  });

  it('tells the end of the upstream from a break of its connection', async () => {
    const ended = await opened();
    ended.stream.resume();
    ended.socket.end('last');
    await once(ended.stream, 'end');
    const broken = await opened();
    broken.stream.resume();
    const error = once(broken.stream, 'error');
    broken.socket.resetAndDestroy();
    expect((await error)[0]).to.have.property('code', CONNECTION_RESET_CODE);
  });

  // Guards against truncated answers that pass for whole: the system may report a reset as an ordinary end.
  it('tells a break of the upstream that comes with its last bytes from its end, each of 100 times', async () => {
    const ends: string[] = [];
    for (let count = 0; count < RESETS; count += 1) {
      const { stream, socket } = await opened();
      stream.resume();
      const ended = Promise.race([
        once(stream, 'end').then(() => 'end'),
        once(stream, 'error').then(([error]) => error.code),
      ]).catch((error) => error.code);
      socket.write('part', () => socket.resetAndDestroy());
      ends.push(await ended);
    }
    expect(ends.filter((how) => how !== CONNECTION_RESET_CODE)).to.deep.equal([]);
  });

  it('does not look like the end of the upstream when it ends itself', async () => {
    const { stream, socket } = await opened();
    let hasEnd = false;
    stream.resume().on('end', () => {
      hasEnd = true;
    });
    socket.write('part');
    const error = once(stream, 'error');
    await relay.stop(0);
    expect((await error)[0]).to.have.property('code', 'TERNMOUNT_ROUTER_RELAY_LOST');
    expect(hasEnd).to.equal(false);
  });

  it('closes the connection to the upstream when the router closes its own', async () => {
    const { stream, socket } = await opened();
    const closed = once(socket.resume(), 'end');
    stream.destroy();
    await closed;
    await until(() => relay.usage.connections === 0);
  });

  it('announces that it stops, opens no more, and waits for what it carries', async () => {
    const { stream, socket } = await opened();
    stream.resume();
    const stopped = relay.stop(5000);
    await until(() => closing.length > 0);
    expect(closing).to.deep.equal(['r2']);
    expect(await dial()).to.equal('stopping');
    socket.end('done');
    await once(stream, 'end');
    stream.destroy();
    await stopped;
  });

  // Guards against connections that a stopping router opens for another one, which then never learns that they will be cut.
  it('opens none that was being opened when it began to stop', async () => {
    onTargetAsked = (answer) => {
      relay.announceStop();
      answer();
    };
    const dialed = dial();
    expect(await dialed).to.equal('stopping');
    expect(closing).to.deep.equal([]);
  });
});
