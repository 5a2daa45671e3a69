/**
 * Each way in which the answer of a server may end, at each place, with real processes: no caller takes a part for the whole, whole answers
 * arrive, others are served meanwhile, and no process ends.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster } from './declared-cluster.js';
import {
  ENDING_CASES,
  type EndingCase,
  isEndedByEarlierAnswer,
  isSentWhole,
  sentBody,
  writeEnding,
} from './ending-writer.js';
import { callPipelined, type FramedAnswer, type HttpVersion } from './framed-reader.js';

const NETWORK = 98;
const BAD_UPSTREAMS = 6;
const AT_A_TIME = 6;
const DEADLINE_MILLIS = 1000;
const OTHERS_INTERVAL_MILLIS = 10;
/** How long the answer in front takes; those behind it fill the router's buffers meanwhile. */
const FRONT_MILLIS = 300;
const LITTLE_MEMORY_BYTES = 64 * 1024;
/** Below what is read whole, and above what is held for a connection. */
const SMALL_BYTES = 2000;
const LARGE_BYTES = 3_000_000;

interface Reading {
  readonly name: string;
  readonly bodyBytes: number;
  /** Whether another request of the connection is answered first. */
  readonly isBehind: boolean;
  readonly hasLittleMemory: boolean;
  readonly version: HttpVersion;
  /** Body of the request, which its upstream doesn't read. */
  readonly upload?: Buffer;
}

/** More than the buffers of a connection hold. */
const UPLOAD = Buffer.alloc(8_000_000, 'x');
const LIMITS = { headerBytes: 16_384, bodyBytes: UPLOAD.length, headerMillis: 5000, idleMillis: 30_000 };

const READINGS: readonly Reading[] = [
  {
    name: 'small, read at once',
    bodyBytes: SMALL_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.1',
  },
  {
    name: 'large, read at once',
    bodyBytes: LARGE_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.1',
  },
  {
    name: 'paused by a full caller',
    bodyBytes: LARGE_BYTES,
    isBehind: true,
    hasLittleMemory: false,
    version: '1.1',
  },
  {
    name: 'paused by little memory',
    bodyBytes: 100_000,
    isBehind: true,
    hasLittleMemory: true,
    version: '1.1',
  },
  {
    name: 'small, while its request is still being written',
    bodyBytes: SMALL_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.1',
    upload: UPLOAD,
  },
  {
    name: 'large, while its request is still being written',
    bodyBytes: LARGE_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.1',
    upload: UPLOAD,
  },
  {
    name: 'small, of HTTP/1.0',
    bodyBytes: SMALL_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.0',
  },
  {
    name: 'large, of HTTP/1.0',
    bodyBytes: LARGE_BYTES,
    isBehind: false,
    hasLittleMemory: false,
    version: '1.0',
  },
];

/**
 * Whether a caller gets a whole answer as a success; `undefined`: either. One of HTTP/1.0 can't tell the end of a large one without a length. A
 * server that closes with a request unread resets the connection behind its FIN, and what it had sent may be lost.
 */
function isExpected(ending: EndingCase, { version, bodyBytes, upload }: Reading): boolean | undefined {
  const lacksEnd = version === '1.0' && bodyBytes === LARGE_BYTES && ending.framing !== 'length';
  const isWhole = lacksEnd ? false : isSentWhole(ending);
  return upload !== undefined && ending.ending === 'fin' && isWhole === true ? undefined : isWhole;
}

function route(name: string, service: string): object {
  return {
    name,
    host: 'menu.example',
    prefix: `/${name}/`,
    type: 'safe',
    timeoutMillis: 2 * DEADLINE_MILLIS,
    service,
  };
}

function endingPath(number: number, { bodyBytes }: Reading): string {
  return `/reads/${number}/${bodyBytes}`;
}

function isSuccess(answer: FramedAnswer | undefined): answer is FramedAnswer {
  return answer?.status === 200 && answer.isWhole;
}

const DOCUMENT = {
  version: 1,
  routes: [route('reads', 'bad'), route('good', 'good')],
  services: [{ name: 'bad' }, { name: 'good' }],
  limits: LIMITS,
};

describe('the end of an answer', function suite() {
  this.timeout(120_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  const { processes } = cluster;
  const routers: { readonly name: string; readonly address: string }[] = [];
  /** Targets whose answer may have been broken off by the end of an earlier answer of its connection. */
  const disturbed = new Set<string>();
  let calls = 0;

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    for (let number = 1; number <= BAD_UPSTREAMS; number += 1) {
      await cluster.addUpstream({
        id: `bad-${number}`,
        service: 'bad',
        takeOver: (request) => {
          const [, , place, bytes] = request.url?.split('/') ?? [];
          if (isEndedByEarlierAnswer(request.socket)) {
            disturbed.add(request.url ?? '');
          }
          writeEnding(request, ENDING_CASES[Number(place)] as EndingCase, bodyOf(Number(bytes)));
          return true;
        },
      });
    }
    for (const id of ['good-1', 'good-2', 'good-3', 'good-4']) {
      const work = async ({ path }: { readonly path: string }): Promise<null> => {
        await sleep(path === '/good/front' ? FRONT_MILLIS : 0);
        return null;
      };
      await cluster.addUpstream({ id, service: 'good', work });
    }
    routers.push({ name: 'router-1', address: await cluster.startRouter() });
    const heldAnswers = `${LITTLE_MEMORY_BYTES / 1024} KiB`;
    routers.push({ name: 'router-2', address: await cluster.startRouter({ heldAnswers }) });
    for (const { address } of routers) {
      await processes.until('an answer of a good upstream', async () =>
        (await callRouter(address, '/good/first')).status === 200 ? true : undefined,
      );
    }
  });

  after(() => cluster.close());

  async function read(number: number, reading: Reading): Promise<FramedAnswer | undefined> {
    const { address } = routers[reading.hasLittleMemory ? 1 : 0] as { readonly address: string };
    const front = { path: '/good/front', deadlineMillis: DEADLINE_MILLIS };
    const { upload } = reading;
    const ending = {
      path: endingPath(number, reading),
      deadlineMillis: DEADLINE_MILLIS,
      ...(upload !== undefined && { body: upload }),
    };
    const requests = (reading.isBehind ? [front, ending] : [ending]).map((request) => {
      calls += 1;
      return { ...request, id: `q-${calls}` };
    });
    return (await callPipelined(address, requests, reading.version))[requests.length - 1];
  }

  /** Reads until nothing but the case's own ending can have broken the answer off. Returns all answers. */
  async function readUndisturbed(number: number, reading: Reading): Promise<(FramedAnswer | undefined)[]> {
    const answers: (FramedAnswer | undefined)[] = [];
    const path = endingPath(number, reading);
    do {
      disturbed.delete(path);
      answers.push(await read(number, reading));
    } while (disturbed.has(path));
    return answers;
  }

  /** Sends requests to the good upstreams until `work` has ended, and returns the number that weren't answered. */
  async function countUnserved(work: Promise<unknown>): Promise<number> {
    let isOver = false;
    let unserved = 0;
    const ended = work.finally(() => {
      isOver = true;
    });
    while (!isOver) {
      for (const { address } of routers) {
        const answer = await callRouter(address, '/good/other').catch(() => null);
        unserved += answer?.status === 200 ? 0 : 1;
      }
      await sleep(OTHERS_INTERVAL_MILLIS);
    }
    await ended;
    return unserved;
  }

  for (const reading of READINGS) {
    /** Guards against processes that end with an answer, and against parts of answers that look whole. */
    it(`is told by its caller in every case: ${reading.name}`, async () => {
      const wrong: object[] = [];
      const numbers = [...ENDING_CASES.keys()];
      const work = async (): Promise<void> => {
        for (let number = numbers.shift(); number !== undefined; number = numbers.shift()) {
          const ending = ENDING_CASES[number] as EndingCase;
          const answers = await readUndisturbed(number, reading);
          const sent = sentBody(ending, bodyOf(reading.bodyBytes));
          const isLastSuccess = isSuccess(answers.at(-1));
          if (
            answers.some((answer) => isSuccess(answer) && !answer.body.equals(sent)) ||
            answers.some((answer) => answer?.framing === 'connection') ||
            isLastSuccess !== (isExpected(ending, reading) ?? isLastSuccess)
          ) {
            const got = answers.map((answer) => ({ ...answer, body: answer?.body.length }));
            wrong.push({ ...ending, got });
          }
        }
      };
      const unserved = await countUnserved(Promise.all(Array.from({ length: AT_A_TIME }, work)));
      expect(wrong).to.deep.equal([]);
      expect(unserved).to.equal(0);
      expect(routers.filter(({ name }) => !processes.isRunning(name))).to.deep.equal([]);
    });
  }
});

const bodies = new Map<number, Buffer>();

/** A body in which no part is like another. */
function bodyOf(bytes: number): Buffer {
  const known = bodies.get(bytes);
  if (known !== undefined) {
    return known;
  }
  const body = Buffer.alloc(bytes);
  for (let at = 0; at + 4 <= bytes; at += 4) {
    body.writeUInt32BE(at, at);
  }
  bodies.set(bytes, body);
  return body;
}
