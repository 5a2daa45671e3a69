/**
 * Planned stops of real routers, one soon after the other, while callers go on sending orders: bursts, single ones as soon as their connection is
 * free, and bodies that come slowly. The upstreams take up to half of the grace time, so that orders are under way all through the stops.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/dev/sim/random.js';
import { callControl } from '../soak/control-call.js';
import { judge, type Violation } from '../soak/judge.js';
import { type Machine, MachineFleet, READINESS_PORT, ZONES } from '../soak/machine-fleet.js';
import { DISTURBANCE, type ExitRecord, type RequestRecord, type SoakRecords } from '../soak/records.js';
import type { Demand } from '../soak/request-drafts.js';
import { type CallerKind, SoakCaller } from '../soak/soak-caller.js';
import { SoakOperator } from '../soak/soak-operator.js';
import { BREAKAGE, SoakUpstream } from '../soak/soak-upstream.js';

const ROUTERS = 2;
const UPSTREAMS = 3;
const FIRST_UPSTREAM = 201;
/** As many as all callers send at once, so that no order waits for another one's slot. */
const SLOTS = 200;
/** The callers of a router in turn. */
const MIX: readonly CallerKind[] = ['pipedOrders', 'singleOrders', 'slowBody'];
const CALLERS_PER_ROUTER = 24;
const MIN_WORK_MILLIS = 100;
const MAX_WORK_MILLIS = 3000;
/** Beyond what an order needs that is sent at the end of a stop's time. */
const DEADLINE_MILLIS = 6900;
const DEMAND: Demand = {
  drawWorkMillis: (random) => random.between(MIN_WORK_MILLIS, MAX_WORK_MILLIS),
  drawDeadlineMillis: () => DEADLINE_MILLIS,
};
const READY_MILLIS = 15_000;
const POLL_MILLIS = 50;
/** What routers write of their life. */
const LIFE_LINE = /"event":"(?:started|signal-received|stopping|stop-overdue|stopped|process-ended|failed)"/;
/** Until each upstream works for each caller. */
const BEFORE_STOPS_MILLIS = 1500;
/** What runs at a silent upstream when the first stop begins was sent so late that its deadline lies behind the grace time. */
const SILENT_BEFORE_STOPS_MILLIS = 600;
const BETWEEN_STOPS_MILLIS = 700;

export interface LateOrdersPlan {
  readonly seed: number;
  readonly network: number;
  /** Folder of the daemons' bundle. */
  readonly bundle: string;
  /** Whether one upstream does its work and answers nothing, from just before the stops on. */
  readonly hasSilentUpstream?: boolean;
  /** Module that is loaded before the routers, which a sabotage uses. */
  readonly routersLoad?: string;
}

export interface LateOrdersReport {
  readonly orders: number;
  /** Orders that were open when the SIGTERM of their router came, or were sent later. */
  readonly inStops: number;
  /** Routers that hadn't ended when their grace time was over. */
  readonly overstayed: readonly string[];
  readonly violations: readonly Violation[];
  readonly folder: string;
}

export class LateOrders {
  readonly #plan: LateOrdersPlan;
  readonly #random: Random;
  readonly #fleet: MachineFleet;
  readonly #operator: SoakOperator;
  readonly #upstreams: readonly SoakUpstream[];
  #callers: readonly SoakCaller[] = [];
  /** Ends of processes until the stops and callers were over. */
  #exits: readonly ExitRecord[] = [];
  #isOver = false;

  constructor(plan: LateOrdersPlan) {
    const { seed, network, bundle, routersLoad } = plan;
    this.#plan = plan;
    this.#random = new Random(seed);
    this.#fleet = new MachineFleet({
      network,
      routers: ROUTERS,
      bundle,
      ...(routersLoad !== undefined && { routersLoad }),
    });
    this.#operator = new SoakOperator(this.#fleet.controlAddresses, this.#random.fork());
    this.#upstreams = Array.from({ length: UPSTREAMS }, (_, index) => this.#makeUpstream(index));
  }

  async run(): Promise<LateOrdersReport> {
    try {
      await this.#begin();
      await this.#stopBesideCallers();
    } finally {
      this.#end();
    }
    return this.#report();
  }

  /** Lines of the logs that name a request, or tell how a router began and ended, for the message of a violation. */
  linesOf({ subject }: Violation): string[] {
    if (this.#fleet.routers.some(({ name }) => name === subject)) {
      return this.#fleet.logLines(subject, LIFE_LINE);
    }
    return this.#fleet.routers.flatMap(({ name }) => this.#fleet.logLines(name, new RegExp(`"${subject}"`)));
  }

  removeFolder(): void {
    this.#fleet.removeFolder();
  }

  #makeUpstream(index: number): SoakUpstream {
    return new SoakUpstream({
      name: `orders-1-${index}`,
      service: 'orders-1',
      zone: ZONES[index % ZONES.length] as string,
      host: this.#fleet.host(FIRST_UPSTREAM + index),
      isKeyed: false,
      slots: SLOTS,
      queue: 0,
      control: () => this.#fleet.controlAddresses,
    });
  }

  async #begin(): Promise<void> {
    this.#fleet.start();
    await this.#operator.begin();
    await Promise.all(this.#upstreams.map((upstream) => upstream.start()));
    await Promise.all(this.#fleet.routers.map((router) => untilReady(router)));
    this.#fleet.endBootstrap();
  }

  async #stopBesideCallers(): Promise<void> {
    const isOver = (): boolean => this.#isOver;
    this.#callers = this.#fleet.routers.flatMap((router) => this.#makeCallers(router));
    const calling = this.#callers.map(async (caller) => {
      while (!isOver()) {
        await caller.useConnection(isOver);
      }
    });
    await sleep(BEFORE_STOPS_MILLIS);
    this.#silence();
    await sleep(SILENT_BEFORE_STOPS_MILLIS);
    await Promise.all(this.#fleet.routers.map((router, index) => this.#stop(router, index)));
    this.#isOver = true;
    await Promise.all(calling);
    this.#exits = [...this.#fleet.exits];
  }

  #silence(): void {
    const [upstream] = this.#upstreams;
    if (this.#plan.hasSilentUpstream === true && upstream !== undefined) {
      upstream.drawBreakage = () => BREAKAGE.silence;
    }
  }

  #makeCallers(router: Machine): SoakCaller[] {
    return Array.from({ length: CALLERS_PER_ROUTER }, (_, index) => {
      const kind = MIX[index % MIX.length] as CallerKind;
      return new SoakCaller(kind, `${router.name}-${kind}-${index}`, router, this.#random.fork(), DEMAND);
    });
  }

  async #stop(router: Machine, index: number): Promise<void> {
    await sleep(index * BETWEEN_STOPS_MILLIS);
    await this.#fleet.stopInTime(router);
  }

  #end(): void {
    this.#isOver = true;
    this.#fleet.close();
    for (const upstream of this.#upstreams) {
      upstream.stop();
    }
  }

  #report(): LateOrdersReport {
    const requests = this.#callers.flatMap(({ records }) => records);
    const records: SoakRecords = {
      requests,
      runs: this.#upstreams.flatMap(({ runs }) => runs),
      disturbances: this.#fleet.disturbances,
      exits: this.#exits,
      unready: [],
      changes: [],
      reads: [],
      last: null,
    };
    return {
      orders: requests.length,
      inStops: requests.filter((request) => this.#isInStop(request)).length,
      overstayed: this.#fleet.overstayed,
      violations: judge(records),
      folder: this.#fleet.folder,
    };
  }

  #isInStop({ router, answer, endedAt }: RequestRecord): boolean {
    const stop = this.#fleet.disturbances.find(
      ({ kind, process }) => kind === DISTURBANCE.term && process === router,
    );
    return stop !== undefined && (answer?.at ?? endedAt ?? 0) > stop.from;
  }
}

async function untilReady({ host, name }: Machine): Promise<void> {
  const until = performance.now() + READY_MILLIS;
  const ask = { method: 'GET', path: '/healthz' };
  while ((await callControl(`${host}:${READINESS_PORT}`, ask)).status !== 200) {
    if (performance.now() > until) {
      throw new Error(`${name} isn't ready`);
    }
    await sleep(POLL_MILLIS);
  }
}
