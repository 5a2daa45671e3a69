/** Frames between the system's own processes: what is cut, damaged or too large ends the connection and nothing else. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  controlToRouterCodecs,
  encodeFrame,
  type Frame,
  FrameDecoder,
  FrameTooLargeError,
  HEADER_BYTES,
  MalformedFrameError,
  PROTOCOL_VERSION,
  raftCodecs,
  routerToControlCodecs,
} from '../../src/wire/index.js';

const BOUND = 1024;
const PARAMETERS = { seed: 6, numRuns: 200 };

/** Header bytes of a frame: length, version, kind, correlation. */
function head(length: number, version: number = PROTOCOL_VERSION, kind = 32): Buffer {
  const bytes = Buffer.alloc(HEADER_BYTES);
  bytes.writeUInt32BE(length, 0);
  bytes.writeUInt8(version, 4);
  bytes.writeUInt8(kind, 5);
  return bytes;
}

const frames: fc.Arbitrary<Frame[]> = fc.array(
  fc.record({
    kind: fc.integer({ min: 1, max: 255 }),
    correlation: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
    payload: fc.uint8Array({ maxLength: 200 }),
  }),
  { maxLength: 5 },
);

function cutAt(bytes: Buffer, places: readonly number[]): Buffer[] {
  const cuts = [0, ...[...places].sort((left, right) => left - right), bytes.length];
  return cuts.slice(1).map((end, index) => bytes.subarray(cuts[index], end));
}

function plain(frame: Frame): object {
  return { ...frame, payload: Buffer.from(frame.payload).toString('hex') };
}

describe('frames', () => {
  it('come out as they went in, however the stream is cut', () => {
    fc.assert(
      fc.property(frames, fc.array(fc.nat(1200), { maxLength: 12 }), (sent, places) => {
        const bytes = Buffer.concat(sent.map((frame) => encodeFrame(frame, BOUND)));
        const decoder = new FrameDecoder(BOUND);
        const within = places.map((place) => Math.min(place, bytes.length));
        const received = cutAt(bytes, within).flatMap((chunk) => decoder.push(chunk));
        expect(received.map(plain)).to.deep.equal(sent.map(plain));
      }),
      PARAMETERS,
    );
  });

  const refused: readonly (readonly [string, Buffer, new (...args: never[]) => Error])[] = [
    ['a later version', head(6, PROTOCOL_VERSION + 1), MalformedFrameError],
    ['an earlier version', head(6, PROTOCOL_VERSION - 1), MalformedFrameError],
    ['version 0', head(6, 0), MalformedFrameError],
    ['a length of 0', head(0), MalformedFrameError],
    ['a length within its own header', head(5), MalformedFrameError],
    ['a length above the bound', head(BOUND + 1), FrameTooLargeError],
    ['the largest length', head(2 ** 32 - 1), FrameTooLargeError],
    ['HTTP', Buffer.from('GET / HTTP/1.1\r\n\r\n'), MalformedFrameError],
    ['TLS', Buffer.from('16030100c8010000c40303', 'hex'), MalformedFrameError],
  ];
  for (const [name, bytes, error] of refused) {
    it(`refuses ${name} before it holds a payload`, () => {
      expect(() => new FrameDecoder(BOUND).push(bytes)).to.throw(error);
    });
  }

  it('refuses to send a frame above the bound', () => {
    const frame = { kind: 32, correlation: 0, payload: new Uint8Array(BOUND) };
    expect(() => encodeFrame(frame, BOUND)).to.throw(FrameTooLargeError);
  });

  it('any bytes give frames or one of the two errors', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
        try {
          new FrameDecoder(BOUND).push(bytes);
        } catch (thrown) {
          expect(thrown).to.satisfy(
            (error: unknown) => error instanceof MalformedFrameError || error instanceof FrameTooLargeError,
          );
        }
      }),
      PARAMETERS,
    );
  });
});

describe('messages in frames', () => {
  const sets = { raftCodecs, routerToControlCodecs, controlToRouterCodecs };
  for (const [name, codecs] of Object.entries(sets)) {
    it(`${name}: any payload of any kind is a message or malformed`, () => {
      fc.assert(
        fc.property(fc.nat(255), fc.uint8Array({ maxLength: 120 }), (kind, payload) => {
          try {
            codecs.decode(kind, payload);
          } catch (thrown) {
            expect(thrown).to.be.instanceOf(MalformedFrameError);
          }
        }),
        { seed: 6, numRuns: 2000 },
      );
    });
  }

  const claim = {
    type: 'claim-request',
    claimant: 'router-1/run/1',
    service: 'checkout',
    key: 'key-é',
    fingerprint: 'ab',
    issuedAt: 1_700_000_000_000,
  } as const;
  const { kind, payload } = routerToControlCodecs.encode(claim);

  it('a whole message comes out as it went in', () => {
    expect(routerToControlCodecs.decode(kind, payload)).to.deep.equal(claim);
  });

  it('a message cut anywhere is malformed', () => {
    for (let length = 0; length < payload.length; length += 1) {
      expect(() => routerToControlCodecs.decode(kind, payload.subarray(0, length))).to.throw(
        MalformedFrameError,
      );
    }
  });

  it('a message with a byte too many is malformed', () => {
    const longer = Buffer.concat([payload, Buffer.from([0])]);
    expect(() => routerToControlCodecs.decode(kind, longer)).to.throw(MalformedFrameError);
  });

  it('a router sends no message of a replica', () => {
    for (const raftKind of [16, 18, 20, 22]) {
      expect(routerToControlCodecs.hasKind(raftKind)).to.equal(false);
    }
  });
});
