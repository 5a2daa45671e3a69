/** Router processes lose and regain their paths to upstreams, are stopped, killed and frozen, while callers go on. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../../src/dev/sim/random.js';
import { CuttableProxy, type ProxyCut } from '../cuttable-proxy.js';
import { answerWhole, type ScriptedRequest, ScriptedUpstream } from '../scripted-upstream.js';
import { Disturbances } from './disturbances.js';
import { RouterProcess } from './router-process.js';
import { type SoakCall, SoakCallers } from './soak-callers.js';

const CUTS: readonly ProxyCut[] = ['silent', 'reset', 'refused', 'living'];
const ALL_UPSTREAMS_SHARE = 0.6;
const SOME_SHARE = 0.5;
const SERVICE_MILLIS = [1, 12] as const;
const PAUSE_MILLIS = [100, 900] as const;
const CUT_MILLIS = [1600, 3200] as const;
const FREEZE_MILLIS = [300, 1500] as const;
const WARM_MILLIS = 500;
const HEALED_MILLIS = 1500;
const RETURN_MILLIS = 10_000;
const POLL_MILLIS = 50;
/** Second number of the addresses, so that tests don't meet. */
const NETWORK = 83;

export interface SoakOptions {
  readonly seed: number;
  readonly routers: number;
  readonly upstreams: number;
  readonly millis: number;
}

/** What a soak saw. */
export interface SoakOutcome {
  readonly calls: readonly SoakCall[];
  /** Times that each path began to run. */
  readonly runs: ReadonlyMap<string, number>;
  /** Calls sent when the paths of their router, and all processes, had been as they were for a second. */
  readonly settled: readonly SoakCall[];
  /** Calls sent after everything was healed and settled. */
  readonly last: readonly SoakCall[];
  /** Upstreams still reached over other routers at the end. */
  readonly relayedAtEnd: number;
  /** What was done when, for messages. */
  readonly story: readonly string[];
}

export class LostPathsSoak {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #folder = mkdtempSync(join(tmpdir(), 'ternmount-lost-paths-'));
  readonly #upstreams: ScriptedUpstream[] = [];
  readonly #routers: RouterProcess[] = [];
  /** By router, in the order of the upstreams. */
  readonly #proxies = new Map<RouterProcess, CuttableProxy[]>();
  readonly #callers: SoakCallers[] = [];
  readonly #runs = new Map<string, number>();
  readonly #disturbances = new Disturbances();
  readonly #story: string[] = [];
  readonly #startedAt = performance.now();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  /** What was done when so far, and where the logs are until the soak has ended. */
  get progress(): string {
    return [...this.#story, `logs in ${this.#folder}`].join('\n');
  }

  async run(): Promise<SoakOutcome> {
    try {
      await this.#start();
      await sleep(WARM_MILLIS);
      const deadline = performance.now() + this.#options.millis;
      await Promise.all([this.#cutPaths(deadline), this.#disturbProcesses(deadline)]);
      const healedAt = performance.now();
      await sleep(HEALED_MILLIS);
      this.#note('all is healed');
      const relayedAtEnd = await this.#relayedAtEnd();
      await Promise.all(this.#callers.map((callers) => callers.stop()));
      this.#note('the callers have ended');
      return this.#outcome(healedAt, relayedAtEnd);
    } finally {
      await this.#close();
    }
  }

  async #start(): Promise<void> {
    const { routers, upstreams } = this.#options;
    for (let number = 1; number <= upstreams; number += 1) {
      this.#upstreams.push(await new ScriptedUpstream((request) => this.#serve(request)).start());
    }
    for (let number = 1; number <= routers; number += 1) {
      const host = hostOf(number);
      const starts = this.#upstreams.map(({ address }) => CuttableProxy.start(address, host));
      const proxies = await Promise.all(starts);
      const paths = proxies.map(({ address }) => address);
      const router = await RouterProcess.create(`r${number}`, host, this.#folder, paths);
      this.#routers.push(router);
      this.#proxies.set(router, proxies);
    }
    for (const router of this.#routers) {
      router.setPeers(this.#routers.filter((other) => other !== router).map(({ peer }) => peer));
    }
    await Promise.all(this.#routers.map((router) => router.start()));
    for (const { name, addresses } of this.#routers) {
      const callers = new SoakCallers(name, addresses.listen, this.#random.fork());
      callers.start();
      this.#callers.push(callers);
    }
  }

  #serve(request: ScriptedRequest): void {
    this.#runs.set(request.target, (this.#runs.get(request.target) ?? 0) + 1);
    setTimeout(() => answerWhole(request), this.#random.between(...SERVICE_MILLIS));
  }

  /** Cuts paths of all routers but the first, one router after the other and several at a time. */
  async #cutPaths(deadline: number): Promise<void> {
    const cuts: Promise<void>[] = [];
    const cut = new Set<RouterProcess>();
    while (performance.now() < deadline) {
      const router = this.#random.pick(this.#routers.slice(1));
      if (!cut.has(router)) {
        cut.add(router);
        cuts.push(this.#cutAndHeal(router).then(() => void cut.delete(router)));
      }
      await sleep(this.#random.between(...PAUSE_MILLIS));
    }
    await Promise.all(cuts);
  }

  async #cutAndHeal(router: RouterProcess): Promise<void> {
    const isAll = this.#random.chance(ALL_UPSTREAMS_SHARE);
    const how = this.#random.pick(CUTS);
    const proxies = this.#proxies.get(router) as CuttableProxy[];
    const chosen = proxies.filter(() => isAll || this.#random.chance(SOME_SHARE));
    this.#note(`${router.name} loses ${chosen.length} of ${proxies.length} paths: ${how}`);
    this.#disturbances.notePaths(router.name);
    await Promise.all(chosen.map((proxy) => proxy.cut(how)));
    this.#disturbances.notePaths(router.name);
    await sleep(this.#random.between(...CUT_MILLIS));
    this.#note(`${router.name} has its paths again`);
    this.#disturbances.notePaths(router.name);
    await Promise.all(chosen.map((proxy) => proxy.heal()));
    this.#disturbances.notePaths(router.name);
  }

  async #disturbProcesses(deadline: number): Promise<void> {
    while (performance.now() < deadline) {
      await sleep(this.#random.between(...CUT_MILLIS));
      const router = this.#random.pick(this.#routers.slice(1));
      const disturb = this.#random.pick([
        () => this.#restart(router, 'SIGTERM'),
        () => this.#restart(router, 'SIGKILL'),
        () => this.#freeze(router),
      ]);
      const done = this.#disturbances.noteProcess();
      await disturb();
      done();
    }
  }

  async #restart(router: RouterProcess, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    this.#note(`${signal} to ${router.name}`);
    await router.end(signal);
    await router.start();
    this.#note(`${router.name} runs again`);
  }

  async #freeze(router: RouterProcess): Promise<void> {
    this.#note(`${router.name} is frozen`);
    router.freeze();
    await sleep(this.#random.between(...FREEZE_MILLIS));
    router.thaw();
    this.#note(`${router.name} goes on`);
  }

  async #relayedAtEnd(): Promise<number> {
    const deadline = performance.now() + RETURN_MILLIS;
    for (;;) {
      const counts = await Promise.all(this.#routers.map((router) => router.relayedUpstreams()));
      const relayed = counts.reduce((sum, count) => sum + count, 0);
      if (relayed === 0 || performance.now() > deadline) {
        return relayed;
      }
      await sleep(POLL_MILLIS);
    }
  }

  #outcome(healedAt: number, relayedAtEnd: number): SoakOutcome {
    const calls = this.#callers.flatMap((callers) => callers.calls);
    const settled = calls.filter(({ router, sentAt }) => this.#disturbances.isSettled(router, sentAt));
    const last = settled.filter(({ sentAt }) => sentAt > healedAt);
    return { calls, runs: this.#runs, settled, last, relayedAtEnd, story: this.#story };
  }

  #note(what: string): void {
    this.#story.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(2)} s: ${what}`);
  }

  async #close(): Promise<void> {
    await Promise.all(this.#callers.map((callers) => callers.stop()));
    await Promise.all(this.#routers.map((router) => router.close()));
    this.#note('the routers have ended');
    await Promise.all([...this.#proxies.values()].flat().map((proxy) => proxy.stop()));
    this.#note('the proxies have ended');
    await Promise.all(this.#upstreams.map((upstream) => upstream.stop()));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Address of a router and of its ways to upstreams. */
function hostOf(number: number): string {
  return `127.${NETWORK}.${process.pid % 250}.${number}`;
}
