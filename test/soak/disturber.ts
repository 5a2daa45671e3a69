/** Draws disturbances from the seed, planned and unplanned, in series and overlapping, and carries them out. */
import { type ChildProcess, spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import type { Machine, MachineFleet } from './machine-fleet.js';
import { BREAKAGE, type Breakage, type SoakUpstream } from './soak-upstream.js';

/** Groups of disturbances that a run may go without. */
export const GROUP = {
  /** Signals within the first moments of a process. */
  early: 'early',
  /** Settings files that are cut short for a moment. */
  cutSettings: 'cut-settings',
  kills: 'kills',
  freezes: 'freezes',
  wipes: 'wipes',
  broken: 'broken',
  busy: 'busy',
  stops: 'stops',
  reloads: 'reloads',
  /** Callers that send several orders at once. */
  pipedOrders: 'piped-orders',
} as const;
export type Group = (typeof GROUP)[keyof typeof GROUP];

/** After the loss of a disk the next is lost only once every member has run undisturbed for so long. */
const CATCH_UP_MILLIS = 8000;
const WATCH_MILLIS = 200;
const EARLY_MILLIS = 400;
/** Without early signals a process is left alone for so long after its start. */
const SETTLED_MILLIS = 4000;
const BREAK_MILLIS = 1200;
const MAX_FREEZE_MILLIS = 4000;
const BUSY_PROCESSES = 2;
/** Shares of the acknowledgements after which a disk is lost, a member is killed, and all are. */
const WIPED_SHARE = 0.1;
const KILLED_SHARE = 0.03;
const ALL_KILLED_SHARE = 0.03;
const ROUTER_PAUSE_MILLIS = [200, 3500] as const;
const MEMBER_PAUSE_MILLIS = [1000, 9000] as const;

export interface DisturbanceCounts {
  stops: number;
  reloads: number;
  kills: number;
  freezes: number;
  wipes: number;
  upstreamFaults: number;
}

type Deed = (machine: Machine) => Promise<void> | void;

interface Choice {
  readonly group: Group;
  readonly weight: number;
  readonly deed: Deed;
}

export class Disturber {
  readonly counts: DisturbanceCounts = {
    stops: 0,
    reloads: 0,
    kills: 0,
    freezes: 0,
    wipes: 0,
    upstreamFaults: 0,
  };
  readonly #fleet: MachineFleet;
  readonly #upstreams: readonly SoakUpstream[];
  readonly #random: Random;
  readonly #without: ReadonlySet<Group>;
  readonly #busy: ChildProcess[] = [];
  #isOver = false;
  #coreDisturbedAt = 0;
  #breakUntil = 0;
  /** Whether the members have caught up since the last loss of a disk. */
  #hasCaughtUp = true;

  constructor(
    fleet: MachineFleet,
    upstreams: readonly SoakUpstream[],
    random: Random,
    without: ReadonlySet<Group>,
  ) {
    this.#fleet = fleet;
    this.#upstreams = upstreams;
    this.#random = random;
    this.#without = without;
  }

  /** Disturbs until `stop` is called. */
  async run(): Promise<void> {
    const { routers, members } = this.#fleet;
    const all = this.#random.fork();
    await Promise.all([
      ...routers.map((router) => this.#disturb(router, this.#random.fork(), ROUTER_PAUSE_MILLIS)),
      ...members.map((member) => this.#disturb(member, this.#random.fork(), MEMBER_PAUSE_MILLIS)),
      ...routers.map((router) => this.#disturbEarly(router, this.#random.fork())),
      ...members.map((member) => this.#disturbEarly(member, this.#random.fork())),
      this.#disturbMany(all),
      this.#watchMembers(),
      this.#disturbUpstreams(this.#random.fork()),
      this.#shortenProcessor(this.#random.fork()),
    ]);
  }

  stop(): void {
    this.#isOver = true;
    for (const child of this.#busy) {
      child.kill('SIGKILL');
    }
    for (const upstream of this.#upstreams) {
      upstream.drawBreakage = () => null;
    }
  }

  /** At times a member that has just acknowledged something loses its disk, or is killed, alone or with all others. */
  afterAcknowledgement(member: Machine): void {
    const drawn = this.#random.fraction();
    if (drawn < WIPED_SHARE) {
      this.#wipe(member);
    } else if (drawn < WIPED_SHARE + KILLED_SHARE) {
      this.#kill(member);
    } else if (drawn < WIPED_SHARE + KILLED_SHARE + ALL_KILLED_SHARE) {
      for (const each of this.#fleet.members) {
        this.#kill(each);
      }
    }
  }

  async #disturb(machine: Machine, random: Random, pause: readonly [number, number]): Promise<void> {
    const choices = this.#choices(machine, random);
    while (!this.#isOver) {
      await this.#pause(random.integer(...pause));
      const isSettled = this.#fleet.ageMillis(machine) > SETTLED_MILLIS;
      if (this.#isOver || (this.#without.has(GROUP.early) && !isSettled)) {
        continue;
      }
      await drawChoice(choices, random)?.deed(machine);
    }
  }

  #choices(machine: Machine, random: Random): Choice[] {
    const isMember = machine.role === 'control';
    const choices: Choice[] = [
      { group: GROUP.reloads, weight: 30, deed: (each) => this.#reload(each) },
      { group: GROUP.reloads, weight: 10, deed: (each) => this.#rewrite(each, 0) },
      { group: GROUP.cutSettings, weight: 5, deed: (each) => this.#rewrite(each, random.integer(1, 60)) },
      { group: GROUP.stops, weight: 25, deed: (each) => this.#term(each, random) },
      { group: GROUP.kills, weight: 6, deed: (each) => this.#kill(each) },
      {
        group: GROUP.freezes,
        weight: 6,
        deed: (each) => this.#freeze(each, random.integer(200, MAX_FREEZE_MILLIS)),
      },
      { group: GROUP.wipes, weight: isMember ? 20 : 0, deed: (each) => this.#wipe(each) },
    ];
    return choices.filter(({ group, weight }) => weight > 0 && !this.#without.has(group));
  }

  #earlyChoices(random: Random): Choice[] {
    const choices: Choice[] = [
      { group: GROUP.reloads, weight: 50, deed: (each) => this.#reload(each) },
      { group: GROUP.cutSettings, weight: 20, deed: (each) => this.#rewrite(each, random.integer(1, 60)) },
      { group: GROUP.stops, weight: 30, deed: (each) => this.#term(each, random) },
    ];
    return choices.filter(({ group }) => !this.#without.has(group));
  }

  /** Signals soon after each start. */
  async #disturbEarly(machine: Machine, random: Random): Promise<void> {
    const choices = this.#earlyChoices(random);
    while (!this.#isOver && !this.#without.has(GROUP.early)) {
      await this.#until(() => !this.#fleet.isRunning(machine));
      await this.#until(() => this.#fleet.isRunning(machine));
      if (random.chance(0.4)) {
        await this.#pause(random.integer(0, EARLY_MILLIS));
        await drawChoice(choices, random)?.deed(machine);
      }
    }
  }

  async #disturbMany(random: Random): Promise<void> {
    while (!this.#isOver) {
      await this.#pause(random.integer(8000, 20_000));
      if (this.#isOver || this.#without.has(GROUP.kills)) {
        continue;
      }
      const machines = random.chance(0.5) ? this.#fleet.members : this.#fleet.machines;
      for (const machine of machines) {
        this.#kill(machine);
      }
    }
  }

  async #disturbUpstreams(random: Random): Promise<void> {
    const breakages = Object.values(BREAKAGE);
    for (const upstream of this.#upstreams) {
      upstream.drawBreakage = () => this.#drawBreakage(random, breakages);
    }
    while (!this.#isOver && !this.#without.has(GROUP.broken)) {
      await this.#pause(random.integer(500, 4000));
      if (this.#isOver) {
        return;
      }
      const upstream = random.pick(this.#upstreams);
      const deeds = [
        () => upstream.crash(),
        () => upstream.resetConnections(),
        () => {
          this.#breakUntil = performance.now() + BREAK_MILLIS;
        },
      ];
      this.counts.upstreamFaults += 1;
      random.pick(deeds)();
    }
  }

  #drawBreakage(random: Random, breakages: readonly Breakage[]): Breakage | null {
    const isBreaking = performance.now() < this.#breakUntil;
    return isBreaking && random.chance(0.3) ? random.pick(breakages) : null;
  }

  async #shortenProcessor(random: Random): Promise<void> {
    while (!this.#isOver && !this.#without.has(GROUP.busy)) {
      await this.#pause(random.integer(3000, 12_000));
      if (this.#isOver) {
        return;
      }
      for (let count = 0; count < BUSY_PROCESSES; count += 1) {
        this.#busy.push(spawn(process.execPath, ['-e', 'for (;;);'], { stdio: 'ignore' }));
      }
      await this.#pause(random.integer(1000, 5000));
      for (const child of this.#busy.splice(0)) {
        child.kill('SIGKILL');
      }
    }
  }

  #reload(machine: Machine): void {
    if (this.#without.has(GROUP.reloads)) {
      return;
    }
    this.counts.reloads += this.#fleet.signal(machine, 'SIGHUP') ? 1 : 0;
  }

  async #rewrite(machine: Machine, pauseMillis: number): Promise<void> {
    const written = this.#fleet.rewrite(machine, pauseMillis);
    this.#reload(machine);
    await written;
    this.#reload(machine);
  }

  /** A planned stop, at times asked for twice or beside a reload, and by force after the grace time. */
  async #term(machine: Machine, random: Random): Promise<void> {
    if (this.#without.has(GROUP.stops) || this.#fleet.isStopping(machine)) {
      return;
    }
    const stopped = this.#fleet.stopInTime(machine);
    this.counts.stops += 1;
    this.#noteCore(machine);
    if (random.chance(0.3)) {
      await this.#pause(random.integer(1, 1500));
      if (this.#fleet.isStopping(machine)) {
        random.chance(0.7) ? this.#reload(machine) : this.#fleet.signal(machine, 'SIGTERM');
      }
    }
    await stopped;
    this.#noteCore(machine);
  }

  #kill(machine: Machine): void {
    if (this.#without.has(GROUP.kills)) {
      return;
    }
    this.#noteCore(machine);
    this.counts.kills += this.#fleet.signal(machine, 'SIGKILL') ? 1 : 0;
  }

  async #freeze(machine: Machine, millis: number): Promise<void> {
    this.counts.freezes += 1;
    await this.#fleet.freeze(machine, millis);
    this.#noteCore(machine);
  }

  /** Others may be down meanwhile: only a second disk must not be lost before the members have caught up. */
  #wipe(machine: Machine): void {
    if (!this.#hasCaughtUp || this.#without.has(GROUP.wipes)) {
      return;
    }
    this.#hasCaughtUp = false;
    this.#noteCore(machine);
    this.counts.wipes += 1;
    this.#fleet.wipe(machine);
  }

  async #watchMembers(): Promise<void> {
    while (!this.#isOver) {
      await this.#pause(WATCH_MILLIS);
      const isCalm = performance.now() - this.#coreDisturbedAt > CATCH_UP_MILLIS;
      const areUp = this.#fleet.members.every((member) => this.#fleet.ageMillis(member) > CATCH_UP_MILLIS);
      this.#hasCaughtUp = this.#hasCaughtUp || (isCalm && areUp);
    }
  }

  #noteCore(machine: Machine): void {
    if (machine.role === 'control') {
      this.#coreDisturbedAt = performance.now();
    }
  }

  async #until(look: () => boolean): Promise<void> {
    while (!this.#isOver && !look()) {
      await sleep(5);
    }
  }

  async #pause(millis: number): Promise<void> {
    const until = performance.now() + millis;
    while (!this.#isOver && performance.now() < until) {
      await sleep(Math.min(200, until - performance.now()));
    }
  }
}

/** Draws one by weight. */
export function drawChoice<Item extends { readonly weight: number }>(
  choices: readonly Item[],
  random: Random,
): Item | undefined {
  const total = choices.reduce((sum, { weight }) => sum + weight, 0);
  let wanted = random.between(0, total);
  return choices.find(({ weight }) => {
    wanted -= weight;
    return wanted < 0;
  });
}
