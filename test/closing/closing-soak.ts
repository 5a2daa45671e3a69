/**
 * Real routers that are stopped as planned and started again, with other signals between, while slow callers of all kinds keep using their
 * connections. Judged: each answer that the upstream made whole arrives whole, since every caller is there to read it; no part passes for a whole.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Random } from '../../src/dev/sim/random.js';
import { headFor, type ScriptedRequest } from '../router/scripted-upstream.js';
import {
  type CallerPlan,
  type CallerResult,
  LAST_SENT,
  type LastSent,
  readIds,
  runCaller,
} from './closing-caller.js';
import { StoppedRouters } from './stopped-routers.js';

/** Reading begins well before the grace time of a stop that begins with the caller. */
const MAX_READ_FROM_MILLIS = 1500;
const MAX_READS = 30;
/** With the above, at most what the system takes for a caller that doesn't read. */
const MAX_ANSWER_BYTES = 20_000;
/** Logarithms to the base 10; the slowest reads all within 3 s. */
const MIN_RATE = 5.3;
const MAX_RATE = 7;
const CLOSE_AT_ONCE = fileURLToPath(new URL('./close-at-once.js', import.meta.url));

export interface SoakPlan {
  readonly seed: number;
  readonly network: number;
  readonly seconds: number;
  readonly routers: number;
  readonly callersPerRouter: number;
  /** Whether connections are closed at once, which the soak has to notice. */
  readonly closesAtOnce?: boolean;
}

export interface SoakReport {
  readonly callers: number;
  readonly stops: number;
  readonly made: number;
  /** Ids of answers that were made and didn't arrive, with the end of their connection. */
  readonly lost: readonly string[];
  /** Callers without the answer that tells why their connection was closed. */
  readonly untold: readonly string[];
  /** Ids of answers that arrived whole and weren't made so. */
  readonly parts: readonly string[];
  /** Exit codes other than 0. */
  readonly failures: readonly (number | null)[];
}

/** Statuses with which the router closes a connection, for what its caller has sent. */
const TELLS: Readonly<Record<LastSent, number | null>> = {
  nothing: null,
  'more reads': null,
  'a long body': 413,
  'an endless body': 413,
  'no request': 400,
  'a long header': 431,
};

export class ClosingSoak {
  readonly #plan: SoakPlan;
  readonly #random: Random;
  readonly #routers: StoppedRouters;
  readonly #made = new Set<string>();
  readonly #results: CallerResult[] = [];
  readonly #exitCodes: (number | null)[] = [];
  #callers = 0;
  #isOver = false;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
    this.#random = new Random(plan.seed);
    this.#routers = new StoppedRouters({
      network: plan.network,
      script: (request) => this.#answer(request),
      announces: false,
      modules: Array.from({ length: plan.routers }, () =>
        plan.closesAtOnce === true ? CLOSE_AT_ONCE : null,
      ),
    });
  }

  async run(): Promise<SoakReport> {
    const numbers = Array.from({ length: this.#plan.routers }, (_, index) => index + 1);
    try {
      await this.#routers.startAll(numbers.length);
      const callers = numbers.flatMap((number) =>
        Array.from({ length: this.#plan.callersPerRouter }, () => this.#keepCalling(number)),
      );
      await Promise.all(numbers.map((number) => this.#disturb(number)));
      this.#isOver = true;
      // Callers without anything to close their connections see these stops.
      const ends = numbers.map((number) => this.#routers.end(number, 'SIGTERM'));
      await Promise.all(callers);
      this.#exitCodes.push(...(await Promise.all(ends)));
    } finally {
      await this.#routers.close();
    }
    return this.#report();
  }

  /** Stops a router and starts it again, several times; some stops come twice, or beside a reload. */
  async #disturb(number: number): Promise<void> {
    const end = performance.now() + this.#plan.seconds * 1000;
    while (performance.now() < end) {
      await sleep(this.#random.integer(200, 3000));
      if (this.#random.chance(0.3)) {
        this.#routers.signal(number, 'SIGHUP');
        await sleep(this.#random.integer(0, 100));
      }
      const isTwice = this.#random.chance(0.3);
      const again = setTimeout(
        () => isTwice && this.#routers.signal(number, 'SIGHUP'),
        this.#random.integer(10, 500),
      );
      this.#exitCodes.push(await this.#routers.end(number, 'SIGTERM'));
      clearTimeout(again);
      await this.#routers.start(number);
    }
  }

  async #keepCalling(number: number): Promise<void> {
    const address = this.#routers.address(number);
    while (!this.#isOver) {
      const result = await runCaller(address, this.#drawCaller());
      if (result === null) {
        await sleep(50);
      } else {
        this.#results.push(result);
      }
    }
  }

  #drawCaller(): CallerPlan {
    const random = this.#random;
    const reads = random.integer(1, MAX_READS);
    const kinds = Object.keys(LAST_SENT) as LastSent[];
    const lastSent = kinds[random.integer(0, kinds.length - 1)] as LastSent;
    this.#callers += 1;
    return {
      name: `${this.#plan.seed}-${this.#callers}`,
      reads,
      answerBytes: random.integer(100, MAX_ANSWER_BYTES),
      broken: random.chance(0.2) ? random.integer(0, reads - 1) : null,
      lastSent,
      readFromMillis: random.chance(0.2) ? 0 : random.integer(100, MAX_READ_FROM_MILLIS),
      bytesPerSecond: 10 ** random.between(MIN_RATE, MAX_RATE),
      sendEachMillis: random.integer(20, 250),
    };
  }

  #answer(request: ScriptedRequest): void {
    const { searchParams, pathname } = new URL(request.target, 'http://upstream');
    const id = pathname.slice('/reads/'.length);
    const bytes = Number(searchParams.get('bytes'));
    const head = headFor(request, `content-length: ${bytes}`);
    const body = `${id} `.padEnd(bytes, 'x');
    if (searchParams.get('making') === 'broken') {
      request.socket.write(head + body.slice(0, bytes / 2), () => request.socket.destroy());
      return;
    }
    this.#made.add(id);
    request.socket.write(head + body);
  }

  #report(): SoakReport {
    const lost = this.#results.flatMap((result) => this.#lostBy(result));
    const untold = this.#results.filter((result) => this.#isUntold(result));
    const parts = this.#results.flatMap(({ whole }) => [...whole].filter((id) => !this.#made.has(id)));
    return {
      callers: this.#results.length,
      stops: this.#exitCodes.length,
      made: this.#made.size,
      lost,
      untold: untold.map(({ plan, end }) => `${plan.name} (${plan.lastSent}, ${end})`),
      parts,
      failures: this.#exitCodes.filter((code) => code !== 0),
    };
  }

  #lostBy({ plan, whole, end, statuses }: CallerResult): string[] {
    const ids = readIds(plan).filter((id) => this.#made.has(id) && !whole.has(id));
    // An answer that breaks after its head was sent ends the connection, with those that were made behind it.
    const expected =
      plan.broken === null ? ids : ids.filter((id) => readIds(plan).indexOf(id) < (plan.broken ?? 0));
    return expected.map((id) => `${id} (${plan.lastSent}, ${end}, ${statuses.length} of ${plan.reads})`);
  }

  /** A connection of which nothing was read was closed with the port, before it was accepted. */
  #isUntold({ plan, statuses, end }: CallerResult): boolean {
    const status = TELLS[plan.lastSent];
    const wasRead = readIds(plan).some((id) => this.#made.has(id));
    const isCut = end !== 'end';
    return status !== null && plan.broken === null && wasRead && isCut && !statuses.includes(status);
  }
}
