import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { request } from 'undici';
import { checkFleet } from '../../../src/dev/fleet/checker/index.js';
import { readJournals } from '../../../src/dev/journal/journal-reader.js';
import { JournalWriter } from '../../../src/dev/journal/journal-writer.js';
import type { JournalRecord } from '../../../src/dev/journal/records.js';
import { judgeAnswerBody } from '../../../src/dev/standins/answer-body.js';
import { callerSettingsSchema } from '../../../src/dev/standins/caller/caller-settings.js';
import { CallerStandin } from '../../../src/dev/standins/caller/caller-standin.js';
import { StandinRandomSource } from '../../../src/dev/standins/random-source.js';
import type { Fault } from '../../../src/dev/standins/upstream/fault-switchboard.js';
import { upstreamProcessSettingsSchema } from '../../../src/dev/standins/upstream/upstream-settings.js';
import { UpstreamStandin } from '../../../src/dev/standins/upstream/upstream-standin.js';
import { HEADERS } from '../../../src/model/outcome.js';

/** An address unique to this test process, so that parallel runs don't collide. */
const HOST = `127.63.${Math.floor(process.pid / 250) % 250}.${(process.pid % 250) + 1}`;
const ORIGIN = `${HOST}:8000`;
const upstreamSchema = upstreamProcessSettingsSchema.shape.upstreams.element;
const base = {
  id: 'up-1',
  service: 'pantryorder',
  listen: ORIGIN,
  zone: 'zone-a',
  keyed: false,
  slots: 1,
  serviceTime: { kind: 'constant', meanMillis: 1 },
};

describe('stand-in upstream and caller', () => {
  let folder: string;
  let standin: UpstreamStandin | undefined;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-standin-'));
  });

  afterEach(async () => {
    await standin?.stop();
    standin = undefined;
    rmSync(folder, { recursive: true });
  });

  async function start(changes: object = {}, fault?: Fault): Promise<UpstreamStandin> {
    const settings = upstreamSchema.parse({ ...base, ...changes });
    const journal = new JournalWriter(join(folder, 'upstream.jsonl'));
    standin = new UpstreamStandin(
      settings,
      { name: 'up-1', cluster: 'test', secret: '' },
      journal,
      new StandinRandomSource(1),
    );
    if (fault) {
      standin.faults.set(fault);
    }
    await standin.start();
    return standin;
  }

  function records<Type extends JournalRecord['type']>(type: Type): Extract<JournalRecord, { type: Type }>[] {
    return readJournals(folder).filter((record) => record.type === type) as Extract<
      JournalRecord,
      { type: Type }
    >[];
  }

  async function call(attempts: number): Promise<void> {
    const caller = new CallerStandin(
      callerSettingsSchema.parse({
        name: 'caller-1',
        host: HOST,
        seed: 7,
        seconds: 0.2,
        routers: [{ name: 'direct', address: ORIGIN }],
        streams: [
          {
            service: 'pantryorder',
            method: 'POST',
            repeatable: false,
            deadlineMillis: 300,
            attempts,
            retryDelayMillis: 1,
            rates: [{ fromSeconds: 0, requestsPerSecond: 100 }],
          },
        ],
        journal: join(folder, 'caller.jsonl'),
        summary: join(folder, 'summary.json'),
      }),
    );
    await caller.run();
  }

  const VERDICTS = [
    { kind: null, verdict: 'whole' },
    { kind: 'truncate', verdict: 'lost' },
    { kind: 'wrong-length', verdict: 'lost' },
    { kind: 'fail', verdict: 'refused' },
  ] as const;
  for (const { kind, verdict } of VERDICTS) {
    it(`${kind ?? 'no fault'}: the caller finds its answers ${verdict}, and each ran`, async () => {
      await start({}, kind === null ? undefined : { kind, share: 1 });
      await call(1);
      const attempts = records('attempt');
      expect(attempts.length).to.be.greaterThan(0);
      expect([...new Set(attempts.map((attempt) => attempt.verdict))]).to.deep.equal([verdict]);
      expect(records('run-effect')).to.have.length(attempts.length);
    });
  }

  it('resends carry the same idempotency key, and the checker sees what ran twice', async () => {
    await start({}, { kind: 'truncate', share: 1 });
    await call(2);
    const keys = new Set(records('attempt').map((attempt) => attempt.idempotencyKey));
    expect(records('attempt').length).to.be.greaterThan(keys.size);
    const broken = checkFleet(readJournals(folder)).filter((result) => result.violations.length > 0);
    expect(broken.map((result) => result.promise)).to.deep.equal(['at-most-once']);
  });

  it('sheds requests beyond slots and queue, and answers that they have not run', async () => {
    await start({ queueLimit: 0, serviceTime: { kind: 'constant', meanMillis: 300 } });
    const first = request(`http://${ORIGIN}/?request=a`);
    while (records('run-start').length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const second = await request(`http://${ORIGIN}/?request=b`);
    expect(second.statusCode).to.equal(503);
    expect(second.headers[HEADERS.outcome]).to.equal('not-run');
    expect((await first).statusCode).to.equal(200);
    expect(records('run-start').map((record) => record.request)).to.deep.equal(['a']);
  });

  it('foreign: a request is answered with the answer and the id of the preceding one', async () => {
    await start({}, { kind: 'foreign', share: 1 });
    const send = (id: string) =>
      request(`http://${ORIGIN}/?request=${id}`, { headers: { [HEADERS.requestId]: `router.${id}` } });
    await (await send('a')).body.text();
    const second = await send('b');
    expect(second.headers[HEADERS.requestId]).to.equal('router.a');
    expect(judgeAnswerBody(await second.body.text(), 'b', null)).to.equal('foreign');
  });

  const HEALTH = [
    { fault: 'fail', status: 200 },
    { fault: 'health-ill', status: 503 },
  ] as const;
  for (const { fault, status } of HEALTH) {
    it(`${fault}: health returns ${status}, requests the contrary`, async () => {
      await start({}, { kind: fault, share: 1 });
      expect((await request(`http://${ORIGIN}/health`)).statusCode).to.equal(status);
      const answer = await request(`http://${ORIGIN}/?request=a`);
      expect(answer.statusCode).to.equal(status === 200 ? 500 : 200);
    });
  }

  it('load-wild: the reported load jumps', async () => {
    await start({}, { kind: 'load-wild', share: 1 });
    const loads: (string | string[] | undefined)[] = [];
    for (const id of ['a', 'b', 'c']) {
      const { headers, body } = await request(`http://${ORIGIN}/?request=${id}`);
      await body.dump();
      loads.push(headers[HEADERS.load]);
    }
    expect(new Set(loads)).to.deep.equal(new Set(['0', '10000']));
  });

  it('an aborted request has no effect', async () => {
    await start({ serviceTime: { kind: 'constant', meanMillis: 60_000 } });
    const aborter = new AbortController();
    const cancelled = request(`http://${ORIGIN}/?request=a`, { signal: aborter.signal }).catch(() => 'gone');
    while (records('run-start').length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    aborter.abort();
    expect(await cancelled).to.equal('gone');
    while (records('run-end').length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(records('run-end').map((record) => record.end)).to.deep.equal(['cancelled']);
    expect(records('run-effect')).to.deep.equal([]);
  });

  it('a request whose deadline passes has no effect', async () => {
    await start({ serviceTime: { kind: 'constant', meanMillis: 60_000 } });
    const headers = { [HEADERS.deadlineMillis]: '20' };
    const aborter = new AbortController();
    const waiting = request(`http://${ORIGIN}/?request=a`, { headers, signal: aborter.signal }).catch(
      () => {},
    );
    while (records('run-end').length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(records('run-effect')).to.deep.equal([]);
    aborter.abort();
    await waiting;
  });
});
