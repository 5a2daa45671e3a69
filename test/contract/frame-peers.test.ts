/** Who may speak on the internal port: only those who prove the cluster's secret, within bounds of size and time. */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import type { Greeting } from '../../src/control/messages.js';
import { helloCodec, NONCE_BYTES } from '../../src/wire/handshake/hello.js';
import { computeProof, proofCodec } from '../../src/wire/handshake/proof.js';
import {
  DEFAULT_WIRE_LIMITS,
  encodeFrame,
  FRAME_KINDS,
  type Frame,
  FrameClient,
  FrameDecoder,
  FrameServer,
  type WireIdentity,
} from '../../src/wire/index.js';

const LIMITS = { ...DEFAULT_WIRE_LIMITS, handshakeMillis: 150, pingMillis: 50 };
const SECRET = 'the cluster secret';
const ROUTER: Greeting = { type: 'greeting', cluster: 'north', kind: 'router', name: 'router-1', zone: 'a' };

const SERVER: WireIdentity = {
  greeting: { type: 'greeting', cluster: 'north', kind: 'control', name: 'r-1', zone: 'a' },
  secret: SECRET,
  expects: ['control', 'router'],
};

interface Heard {
  readonly peers: Greeting[];
  readonly frames: Frame[];
  closings: (Error | null)[];
}

function nonce(fill: number): Uint8Array {
  return new Uint8Array(NONCE_BYTES).fill(fill);
}

function frameBytes(kind: number, payload: Uint8Array): Uint8Array {
  return encodeFrame({ kind, correlation: 0, payload }, DEFAULT_WIRE_LIMITS.maxFrameBytes);
}

/** Reads frames off a socket until it closes, and answers each. */
function converse(socket: Socket, first: Uint8Array, answer: (frame: Frame) => Uint8Array | null) {
  const decoder = new FrameDecoder(DEFAULT_WIRE_LIMITS.maxFrameBytes);
  return new Promise<Frame[]>((resolve) => {
    const received: Frame[] = [];
    socket.on('data', (chunk) => {
      for (const frame of decoder.push(chunk as Buffer)) {
        received.push(frame);
        const reply = answer(frame);
        if (reply !== null) {
          socket.write(reply);
        }
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    socket.write(first);
  });
}

describe('the internal port', () => {
  let server: FrameServer;
  const heard: Heard = { peers: [], frames: [], closings: [] };

  before(async () => {
    server = await FrameServer.listen({
      listen: '127.0.0.1:0',
      identity: SERVER,
      limits: LIMITS,
      owner: {
        ready: (_connection, peer) => heard.peers.push(peer),
        received: (_connection, frame) => heard.frames.push(frame),
        closed: (_connection, reason) => heard.closings.push(reason),
      },
    });
  });
  after(() => server.stop());
  beforeEach(() => {
    heard.peers.length = 0;
    heard.frames.length = 0;
    heard.closings.length = 0;
  });

  function dial(): Socket {
    const [host = '', port = ''] = server.address.split(':');
    return connect({ host, port: Number(port) });
  }

  function hello(greeting: Greeting, fill = 7): Uint8Array {
    const { cluster, kind, name, zone } = greeting;
    return helloCodec.encode({ type: 'hello', cluster, kind, name, zone, nonce: nonce(fill) });
  }

  /** Says hello and proves `secret`. */
  function prove(greeting: Greeting, secret: string): Promise<Frame[]> {
    const own = hello(greeting);
    return converse(dial(), frameBytes(FRAME_KINDS.hello, own), (frame) => {
      if (frame.kind !== FRAME_KINDS.hello) {
        return null;
      }
      const mac = computeProof(secret, 'initiator', own, frame.payload);
      return frameBytes(FRAME_KINDS.proof, proofCodec.encode({ type: 'proof', mac }));
    });
  }

  it('lets in who proves the secret', async () => {
    const client = new FrameClient({
      address: server.address,
      identity: { greeting: ROUTER, secret: SECRET, expects: ['control'] },
      limits: LIMITS,
      onReady: () => client.send(FRAME_KINDS.claimRequest, new Uint8Array(1)),
    });
    while (heard.frames.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    client.stop();
    expect(heard.peers).to.deep.equal([ROUTER]);
    expect(heard.frames[0]?.kind).to.equal(FRAME_KINDS.claimRequest);
  });

  const strangers: readonly (readonly [string, Greeting, string])[] = [
    ['another secret', ROUTER, 'another secret'],
    ['no secret', ROUTER, ''],
    ['another cluster', { ...ROUTER, cluster: 'south' }, SECRET],
  ];
  for (const [name, greeting, secret] of strangers) {
    it(`${name}: closed without a proof in return`, async () => {
      const received = await prove(greeting, secret);
      expect(received.filter(({ kind }) => kind === FRAME_KINDS.proof)).to.have.length(0);
      expect(heard.peers).to.have.length(0);
      expect(heard.closings[0]).to.have.property('code', 'TERNMOUNT_WIRE_HANDSHAKE_REFUSED');
    });
  }

  it('a proof of another connection, sent again: closed', async () => {
    const own = hello(ROUTER);
    let old: Uint8Array | null = null;
    await converse(dial(), frameBytes(FRAME_KINDS.hello, own), (frame) => {
      const mac = computeProof(SECRET, 'initiator', own, frame.payload);
      old = frameBytes(FRAME_KINDS.proof, proofCodec.encode({ type: 'proof', mac }));
      return null;
    });
    const received = await converse(dial(), frameBytes(FRAME_KINDS.hello, own), () => old);
    expect(received).to.have.length(1);
    expect(heard.peers).to.have.length(0);
  });

  it("the server's own proof, sent back: closed", async () => {
    const own = hello(ROUTER);
    await converse(dial(), frameBytes(FRAME_KINDS.hello, own), (frame) => {
      const mac = computeProof(SECRET, 'acceptor', own, frame.payload);
      return frameBytes(FRAME_KINDS.proof, proofCodec.encode({ type: 'proof', mac }));
    });
    expect(heard.peers).to.have.length(0);
  });

  const early: readonly (readonly [string, Uint8Array])[] = [
    ['a message before any hello', frameBytes(FRAME_KINDS.syncRequest, new Uint8Array(4))],
    ['a proof before any hello', frameBytes(FRAME_KINDS.proof, new Uint8Array(32))],
    ['a ping before any hello', frameBytes(FRAME_KINDS.ping, new Uint8Array(0))],
    ['a hello cut short', frameBytes(FRAME_KINDS.hello, new Uint8Array(3))],
    ['no frame at all', Buffer.from('GET / HTTP/1.1\r\n\r\n')],
    ['nothing', new Uint8Array(0)],
    ['half of a frame', frameBytes(FRAME_KINDS.hello, hello(ROUTER)).subarray(0, 9)],
  ];
  for (const [name, bytes] of early) {
    it(`${name}: closed, and nothing is passed on`, async () => {
      expect(await converse(dial(), bytes, () => null)).to.have.length(0);
      expect(heard.peers).to.have.length(0);
      expect(heard.frames).to.have.length(0);
    });
  }

  it('a stranger can make it hold no large frame', async () => {
    const header = frameBytes(FRAME_KINDS.hello, new Uint8Array(1024 * 1024)).subarray(0, 10);
    await converse(dial(), header, () => null);
    expect(heard.closings[0]).to.have.property('code', 'TERNMOUNT_WIRE_FRAME_TOO_LARGE');
  });
});
