/** A seeded soak of real processes: members and routers of the deploy file, upstreams, an operator and callers, under disturbances. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/dev/sim/random.js';
import { callControl } from './control-call.js';
import { type DisturbanceCounts, Disturber, GROUP, type Group } from './disturber.js';
import { judge, type Violation } from './judge.js';
import { type Machine, MachineFleet, READINESS_PORT, ZONES } from './machine-fleet.js';
import { PlannedWork } from './planned-work.js';
import type { ConfigurationRead, SoakRecords, UnreadyRecord } from './records.js';
import { type CallerKind, SoakCaller } from './soak-caller.js';
import { SoakOperator } from './soak-operator.js';
import { TRAFFIC, type TrafficKind } from './soak-traffic.js';
import { SoakUpstream } from './soak-upstream.js';
import { type StopFigures, stopFigures } from './stop-figures.js';
import { StopOfAll } from './stop-of-all.js';

const UPSTREAMS_PER_SERVICE = 3;
const FIRST_UPSTREAM = 201;
const QUEUE = 40;
const READY_MILLIS = 15_000;
/** Until machines are in touch. */
const CONTACT_MILLIS = 3500;
const STOP_MILLIS = 6000;
const POLL_MILLIS = 250;
const READ_MILLIS = 400;
/** What processes write of their life, and what isn't JSON. */
const LIFE_LINE = /"event":"(?:started|stopping|stopped|failed|settings-[a-z]+)"|^[^{]/;
const MAX_LIFE_LINES = 6;

export interface SoakPlan {
  readonly seed: number;
  readonly network: number;
  readonly seconds: number;
  readonly routers: number;
  readonly callersPerRouter: number;
  readonly bundle: string;
  readonly without: ReadonlySet<Group>;
  readonly traffic: TrafficKind;
  /** The callers of a router in turn, in place of those of the traffic. */
  readonly mix?: readonly CallerKind[];
  /** Whether all is calm but for planned work and a kill now and then. */
  readonly isPlannedOnly: boolean;
  /** Time for which a process gets no processor when its planned stop begins. */
  readonly heldUpMillis?: number;
  readonly routersLoad?: string;
  /** Sabotages of single routers, by their names; all routers are stopped once then, and nothing else happens. */
  readonly sabotages?: Readonly<Record<string, RouterSabotage>>;
  readonly alterRouters?: (settings: string) => string;
}

/** Breaks a mechanism of one router. */
export interface RouterSabotage {
  /** Path of the module that is loaded before its program. */
  readonly load: string;
  /** Time for which it gets no processor when its planned stop begins. */
  readonly heldUpMillis: number;
}

export interface SoakReport extends DisturbanceCounts, StopFigures {
  readonly requests: number;
  readonly answered: number;
  readonly halfClosed: number;
  readonly halfClosedLost: number;
  readonly changes: number;
  readonly slowestAckMillis: number;
  readonly unclear: number;
  readonly reads: number;
  readonly overstayed: readonly string[];
  readonly violations: readonly Violation[];
  readonly folder: string;
}

export class ProcessSoak {
  readonly #plan: SoakPlan;
  readonly #random: Random;
  readonly #fleet: MachineFleet;
  readonly #upstreams: readonly SoakUpstream[];
  readonly #operator: SoakOperator;
  readonly #disturber: Disturber | PlannedWork | StopOfAll;
  readonly #callers: SoakCaller[] = [];
  readonly #unready: UnreadyRecord[] = [];
  #last: ConfigurationRead | null = null;
  #isOver = false;

  constructor(plan: SoakPlan) {
    const { seed, network, routers, bundle, traffic, routersLoad, sabotages, alterRouters } = plan;
    this.#plan = plan;
    this.#random = new Random(seed);
    this.#fleet = new MachineFleet({
      network,
      routers,
      bundle,
      ...(routersLoad !== undefined && { routersLoad }),
      ...(sabotages !== undefined && { loadsByRouter: loadsOf(sabotages) }),
      ...(alterRouters !== undefined && { alterRouters }),
    });
    this.#upstreams = this.#makeUpstreams();
    this.#operator = new SoakOperator(this.#fleet.controlAddresses, this.#random.fork(), TRAFFIC[traffic]);
    this.#disturber = this.#makeDisturber(this.#random.fork());
  }

  async run(): Promise<SoakReport> {
    try {
      await this.#begin();
      await this.#disturbAndCall();
      await this.#settle();
    } finally {
      await this.#end();
    }
    return this.#report();
  }

  /** Lines of the logs that name a request, or tell how a process began and ended, for the message of a violation. */
  linesOf({ subject }: Violation): string[] {
    const machine = this.#fleet.machines.find(({ name }) => name === subject);
    if (machine !== undefined) {
      return this.#fleet.logLines(subject, LIFE_LINE).slice(-MAX_LIFE_LINES);
    }
    return this.#fleet.machines.flatMap(({ name }) => this.#fleet.logLines(name, new RegExp(`"${subject}"`)));
  }

  removeFolder(): void {
    this.#fleet.removeFolder();
  }

  #makeDisturber(random: Random): Disturber | PlannedWork | StopOfAll {
    const { isPlannedOnly, without, heldUpMillis = 0, sabotages } = this.#plan;
    if (sabotages !== undefined) {
      return new StopOfAll(this.#fleet, ({ name }) => sabotages[name]?.heldUpMillis ?? 0);
    }
    return isPlannedOnly
      ? new PlannedWork(this.#fleet, random, without, heldUpMillis)
      : new Disturber(this.#fleet, this.#upstreams, random, without);
  }

  async #begin(): Promise<void> {
    this.#fleet.start();
    await this.#operator.begin();
    await Promise.all(this.#upstreams.map((upstream) => upstream.start()));
    const unready = await this.#untilReady();
    if (unready.length > 0) {
      throw new Error(`not ready at the start: ${unready.join(', ')}`);
    }
    this.#fleet.endBootstrap();
    await sleep(CONTACT_MILLIS);
  }

  async #disturbAndCall(): Promise<void> {
    const { seconds, callersPerRouter, traffic, without } = this.#plan;
    const mix: readonly CallerKind[] = this.#plan.mix ?? TRAFFIC[traffic].mix;
    const kinds = mix.filter((kind) => kind !== 'pipedOrders' || !without.has(GROUP.pipedOrders));
    const isOver = (): boolean => this.#isOver;
    for (const router of this.#fleet.routers) {
      for (let index = 0; index < callersPerRouter; index += 1) {
        const kind = kinds[index % kinds.length] as CallerKind;
        const name = `${router.name}-${kind}-${index}`;
        this.#callers.push(new SoakCaller(kind, name, router, this.#random.fork()));
      }
    }
    this.#operator.onAcknowledged = (address) => this.#onAcknowledged(address);
    const calling = this.#callers.map((caller) => repeat(isOver, () => caller.useConnection(isOver)));
    const others = [this.#operate(isOver), this.#read(isOver), ...this.#watch(isOver)];
    const disturbing = this.#disturber.run();
    await sleep(seconds * 1000);
    this.#operator.onAcknowledged = () => {};
    this.#disturber.stop();
    await disturbing;
    await sleep(CONTACT_MILLIS);
    this.#isOver = true;
    await Promise.all([...calling, ...others]);
  }

  /** After the last disturbance everything is ready, and has what was acknowledged. */
  async #settle(): Promise<void> {
    const from = performance.now();
    for (const process of await this.#untilReady()) {
      this.#unready.push({ process, from, until: from + READY_MILLIS + POLL_MILLIS });
    }
    this.#last = await this.#operator.readLast();
  }

  async #end(): Promise<void> {
    this.#isOver = true;
    this.#disturber.stop();
    await this.#fleet.stop(STOP_MILLIS);
    for (const upstream of this.#upstreams) {
      upstream.stop();
    }
  }

  #onAcknowledged(address: string): void {
    const member = this.#fleet.members.find(({ host }) => address.startsWith(`${host}:`));
    if (member !== undefined) {
      this.#disturber.afterAcknowledgement(member);
    }
  }

  async #operate(isOver: () => boolean): Promise<void> {
    const random = this.#random.fork();
    await repeat(isOver, async () => {
      await sleep(random.integer(100, 2000));
      await this.#operator.change();
    });
  }

  async #read(isOver: () => boolean): Promise<void> {
    await repeat(isOver, async () => {
      await sleep(READ_MILLIS);
      await this.#operator.read();
    });
  }

  /** Notes times in which a router that runs undisturbed isn't ready. */
  #watch(isOver: () => boolean): Promise<void>[] {
    return this.#fleet.routers.map(async (router) => {
      let since = performance.now();
      await repeat(isOver, async () => {
        await sleep(POLL_MILLIS);
        const isReady = await isRouterReady(router);
        const now = performance.now();
        const disturbedAt =
          this.#fleet.disturbances.findLast(({ process }) => process === router.name)?.until ?? 0;
        if (isReady || !this.#fleet.isRunning(router)) {
          since = now;
        }
        since = Math.max(since, disturbedAt);
        if (now - since > READY_MILLIS) {
          this.#unready.push({ process: router.name, from: since, until: now });
          since = now;
        }
      });
    });
  }

  /** Waits for every router to be ready; gives the names of those that aren't in time. */
  async #untilReady(): Promise<string[]> {
    const until = performance.now() + READY_MILLIS;
    const results = await Promise.all(
      this.#fleet.routers.map(async (router) => {
        while (!(await isRouterReady(router))) {
          if (performance.now() > until) {
            return [router.name];
          }
          await sleep(POLL_MILLIS);
        }
        return [];
      }),
    );
    return results.flat();
  }

  #makeUpstreams(): SoakUpstream[] {
    const { services } = TRAFFIC[this.#plan.traffic];
    return services.flatMap(({ service, isKeyed, slots, workShares }, place) =>
      Array.from({ length: UPSTREAMS_PER_SERVICE }, (_, index) => {
        const number = FIRST_UPSTREAM + place * UPSTREAMS_PER_SERVICE + index;
        return new SoakUpstream({
          name: `${service}-${index}`,
          service,
          zone: ZONES[index % ZONES.length] as string,
          host: this.#fleet.host(number),
          isKeyed,
          slots,
          queue: QUEUE,
          workShare: workShares[index % workShares.length] as number,
          control: () => this.#fleet.controlAddresses,
        });
      }),
    );
  }

  #report(): SoakReport {
    const requests = this.#callers.flatMap(({ records }) => records);
    const records: SoakRecords = {
      requests,
      runs: this.#upstreams.flatMap(({ runs }) => runs),
      disturbances: this.#fleet.disturbances,
      exits: this.#fleet.exits,
      unready: this.#unready,
      changes: this.#operator.changes,
      reads: this.#operator.reads,
      last: this.#last,
    };
    const ran = new Set(records.runs.map(({ id }) => id));
    const halfClosed = requests.filter(({ isHalfClosed }) => isHalfClosed);
    return {
      ...this.#disturber.counts,
      ...stopFigures(records),
      requests: requests.length,
      answered: requests.filter(({ answer }) => answer !== null).length,
      halfClosed: halfClosed.length,
      halfClosedLost: halfClosed.filter(({ id, answer }) => answer === null && ran.has(id)).length,
      changes: records.changes.length,
      slowestAckMillis: Math.round(Math.max(0, ...this.#operator.ackMillis)),
      unclear: this.#operator.unclear,
      reads: records.reads.length,
      overstayed: this.#fleet.overstayed,
      violations: judge(records),
      folder: this.#fleet.folder,
    };
  }
}

function loadsOf(sabotages: Readonly<Record<string, RouterSabotage>>): Record<string, string> {
  return Object.fromEntries(Object.entries(sabotages).map(([router, { load }]) => [router, load]));
}

async function repeat(isOver: () => boolean, once: () => Promise<void>): Promise<void> {
  while (!isOver()) {
    await once();
  }
}

async function isRouterReady({ host }: Machine): Promise<boolean> {
  const { status } = await callControl(`${host}:${READINESS_PORT}`, { method: 'GET', path: '/healthz' });
  return status === 200;
}
