/** Each way in which an answer may end, at each place, over two router processes: no caller takes a part for the whole, and none ends. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import {
  ENDING_CASES,
  type EndingCase,
  isEndedByEarlierAnswer,
  isSentWhole,
  sentBody,
  writeEnding,
} from '../../platform/ending-writer.js';
import { CuttableProxy } from '../cuttable-proxy.js';
import { type CallerAnswer, call } from '../router-fixture.js';
import { answerWhole, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { RouterProcess } from './router-process.js';

const HOSTS = ['127.140.0.1', '127.140.0.2'] as const;
const UPSTREAMS = 4;
const AT_A_TIME = 4;
const DEADLINE_MILLIS = 1000;
const WAIT_MILLIS = 20_000;
const PAUSE_MILLIS = 50;
/** Read whole, and streamed. */
const BODIES = { small: body(2000), large: body(3_000_000) } as const;

type BodySize = keyof typeof BODIES;

function body(bytes: number): Buffer {
  return Buffer.from(
    Array.from({ length: bytes / 8 }, (_, index) => String(index).padStart(8, '0')).join(''),
  );
}

function isSuccess(answer: CallerAnswer | undefined): boolean {
  return answer?.status === 200 && answer.whole;
}

describe('the end of an answer over another router process', function suite() {
  this.timeout(120_000);
  const folder = mkdtempSync(join(tmpdir(), 'ternmount-relayed-endings-'));
  const upstreams: ScriptedUpstream[] = [];
  const proxies: CuttableProxy[] = [];
  /** Requests that an upstream got, by target. */
  const seen = new Set<string>();
  /** Those whose answer may have been broken off by the end of an earlier answer of its connection. */
  const disturbed = new Set<string>();
  let sighted: RouterProcess;
  let blind: RouterProcess;

  before(async () => {
    for (let number = 1; number <= UPSTREAMS; number += 1) {
      const upstream = await new ScriptedUpstream(serve).start();
      upstreams.push(upstream);
      proxies.push(await CuttableProxy.start(upstream.address, HOSTS[1]));
    }
    const direct = upstreams.map(({ address }) => address);
    const cut = proxies.map(({ address }) => address);
    sighted = await RouterProcess.create('r1', HOSTS[0], folder, direct);
    blind = await RouterProcess.create('r2', HOSTS[1], folder, cut);
    sighted.setPeers([blind.peer]);
    blind.setPeers([sighted.peer]);
    await Promise.all([sighted.start(), blind.start()]);
    await Promise.all(proxies.map((proxy) => proxy.cut('refused')));
    // Nothing is reached over a direct path from here on.
    await readUntilWhole('/reads/first');
    expect(await blind.relayedUpstreams()).to.be.above(0);
  });

  after(async () => {
    await Promise.all([sighted, blind].map((router) => router.close()));
    await Promise.all(proxies.map((proxy) => proxy.stop()));
    await Promise.all(upstreams.map((upstream) => upstream.stop()));
    rmSync(folder, { recursive: true });
  });

  function serve(request: ScriptedRequest): void {
    const [, service, size, number] = request.target.split('/');
    seen.add(request.target);
    if (service !== 'reads' || number === undefined) {
      answerWhole(request);
      return;
    }
    const { socket, headers } = request;
    if (isEndedByEarlierAnswer(socket)) {
      disturbed.add(request.target);
    }
    const ending = ENDING_CASES[Number(number)] as EndingCase;
    writeEnding({ socket, headers: Object.fromEntries(headers) } as never, ending, BODIES[size as BodySize]);
  }

  function read(path: string): Promise<CallerAnswer> {
    const headers = {
      'ternmount-deadline-ms': String(DEADLINE_MILLIS),
      'idempotency-key': crypto.randomUUID(),
      'idempotency-issued-at': String(Date.now()),
    };
    return call(blind.addresses.listen, { method: 'GET', path, headers });
  }

  async function readUntilWhole(path: string): Promise<CallerAnswer> {
    const deadline = performance.now() + WAIT_MILLIS;
    let answer = await read(path);
    while (answer.status !== 200 && performance.now() < deadline) {
      await sleep(PAUSE_MILLIS);
      answer = await read(path);
    }
    expect(answer.status).to.equal(200);
    return answer;
  }

  /**
   * Asks until an upstream was asked, since those that broke answers off are left out for a while, and until nothing but the case's own ending
   * can have broken the answer off. Returns all answers.
   */
  async function readUndisturbed(path: string): Promise<CallerAnswer[]> {
    const answers: CallerAnswer[] = [];
    for (;;) {
      seen.delete(path);
      disturbed.delete(path);
      answers.push(await read(path));
      if (seen.has(path) && !disturbed.has(path)) {
        return answers;
      }
      await sleep(PAUSE_MILLIS);
    }
  }

  for (const size of ['small', 'large'] as const) {
    // Guards against parts of answers that look whole behind a relay, and against routers that end with an answer.
    it(`is told by its caller in every case: ${size}`, async () => {
      const wrong: object[] = [];
      const numbers = [...ENDING_CASES.keys()];
      const work = async (): Promise<void> => {
        for (let number = numbers.shift(); number !== undefined; number = numbers.shift()) {
          const ending = ENDING_CASES[number] as EndingCase;
          const answers = await readUndisturbed(`/reads/${size}/${number}`);
          const sent = sentBody(ending, BODIES[size]).toString('latin1');
          const isLastSuccess = isSuccess(answers.at(-1));
          if (
            answers.some((answer) => isSuccess(answer) && answer.body !== sent) ||
            isLastSuccess !== (isSentWhole(ending) ?? isLastSuccess)
          ) {
            const got = answers.map(({ status, whole, body }) => [status, whole, body.length]);
            wrong.push({ ...ending, got });
          }
        }
      };
      await Promise.all(Array.from({ length: AT_A_TIME }, work));
      expect(wrong).to.deep.equal([]);
      expect([sighted.isRunning, blind.isRunning]).to.deep.equal([true, true]);
      expect(await blind.relayedUpstreams()).to.be.above(0);
    });
  }

  it('is that of a whole answer afterwards', async () => {
    expect((await readUntilWhole('/reads/last')).body).to.equal('/reads/last');
  });
});
