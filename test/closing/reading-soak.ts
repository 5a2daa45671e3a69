/**
 * Real routers that are stopped as planned or killed at any moment and started again, with callers that read slowly or fast: one to hundreds
 * of reads on a connection, small answers and large ones, of any framing. Judged: no part of an answer looks whole; each answer that its
 * upstream made whole, and that its caller could take within the grace time of a planned stop, arrives.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/dev/sim/random.js';
import { headFor, type ScriptedRequest } from '../router/scripted-upstream.js';
import { FILLER, type SplitAnswer } from './answer-splitter.js';
import {
  type Making,
  type ReadingPlan,
  type ReadingResult,
  type ReadPlan,
  readAtSpeed,
} from './reading-caller.js';
import { STOP_GRACE_MILLIS, StoppedRouters } from './stopped-routers.js';

const OK = 200;
/** Logarithms to the base 10, of bytes a second, bytes and reads. */
const RATE = { least: 4.7, most: 7 };
const ANSWER = { least: 3, most: 7.08 };
const READS = { least: 0, most: 2.654 };
/** Time that a caller needs for all its answers. */
const TAKING_SECONDS = { least: 0.3, most: 8 };
/** Share of callers that ask for more than they can take in time. */
const GREEDY = 0.1;
const GREEDY_BYTES = 40_000_000;
const MAX_READ_FROM_MILLIS = 1500;
const BROKEN = 0.004;
const KILLS = 0.3;
/** A stop has time for answers until half a second before the end of its grace time; the rest is what this process may be late by. */
const MARGIN_MILLIS = 1000;
/** Of the head of an answer, and of the framing of its chunks. */
const OVERHEAD_BYTES = 600;
const RETRY_MILLIS = 50;
/** From the start of callers, or of a router, to its end. */
const MIN_LIFE_MILLIS = 500;
const MAX_LIFE_MILLIS = 3000;
const CHUNK_BYTES = 64 * 1024;
const FILL = Buffer.alloc(CHUNK_BYTES, FILLER);

export interface ReadingSoakPlan {
  readonly seed: number;
  readonly network: number;
  readonly seconds: number;
  readonly routers: number;
  readonly callersPerRouter: number;
  /** Modules that are loaded before the routers, in their order; the soak has to notice each. */
  readonly sabotages?: readonly string[];
}

export interface ReadingSoakReport {
  readonly callers: number;
  readonly stops: number;
  readonly kills: number;
  /** Planned stops that weren't over when their grace time was. */
  readonly overstayed: number;
  readonly made: number;
  readonly whole: number;
  /** Answers that were cut, and seen to be. */
  readonly cut: number;
  /** Answers that were made, could have been taken, and didn't arrive, with the end of their connection. */
  readonly lost: readonly string[];
  /** The same for reads that their router neither answered nor handed on. */
  readonly unanswered: readonly string[];
  /** Answers that look whole and weren't made so. */
  readonly parts: readonly string[];
  readonly failures: readonly (number | null)[];
}

/** An end that was asked of a router. */
interface Ending {
  readonly at: number;
  readonly isKill: boolean;
}

interface Judged extends ReadingResult {
  readonly number: number;
}

export class ReadingSoak {
  readonly #plan: ReadingSoakPlan;
  readonly #random: Random;
  readonly #routers: StoppedRouters;
  readonly #made = new Map<string, { readonly bytes: number; readonly at: number }>();
  readonly #results: Judged[] = [];
  readonly #endings = new Map<number, Ending[]>();
  readonly #exitCodes: (number | null)[] = [];
  #calls = 0;
  #overstays = 0;
  #isOver = false;

  constructor(plan: ReadingSoakPlan) {
    this.#plan = plan;
    this.#random = new Random(plan.seed);
    this.#routers = new StoppedRouters({
      network: plan.network,
      script: (request) => this.#answer(request),
      announces: true,
      modules: plan.sabotages ?? [],
    });
  }

  async run(): Promise<ReadingSoakReport> {
    const numbers = Array.from({ length: this.#plan.routers }, (_, index) => index + 1);
    let leave = (): void => {};
    const left = new Promise<void>((resolve) => {
      leave = resolve;
    });
    try {
      await this.#routers.startAll(numbers.length);
      const callers = numbers.flatMap((number) =>
        Array.from({ length: this.#plan.callersPerRouter }, () => this.#keepCalling(number, left)),
      );
      await Promise.all(numbers.map((number) => this.#disturb(number)));
      await Promise.all(numbers.map((number) => this.#endForGood(number)));
      // What the system holds of an ended router may last for minutes.
      await sleep(MARGIN_MILLIS);
      leave();
      await Promise.all(callers);
    } finally {
      await this.#routers.close();
    }
    return this.#report();
  }

  /** Stops or kills a router and starts it again, several times; some are killed while they stop. */
  async #disturb(number: number): Promise<void> {
    const end = performance.now() + this.#plan.seconds * 1000;
    while (performance.now() < end) {
      await sleep(this.#random.integer(MIN_LIFE_MILLIS, MAX_LIFE_MILLIS));
      if (this.#random.chance(KILLS)) {
        await this.#kill(number);
      } else {
        await this.#stop(number);
      }
      await this.#routers.start(number);
    }
  }

  /** Stops every router while its callers read, or kills it if it is the last of several. */
  async #endForGood(number: number): Promise<void> {
    await sleep(this.#random.integer(MIN_LIFE_MILLIS, MAX_LIFE_MILLIS));
    this.#isOver = true;
    if (number > 1 && number === this.#plan.routers) {
      await this.#kill(number);
    } else {
      await this.#stop(number);
    }
  }

  async #kill(number: number): Promise<void> {
    this.#note(number, true);
    if (this.#random.chance(0.5)) {
      this.#routers.signal(number, 'SIGTERM');
      await sleep(this.#random.integer(0, STOP_GRACE_MILLIS / 2));
    }
    await this.#routers.end(number, 'SIGKILL');
  }

  /** Stops a router as planned; what hasn't ended when the grace time is over is killed. */
  async #stop(number: number): Promise<void> {
    this.#note(number, false);
    const kill = setTimeout(() => {
      this.#overstays += 1;
      this.#routers.signal(number, 'SIGKILL');
    }, STOP_GRACE_MILLIS);
    this.#exitCodes.push(await this.#routers.end(number, 'SIGTERM'));
    clearTimeout(kill);
  }

  #note(number: number, isKill: boolean): void {
    const endings = this.#endings.get(number) ?? [];
    endings.push({ at: performance.now(), isKill });
    this.#endings.set(number, endings);
  }

  async #keepCalling(number: number, left: Promise<void>): Promise<void> {
    while (!this.#isOver) {
      const result = await readAtSpeed(this.#routers.address(number), this.#drawCaller(), left);
      if (result === null) {
        await sleep(RETRY_MILLIS);
      } else {
        this.#results.push({ ...result, number });
      }
    }
  }

  #drawCaller(): ReadingPlan {
    const random = this.#random;
    const bytesPerSecond = 10 ** random.between(RATE.least, RATE.most);
    const isGreedy = random.chance(GREEDY);
    const bytes = isGreedy
      ? GREEDY_BYTES
      : bytesPerSecond * random.between(TAKING_SECONDS.least, TAKING_SECONDS.most);
    const count = Math.round(10 ** random.between(READS.least, READS.most));
    const least = 10 ** ANSWER.least;
    const each = Math.round(Math.min(10 ** ANSWER.most, Math.max(least, bytes / count)));
    this.#calls += 1;
    const name = `${this.#plan.seed}-${this.#calls}`;
    const reads = Array.from({ length: count }, (_, index) => this.#drawRead(`${name}-${index}`, each));
    return { reads, bytesPerSecond, readFromMillis: random.integer(0, MAX_READ_FROM_MILLIS) };
  }

  #drawRead(id: string, bytes: number): ReadPlan {
    const makings: readonly Making[] = ['length', 'length', 'chunks', 'connection'];
    const making = makings[this.#random.integer(0, makings.length - 1)] as Making;
    return { id, bytes, making: this.#random.chance(BROKEN) ? 'broken' : making };
  }

  #answer(request: ScriptedRequest): void {
    const { searchParams, pathname } = new URL(request.target, 'http://upstream');
    const [, , id = ''] = pathname.split('/');
    const bytes = Number(searchParams.get('bytes'));
    const making = searchParams.get('making') as Making;
    if (making === 'broken') {
      writeBroken(request, id, bytes);
      return;
    }
    this.#made.set(id, { bytes, at: performance.now() });
    writeWhole(request, id, bytes, making);
  }

  #report(): ReadingSoakReport {
    const endings = [...this.#endings.values()].flat();
    const whole = this.#results.flatMap(({ answers }) => answers.filter(({ status }) => status === OK));
    const results = this.#results;
    return {
      callers: results.length,
      stops: endings.filter(({ isKill }) => !isKill).length,
      kills: endings.filter(({ isKill }) => isKill).length,
      overstayed: this.#overstays,
      made: this.#made.size,
      whole: whole.length,
      cut: results.filter(({ open }) => open !== null).length,
      lost: results.flatMap((result) => this.#missing(result, true)),
      unanswered: results.flatMap((result) => this.#missing(result, false)),
      parts: results.flatMap((result) => this.#partsOf(result)),
      failures: this.#exitCodes.filter((code) => code !== 0 && code !== null),
    };
  }

  #partsOf({ answers, open }: Judged): string[] {
    const wrong = answers.filter((answer) => answer.status === OK && !this.#isTrue(answer));
    const unframed = open !== null && open.framing === 'connection' ? [open] : [];
    return [...wrong, ...unframed].map((answer) => JSON.stringify(answer));
  }

  #isTrue({ mark, bodyBytes, isPure }: SplitAnswer): boolean {
    return isPure && this.#made.get(mark)?.bytes === bodyBytes;
  }

  /** Reads whose answers could have been taken and weren't there, made by their upstream or not even handed on. */
  #missing(result: Judged, isMade: boolean): string[] {
    const { plan, answers } = result;
    const arrived = new Set(answers.filter(({ status }) => status === OK).map(({ mark }) => mark));
    const broken = plan.reads.findIndex(({ making }) => making === 'broken');
    const expected = broken === -1 ? plan.reads : plan.reads.slice(0, broken);
    // A connection of which nothing was read was closed with the port, before it was accepted.
    const wasRead = answers.length > 0 || plan.reads.some(({ id }) => this.#made.has(id));
    return expected.flatMap(({ id }, index) => {
      const made = this.#made.get(id);
      const isAnswered = isMade ? arrived.has(id) : index < answers.length || !wasRead;
      const couldTake = this.#couldTake(result, index, made?.at ?? result.sentAt);
      const isMissing = (made !== undefined) === isMade && !isAnswered && couldTake;
      return isMissing ? [this.#describe(result, index)] : [];
    });
  }

  #describe(result: Judged, index: number): string {
    const { plan, answers, end, sentAt, endedAt, number } = result;
    const { id, bytes, making } = plan.reads[index] as ReadPlan;
    const since = (at: number | undefined): number | null =>
      at === undefined ? null : Math.round(at - sentAt);
    const got = answers[index];
    const endings = (this.#endings.get(number) ?? []).map(
      ({ at, isKill }) => `${isKill ? 'killed' : 'stopped'} ${since(at)}`,
    );
    return [
      `${id} of ${plan.reads.length}, ${bytes} bytes (${making}) at ${Math.round(plan.bytesPerSecond)}/s from ${plan.readFromMillis}`,
      `made ${since(this.#made.get(id)?.at)}, got ${got?.status ?? 'nothing'} ${got?.status === OK ? '' : got?.mark}`,
      `${answers.length} answers, ${end} ${since(endedAt)}, router-${number} ${endings.join(' ')}`,
    ].join('; ');
  }

  /** Whether a caller has time for the answer to read `index` before its router ends. */
  #couldTake({ plan, sentAt, number }: Judged, index: number, madeAt: number): boolean {
    const bytes = plan.reads.slice(0, index + 1).reduce((sum, read) => sum + read.bytes + OVERHEAD_BYTES, 0);
    const takenAt = sentAt + plan.readFromMillis + (bytes / plan.bytesPerSecond) * 1000;
    const ending = (this.#endings.get(number) ?? []).find(({ at }) => at + STOP_GRACE_MILLIS > sentAt);
    if (ending === undefined) {
      return true;
    }
    return !ending.isKill && Math.max(takenAt, madeAt) < ending.at + STOP_GRACE_MILLIS - MARGIN_MILLIS;
  }
}

function bodyStart(id: string, bytes: number): Buffer {
  return Buffer.from(`${id} `.padEnd(Math.min(bytes, 1000), 'x'));
}

/** Pieces of the body of an answer. */
function piecesOf(id: string, bytes: number): Buffer[] {
  const pieces = [bodyStart(id, bytes)];
  for (let left = bytes - 1000; left > 0; left -= CHUNK_BYTES) {
    pieces.push(FILL.subarray(0, Math.min(left, CHUNK_BYTES)));
  }
  return pieces;
}

function writeWhole(request: ScriptedRequest, id: string, bytes: number, making: Making): void {
  const { socket } = request;
  const pieces = piecesOf(id, bytes);
  if (making === 'chunks') {
    socket.write(headFor(request, 'transfer-encoding: chunked'));
    for (const piece of pieces) {
      socket.write(
        Buffer.concat([Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from('\r\n')]),
      );
    }
    socket.write('0\r\n\r\n');
    return;
  }
  socket.write(headFor(request, making === 'length' ? `content-length: ${bytes}` : 'connection: close'));
  for (const piece of pieces) {
    socket.write(piece);
  }
  if (making === 'connection') {
    socket.end();
  }
}

/** Half of an answer without a length, then a reset. */
function writeBroken(request: ScriptedRequest, id: string, bytes: number): void {
  request.socket.write(headFor(request, 'connection: close'));
  const pieces = piecesOf(id, Math.ceil(bytes / 2));
  request.socket.write(Buffer.concat(pieces), () => request.socket.resetAndDestroy());
}
