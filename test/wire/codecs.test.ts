/** Messages survive codecs and frames, independent of how the byte stream is split. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { ControlToRouter, RouterToControl } from '../../src/control/messages.js';
import {
  controlToRouterCodecs,
  encodeFrame,
  type Frame,
  FrameDecoder,
  FrameTooLargeError,
  MalformedFrameError,
  routerToControlCodecs,
} from '../../src/wire/index.js';

const FROM_ROUTER: readonly RouterToControl[] = [
  {
    type: 'sync-request',
    router: 'r1',
    incarnation: 'i1',
    zone: 'a',
    stamp: 12.5,
    have: 2 ** 40,
  },
  { type: 'load-report', intervalMillis: 1000, shards: [{ shard: 's/k@1/0', workMillis: 1.5, requests: 2 }] },
  {
    type: 'load-report',
    intervalMillis: 1000,
    shards: [{ shard: 's/k@1/0', workMillis: 1.5, requests: 2 }],
    relay: { peer: { router: 'r1', zone: 'north/1', address: '10.0.0.1:7' }, lostPaths: 3 },
  },
  { type: 'sync-request', router: 'r1', incarnation: 'i1', zone: 'a', stamp: 0, have: 0 },
  { type: 'claim-request', claimant: 'c', service: 's', key: 'ü', fingerprint: 'f', issuedAt: 1 },
  { type: 'settle-request', claimant: 'c', service: 's', key: 'k', outcome: 'unknown', answer: null },
  {
    type: 'crash-report',
    crashes: [{ fingerprint: 'f', service: 's', run: 'u1', reporter: 'i1' }],
    cleared: [{ fingerprint: 'g', revision: 2 ** 40 }],
  },
];

const FROM_CONTROL: readonly ControlToRouter[] = [
  {
    type: 'sync-response',
    stamp: 12.5,
    confirmed: true,
    revision: 7,
    snapshot: null,
    delta: { from: 3, to: 7, changes: [{ type: 'upstream', id: 'u1', record: null }] },
    leader: '127.0.0.1:1',
    members: ['127.0.0.1:1', '127.0.0.2:1'],
    turn: { inZone: { phaseShare: 0.25, routers: 4 }, inAll: { phaseShare: 0.5, routers: 36 } },
  },
  {
    type: 'sync-response',
    stamp: 1,
    confirmed: false,
    revision: 9,
    snapshot: {
      revision: 9,
      services: [],
      upstreams: [],
      shards: [
        { shard: 's/k@4/0', owner: 'u1', incarnation: 'i1', epoch: 5, movingTo: 'u2', revision: 2 ** 40 },
        { shard: 's/k@4/89999', owner: null, incarnation: null, epoch: 0, movingTo: null, revision: 0 },
      ],
      routes: [],
      declaration: null,
      ranges: [],
      suspects: [],
    },
    delta: null,
    leader: null,
    members: [],
    turn: { inZone: { phaseShare: 0.25, routers: 4 }, inAll: { phaseShare: 0.5, routers: 36 } },
  },
  {
    type: 'sync-news',
    delta: { from: 3, to: 7, changes: [{ type: 'upstream', id: 'u1', record: null }] },
  },
  { type: 'change-notice', revision: 9 },
  { type: 'relay-peers', peers: [{ router: 'r2', zone: 'north/1', address: '10.0.0.2:7' }] },
  { type: 'claim-response', claimant: 'c', result: { type: 'granted' }, leader: null },
  { type: 'settle-response', claimant: 'c', settled: true, leader: null },
];

const LIMIT = 4096;

describe('codecs of messages between routers and control', () => {
  for (const message of FROM_ROUTER) {
    it(`encodes and decodes ${message.type}`, () => {
      const { kind, payload } = routerToControlCodecs.encode(message);
      expect(routerToControlCodecs.decode(kind, payload)).to.deep.equal(message);
    });
  }
  for (const message of FROM_CONTROL) {
    it(`encodes and decodes ${message.type}`, () => {
      const { kind, payload } = controlToRouterCodecs.encode(message);
      expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
    });
  }

  it('accepts only exactly one message', () => {
    for (const message of FROM_ROUTER) {
      expectOnlyWhole(routerToControlCodecs.encode(message), routerToControlCodecs);
    }
    for (const message of FROM_CONTROL) {
      expectOnlyWhole(controlToRouterCodecs.encode(message), controlToRouterCodecs);
    }
  });
});

describe('payloads with bytes that nobody wrote', () => {
  const seed = Number(process.env.TERNMOUNT_FIRST_SEED ?? 1);
  const numRuns = Number(process.env.TERNMOUNT_SEEDS ?? 300);
  const changes = fc.array(fc.tuple(fc.nat(), fc.nat(255)), { minLength: 1, maxLength: 6 });

  function expectOwnError(
    codecs: { decode(kind: number, payload: Uint8Array): unknown },
    { kind, payload }: Pick<Frame, 'kind' | 'payload'>,
  ): void {
    fc.assert(
      fc.property(changes, (drawn) => {
        const damaged = Uint8Array.from(payload);
        for (const [position, byte] of drawn) {
          damaged[position % Math.max(1, damaged.length)] = byte;
        }
        try {
          codecs.decode(kind, damaged);
        } catch (thrown) {
          expect(thrown).to.be.instanceOf(MalformedFrameError);
        }
      }),
      { numRuns, seed },
    );
  }

  for (const message of FROM_ROUTER) {
    it(`are decoded or refused as malformed: ${message.type}`, () => {
      expectOwnError(routerToControlCodecs, routerToControlCodecs.encode(message));
    });
  }
  for (const message of FROM_CONTROL) {
    it(`are decoded or refused as malformed: ${message.type}`, () => {
      expectOwnError(controlToRouterCodecs, controlToRouterCodecs.encode(message));
    });
  }
});

describe('frames', () => {
  it('are decoded from any split of the stream', () => {
    const frame = fc.record({
      kind: fc.integer({ min: 0, max: 255 }),
      correlation: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
      payload: fc.uint8Array({ maxLength: 200 }),
    });
    const cuts = fc.array(fc.integer({ min: 1, max: 64 }), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(fc.array(frame, { maxLength: 8 }), cuts, (frames, sizes) => {
        expect(toComparable(decodeInPieces(frames, sizes))).to.deep.equal(toComparable(frames));
      }),
    );
  });

  it('above the limit are neither sent nor accepted', () => {
    const frame: Frame = { kind: 1, correlation: 0, payload: new Uint8Array(LIMIT) };
    expect(() => encodeFrame(frame, LIMIT)).to.throw(FrameTooLargeError);
    const sent = encodeFrame(frame, LIMIT * 2);
    expect(() => new FrameDecoder(LIMIT).push(sent.subarray(0, 10))).to.throw(FrameTooLargeError);
  });

  it('of another version are rejected', () => {
    const sent = encodeFrame({ kind: 1, correlation: 0, payload: new Uint8Array(1) }, LIMIT);
    sent[4] = 99;
    expect(() => new FrameDecoder(LIMIT).push(sent)).to.throw(MalformedFrameError);
  });
});

function expectOnlyWhole(
  { kind, payload }: Pick<Frame, 'kind' | 'payload'>,
  codecs: { decode(kind: number, payload: Uint8Array): unknown },
): void {
  for (let length = 0; length < payload.length; length++) {
    expect(() => codecs.decode(kind, payload.subarray(0, length))).to.throw(MalformedFrameError);
  }
  const longer = Buffer.concat([payload, Buffer.from([0])]);
  expect(() => codecs.decode(kind, longer)).to.throw(MalformedFrameError);
}

function decodeInPieces(frames: readonly Frame[], sizes: readonly number[]): Frame[] {
  const stream = Buffer.concat(frames.map((frame) => encodeFrame(frame, LIMIT)));
  const decoder = new FrameDecoder(LIMIT);
  const decoded: Frame[] = [];
  for (let at = 0, cut = 0; at < stream.length; cut++) {
    const size = sizes[cut % sizes.length] as number;
    decoded.push(...decoder.push(stream.subarray(at, at + size)));
    at += size;
  }
  return decoded;
}

function toComparable(frames: readonly Frame[]) {
  return frames.map(({ kind, correlation, payload }) => ({ kind, correlation, payload: [...payload] }));
}
