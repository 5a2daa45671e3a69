/**
 * What others than upstreams write where upstreams announce themselves: it ends in a clear 4xx, nobody is told of an upstream that can't
 * be used, and the log stays bounded.
 */
import { validateHeaderValue } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import { createAdminApp } from '../../src/control/admin/index.js';
import type { OperatorRequest, OperatorResponse } from '../../src/control/types.js';
import type { LogFields, Logger } from '../../src/logging/logger.js';
import type { HeldKeys } from '../../src/model/held-keys.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../src/wire/http/http-listener.js';
import { startCluster } from '../control/cluster-harness.js';

const SEED = Number(process.env.TERNMOUNT_SEED ?? 20_261_203);
const RUNS = 400;

const GOOD = {
  service: 'menu',
  address: '10.0.0.1:80',
  zone: 'a',
  slots: 3,
  state: 'ready',
  warmupMillis: 0,
  sequence: 4,
  born: 1_700_000_000_000,
};
type Field = keyof typeof GOOD;

/** Values that no field may have. */
const WRONG: Readonly<Record<Field, readonly unknown[]>> = {
  service: ['', 7, null, {}, []],
  address: ['', 'nowhere', '10.0.0.1', 80, null, ['10.0.0.1:80']],
  zone: [7, null, {}],
  slots: [0, -1, 1.5, '3', null],
  state: ['', 'READY', 'zombie', 1, null],
  warmupMillis: [-1, '0', null, 1e12],
  sequence: [-1, 0.5, '4', null],
  born: [1.5, '1700000000000', -1, null, {}],
};

const anyValue = fc.oneof(fc.anything({ maxDepth: 1 }), fc.constantFrom(...Object.values(WRONG).flat()));
const anyEntry = fc.oneof(
  fc.record(Object.fromEntries(Object.keys(GOOD).map((name) => [name, anyValue])), { requiredKeys: [] }),
  fc
    .record({ field: fc.constantFrom(...(Object.keys(GOOD) as Field[])), value: anyValue })
    .map(({ field, value }) => ({ ...GOOD, [field]: value })),
);
const anyText = fc.oneof(
  fc.string(),
  anyEntry.map((entry) => JSON.stringify(entry) ?? ''),
  fc.json(),
);

/** Whether a header that is sent with this value has it when it is received. */
function comesThrough(value: string): boolean {
  try {
    validateHeaderValue('instance', value);
    return value === value.replace(/^[\t ]+|[\t ]+$/g, '');
  } catch {
    return false;
  }
}

class Harness {
  readonly taken: OperatorRequest[] = [];
  readonly audits: LogFields[] = [];
  readonly bounded: LogFields[] = [];
  #listener: HttpListener | undefined;

  async start(): Promise<void> {
    const silent: Logger = { debug() {}, info() {}, warn() {}, error() {}, log() {}, sample() {} };
    const operate = async (request: OperatorRequest): Promise<OperatorResponse> => {
      this.taken.push(request);
      return request.type === 'announce'
        ? { type: 'heartbeat-taken', keys: null }
        : { type: 'result', result: { type: 'accepted', revision: 1 }, inForce: true };
    };
    const app = createAdminApp(operate, {
      logger: { ...silent, info: (_event, fields = {}) => void this.bounded.push(fields) },
      auditLogger: { ...silent, info: (_event, fields = {}) => void this.audits.push(fields) },
    });
    this.#listener = await HttpListener.listen('127.0.0.1:0', DEFAULT_HTTP_LIMITS, app.callback());
  }

  async stop(): Promise<void> {
    await this.#listener?.stop({ idleMillis: 0, graceMillis: 0 });
  }

  async post(path: string, body: string | Uint8Array): Promise<{ status: number; text: string }> {
    const headers = { 'content-type': 'application/json' };
    const response = await fetch(`http://${this.#listener?.address}${path}`, {
      method: 'POST',
      headers,
      body,
    });
    return { status: response.status, text: await response.text() };
  }
}

describe('announcements that no upstream wrote', () => {
  const harness = new Harness();

  before(() => harness.start());
  after(() => harness.stop());

  for (const [field, values] of Object.entries(WRONG)) {
    it(`are refused with the place: ${field}`, async () => {
      for (const value of values) {
        const body = JSON.stringify({ ...GOOD, [field]: value });
        const { status, text } = await harness.post('/v1/upstreams/u1/heartbeat', body);
        expect(status, body).to.equal(400);
        expect(text, body).to.contain(field);
      }
    });
  }

  it('are refused where a field is missing that says what can be used', async () => {
    for (const field of ['service', 'address', 'zone', 'slots', 'state'] as const) {
      const { [field]: _left, ...rest } = GOOD;
      const { status, text } = await harness.post('/v1/upstreams/u1/heartbeat', JSON.stringify(rest));
      expect(status, field).to.equal(400);
      expect(text).to.contain(field);
    }
  });

  it('are refused as bytes that can’t be read', async () => {
    for (const body of ['{', '\u0000', '"text"', '[1', Uint8Array.of(0xff, 0xfe, 0x00, 0x7b)]) {
      const { status, text } = await harness.post('/v1/upstreams/u1/heartbeat', body);
      expect(status).to.be.within(400, 499);
      expect(JSON.parse(text).error.message).to.be.a('string');
      expect((await harness.post('/v1/upstreams/u1/withdraw', body)).status).to.be.within(400, 499);
    }
  });

  /** Guards against an upstream that is registered and never granted anything, since no call to it can name it. */
  it('are refused under an id that can stand in no header, with the place', async () => {
    for (const id of ['menü-€', 'u\n1', 'u\r\nx: 1', 'u\u0000', 'u\u007f', ' u1', 'u1 ', '\t', '\u{1f600}']) {
      harness.taken.length = 0;
      const path = `/v1/upstreams/${encodeURIComponent(id)}/heartbeat`;
      const { status, text } = await harness.post(path, JSON.stringify(GOOD));
      expect(status, JSON.stringify(id)).to.equal(400);
      expect(JSON.parse(text).error.message).to.match(/^id: must not/);
      expect(harness.taken).to.deep.equal([]);
    }
  });

  it('are taken under an id exactly if it comes through a header unchanged, and passed on as it is', async () => {
    const anyId = fc
      .oneof(
        fc.string(),
        fc.string({ unit: 'binary' }),
        fc.string({ unit: fc.constantFrom('u', ' ', '\t', 'é', '\x80', '€') }),
      )
      .filter((id) => id !== '' && id !== '.' && id !== '..' && !/\p{Surrogate}/u.test(id));
    const property = fc.asyncProperty(anyId, async (id) => {
      harness.taken.length = 0;
      const path = `/v1/upstreams/${encodeURIComponent(id)}/heartbeat`;
      const { status } = await harness.post(path, JSON.stringify(GOOD));
      expect(status).to.equal(comesThrough(id) ? 200 : 400);
      const [request] = harness.taken;
      expect(request?.type === 'announce' ? request.definition.id : null).to.equal(
        status === 200 ? id : null,
      );
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('reach nobody, whatever they are, unless they say all that an upstream says', async () => {
    const property = fc.asyncProperty(
      anyText,
      fc.constantFrom('heartbeat', 'withdraw'),
      async (body, verb) => {
        harness.taken.length = 0;
        const { status } = await harness.post(`/v1/upstreams/u1/${verb}`, body);
        const [request] = harness.taken;
        expect(status).to.satisfy((code: number) => code === 200 || (code >= 400 && code < 500));
        expect(request !== undefined).to.equal(status === 200);
        if (request?.type === 'announce') {
          const { service, address, zone, announced } = request.definition;
          expect(service).to.be.a('string').and.not.equal('');
          expect(address).to.match(/^.+:\d+$/);
          expect(zone).to.be.a('string');
          expect(announced?.slots).to.satisfy((slots: number) => Number.isInteger(slots) && slots > 0);
          expect(announced?.born ?? 0).to.satisfy(Number.isInteger);
        }
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('leave no audit record each, but lines of a bounded log', async () => {
    harness.audits.length = 0;
    harness.bounded.length = 0;
    for (let count = 0; count < 50; count += 1) {
      await harness.post('/v1/upstreams/u1/heartbeat', '{');
    }
    expect(harness.audits).to.deep.equal([]);
    expect(harness.bounded).to.have.length(50);
  });

  // A living owner's heartbeats were answered 400 by all members, so its keys were taken from it. The log line gave the place
  // alone, the body was gone, and the cause could not be found.
  it('are told with the rows that clash and the start of what was sent', async () => {
    harness.bounded.length = 0;
    const rows = [
      [30, 40, 7],
      [0, 35, 7],
    ];
    const body = JSON.stringify({ ...GOOD, holds: rows });
    const { status, text } = await harness.post('/v1/upstreams/u1/heartbeat', body);
    expect(status).to.equal(400);
    expect(text).to.contain('holds[0]').and.to.contain('[30, 40, 7]').and.to.contain('[0, 35, 7]');
    expect(harness.bounded[0]).to.include({ outcome: 'invalid-request', sent: body });
    expect(harness.bounded[0]?.problem).to.contain('[0, 35, 7]');
  });

  it('are told with a bounded part of what was sent', async () => {
    harness.bounded.length = 0;
    const holds = Array.from({ length: 1000 }, (_, key) => [key, key + 1, 7]);
    await harness.post('/v1/upstreams/u1/heartbeat', JSON.stringify({ ...GOOD, holds }));
    expect(harness.bounded).to.have.length(1);
    expect(String(harness.bounded[0]?.sent).length).to.be.within(500, 2000);
    expect(JSON.stringify(harness.bounded[0]).length).to.be.below(3000);
  });
});

describe('an upstream of a service that nobody declared', () => {
  it('is refused once a document is in force, and taken before that', () => {
    const { cluster } = startCluster(3);
    const announced = { slots: 2, warmupMillis: 0 };
    const definition = { id: 'x1', service: 'elsewhere', address: '10.0.0.7:80', zone: 'a', mayHold: [] };
    const announce = (id: string): OperatorResponse =>
      cluster.ask({
        type: 'announce',
        definition: { ...definition, id, leaving: false, announced },
        report: null,
      });
    expect(announce('x1').type).to.equal('heartbeat-taken');
    const change = {
      type: 'declaration-apply',
      version: 1,
      expected: 0,
      extent: 'whole',
      routes: [],
      services: [{ name: 'menu' }],
      limits: null,
      removedRoutes: [],
      removedServices: [],
    } as const;
    expect(cluster.ask({ type: 'declare', actor: 'test', change }).type).to.equal('result');
    const refused = announce('x2');
    expect(refused).to.deep.include({
      type: 'result',
      result: { type: 'invalid', message: 'service: there is no service "elsewhere"' },
    });
    expect(announce('x1').type).to.equal('heartbeat-taken');
  });
});

/*
 * The keys of an owner that lived and renewed ran out: an entry of another writer under its id, with a sequence ahead and no word of
 * keys, made all its own heartbeats count as late, and late ones are answered without keys.
 */
describe('an owner by heartbeat that another writer announces', () => {
  it('is answered with its keys all the same', () => {
    const { cluster } = startCluster(3);
    const change = {
      type: 'declaration-apply',
      version: 1,
      expected: 0,
      extent: 'whole',
      routes: [],
      services: [{ name: 'menu', keyed: true, grantedBy: 'heartbeat' }],
      limits: null,
      removedRoutes: [],
      removedServices: [],
    } as const;
    expect(cluster.ask({ type: 'declare', actor: 'test', change }).type).to.equal('result');
    const announced = { slots: 2, warmupMillis: 0 };
    const place = { service: 'menu', address: '10.0.0.7:80', zone: 'a', mayHold: [], leaving: false };
    const definition = { id: 'x1', ...place, announced };
    let held: HeldKeys['held'] = [];
    const beat = (sequence: number): number => {
      const report = { sequence, held, released: [] };
      const response = cluster.ask({ type: 'announce', definition, report });
      const keys = response.type === 'heartbeat-taken' ? response.keys : null;
      held = keys?.spans ?? held;
      return keys?.spans.length ?? 0;
    };
    let sequence = 1;
    while (beat(sequence) === 0 && sequence < 10) {
      cluster.run(870);
      sequence += 1;
    }
    expect(beat(sequence + 1)).to.equal(1);
    const foreign = { sequence: sequence + 50, held: null, released: [] };
    expect(cluster.ask({ type: 'announce', definition, report: foreign })).to.include({ keys: null });
    expect(beat(sequence + 2)).to.equal(1);
    expect(beat(sequence + 1)).to.equal(0);
  });
});
