/** What a router and the one that carries its connections make of frames that come after their handshake, whatever they hold. */
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import type { RelayOpenError } from '../../src/router/relay/relay-error.js';
import { RelayServer } from '../../src/router/relay/relay-server.js';
import type { RelayStream } from '../../src/router/relay/relay-stream.js';
import { Handshake } from '../../src/wire/handshake/handshake.js';
import { NONCE_BYTES } from '../../src/wire/handshake/hello.js';
import {
  DEFAULT_MAX_FRAME_BYTES,
  encodeFrame,
  FRAME_KINDS,
  FrameDecoder,
  MalformedFrameError,
  type WireIdentity,
} from '../../src/wire/index.js';
import { relayEndCodec, relayOpenCodec, relayOpenedCodec } from '../../src/wire/relay/relay-messages.js';
import { LogRecorder } from './log-recorder.js';
import { until } from './router-fixture.js';

const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
const PAYLOADS = Number(process.env.TERNMOUNT_SEEDS ?? 300);
const CONNECTIONS = Number(process.env.TERNMOUNT_SEEDS ?? 60);
const LIMIT_MILLIS = 1000;
const IDENTITY: WireIdentity = {
  greeting: { type: 'greeting', cluster: 'c', kind: 'router', name: 'r1', zone: 'a' },
  secret: 's',
  expects: ['router'],
};

function frame(kind: number, payload: Uint8Array = new Uint8Array(0)): Uint8Array {
  return encodeFrame({ kind, correlation: 0, payload }, DEFAULT_MAX_FRAME_BYTES);
}

const OPEN = frame(FRAME_KINDS.relayOpen, relayOpenCodec.encode({ type: 'relay-open', upstream: 'u1' }));
const OPENED = frame(
  FRAME_KINDS.relayOpened,
  relayOpenedCodec.encode({ type: 'relay-opened', result: 'open' }),
);
const DATA = frame(FRAME_KINDS.relayData, Buffer.from('bytes'));
const END = frame(FRAME_KINDS.relayEnd, relayEndCodec.encode({ type: 'relay-end', how: 'end' }));
const RESET = frame(FRAME_KINDS.relayEnd, relayEndCodec.encode({ type: 'relay-end', how: 'reset' }));
const CLOSING = frame(FRAME_KINDS.relayClosing);

const anyPayload = fc.uint8Array({ maxLength: 40 });
const anyFrame = fc
  .tuple(fc.oneof(fc.constantFrom(...Object.values(FRAME_KINDS)), fc.nat(255)), anyPayload)
  .map(([kind, payload]) => frame(kind, payload));
const damagedFrame = fc
  .tuple(fc.constantFrom(OPEN, OPENED, DATA, END, RESET), fc.nat(), fc.nat(255))
  .map(([bytes, position, byte]) => {
    const damaged = Uint8Array.from(bytes);
    damaged[position % damaged.length] = byte;
    return damaged;
  });
const anyPiece = fc.oneof(
  fc.constantFrom(OPEN, OPENED, DATA, END, RESET, CLOSING),
  anyFrame,
  damagedFrame,
  anyPayload,
);
/** Pieces that are written one after the other, and where their bytes are cut. */
const anyStream = fc.record({
  pieces: fc.array(anyPiece, { maxLength: 6 }),
  beginsOpen: fc.boolean(),
  cutAt: fc.nat(),
  closes: fc.constantFrom('end', 'reset'),
});

/** Plays the handshake on a socket, then calls `done`; frames that come with the peer's last one are left to `rest`. */
function shakeHands(socket: Socket, role: 'initiator' | 'acceptor', done: () => void): void {
  const handshake = new Handshake({ ...IDENTITY, role, nonce: randomBytes(NONCE_BYTES) });
  const decoder = new FrameDecoder(DEFAULT_MAX_FRAME_BYTES);
  let isDone = false;
  const write = (frames: ReturnType<Handshake['start']>): void => {
    for (const { kind, payload } of frames) {
      socket.write(frame(kind, payload));
    }
  };
  socket.on('error', () => {});
  socket.on('data', (chunk: Buffer) => {
    if (isDone) {
      return;
    }
    for (const received of decoder.read(chunk)) {
      const { send, peer } = handshake.receive(received);
      write(send);
      if (peer !== null) {
        isDone = true;
        done();
        return;
      }
    }
  });
  write(handshake.start());
}

/** Writes bytes in two parts, the second one a turn later, then closes the connection. */
function writeAll(socket: Socket, bytes: Buffer, cutAt: number, closes: 'end' | 'reset'): void {
  const cut = cutAt % (bytes.length + 1);
  socket.write(bytes.subarray(0, cut));
  setImmediate(() => {
    socket.write(bytes.subarray(cut), () => (closes === 'end' ? socket.end() : socket.resetAndDestroy()));
  });
}

describe('messages between routers that carry connections, of bytes that nobody wrote', () => {
  for (const [name, codec] of Object.entries({ relayOpenCodec, relayOpenedCodec, relayEndCodec })) {
    it(`are decoded and encoded the same, or refused as malformed: ${name}`, () => {
      const property = fc.property(fc.uint8Array({ maxLength: 60 }), (payload) => {
        try {
          const message = codec.decode(payload);
          expect(codec.decode(codec.encode(message as never))).to.deep.equal(message);
        } catch (thrown) {
          expect(thrown).to.be.instanceOf(MalformedFrameError);
        }
      });
      fc.assert(property, { seed, numRuns: PAYLOADS });
    });
  }
});

describe('a router whose connection another one carries', () => {
  let relay: Server;
  let onHandshake: (socket: Socket) => void;
  let closing: string[];

  beforeEach(async () => {
    closing = [];
    relay = createServer((socket) => shakeHands(socket, 'acceptor', () => onHandshake(socket)));
    relay.listen(0, '127.0.0.1');
    await once(relay, 'listening');
  });
  afterEach(() => relay.close());

  function dial(): Promise<RelayStream | string> {
    const dialer = new RelayDialer({ identity: IDENTITY, onClosing: (router) => closing.push(router) });
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
    const peer = { router: 'r2', zone: 'a', address };
    return new Promise((resolve) => {
      let ends = 0;
      dialer.open({ peer, upstream: 'u1', timeoutMillis: LIMIT_MILLIS }, (error, stream) => {
        ends += 1;
        expect(ends).to.equal(1);
        resolve(stream ?? (error as RelayOpenError).failure);
      });
    });
  }

  /** Guards against the first bytes of an upstream, its end, or a relay's stop that are lost if they come with the answer. */
  it('takes what comes in one piece with the answer that the connection is open', async () => {
    onHandshake = (socket) => socket.write(Buffer.concat([OPENED, DATA, CLOSING, DATA, END]));
    const stream = await dial();
    if (typeof stream === 'string') {
      throw new Error(`not opened: ${stream}`);
    }
    const received: Buffer[] = [];
    for await (const chunk of stream) {
      received.push(chunk as Buffer);
    }
    expect(Buffer.concat(received).toString()).to.equal('bytesbytes');
    expect(closing).to.deep.equal(['r2']);
    stream.destroy();
  });

  it('is told once of a connection or of none, and a stream ends, whatever frames come', async () => {
    const property = fc.asyncProperty(anyStream, async ({ pieces, beginsOpen, cutAt, closes }) => {
      const bytes = Buffer.concat(beginsOpen ? [OPENED, ...pieces] : pieces);
      onHandshake = (socket) => writeAll(socket, bytes, cutAt, closes);
      const stream = await dial();
      if (typeof stream !== 'string' && !stream.destroyed) {
        stream.resume();
        const closed = once(stream, 'close').catch(() => {});
        stream.on('end', () => stream.destroy());
        await closed;
      }
    });
    await fc.assert(property, { seed, numRuns: CONNECTIONS });
  });
});

describe('a router that carries connections, and another one that sends anything after the handshake', () => {
  it('closes that connection, and carries those of others', async () => {
    const accepted: Socket[] = [];
    const upstream = createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => {}).pipe(socket);
    }).listen(0, '127.0.0.1');
    await once(upstream, 'listening');
    const { port } = upstream.address() as AddressInfo;
    const relay = await RelayServer.listen({
      listen: '127.0.0.1:0',
      identity: IDENTITY,
      log: new LogRecorder(),
      targetOf: (id, answer) =>
        answer(
          id === 'u1' ? { type: 'address', address: `127.0.0.1:${port}` } : { type: 'unknown-upstream' },
        ),
    });
    const dialer = new RelayDialer({ identity: IDENTITY, onClosing: () => {} });
    const peer = { router: 'r2', zone: 'a', address: relay.address };
    const honest = await new Promise<RelayStream>((resolve, reject) => {
      dialer.open({ peer, upstream: 'u1', timeoutMillis: LIMIT_MILLIS }, (error, stream) =>
        stream === null ? reject(error) : resolve(stream),
      );
    });
    const property = fc.asyncProperty(anyStream, async ({ pieces, beginsOpen, cutAt, closes }) => {
      const bytes = Buffer.concat(beginsOpen ? [OPEN, ...pieces] : pieces);
      const socket = connect(Number(relay.address.split(':')[1]), '127.0.0.1');
      const closed = new Promise((resolve) => socket.once('close', resolve));
      shakeHands(socket, 'initiator', () => writeAll(socket, bytes, cutAt, closes));
      await closed;
      await until(() => relay.usage.connections === 1);
      const echoed = once(honest, 'data');
      honest.write('still carried');
      expect(String((await echoed)[0])).to.equal('still carried');
    });
    try {
      await fc.assert(property, { seed, numRuns: CONNECTIONS });
    } finally {
      honest.destroy();
      await relay.stop(0);
      for (const socket of accepted) {
        socket.destroy();
      }
      upstream.close();
    }
  });
});
