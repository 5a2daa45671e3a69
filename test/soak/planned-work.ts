/** Draws planned work from the seed, in series and overlapping: stops of one router, of two of a zone, of members; reloads; and a kill now and then. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import { type DisturbanceCounts, drawChoice, GROUP, type Group } from './disturber.js';
import type { Machine, MachineFleet } from './machine-fleet.js';

/** A process is left alone for so long after its start. */
const SETTLED_MILLIS = 2000;
const PAUSE_MILLIS = [300, 2500] as const;
const POLL_MILLIS = 100;
/** Share of the rounds that the next one doesn't wait for. */
const OVERLAPPING_SHARE = 0.4;
/** Share of the stops with another signal to the same process, and by when it comes. */
const SIGNALLED_SHARE = 0.3;
const SIGNALLED_MILLIS = 5500;

interface Round {
  readonly group: Group;
  readonly weight: number;
  readonly play: () => Promise<void>;
}

export class PlannedWork {
  readonly counts: DisturbanceCounts = {
    stops: 0,
    reloads: 0,
    kills: 0,
    freezes: 0,
    wipes: 0,
    upstreamFaults: 0,
  };
  readonly #fleet: MachineFleet;
  readonly #random: Random;
  /** Time for which a process gets no processor when its stop begins. */
  readonly #heldUpMillis: number;
  readonly #rounds: readonly Round[];
  #isOver = false;

  constructor(fleet: MachineFleet, random: Random, without: ReadonlySet<Group>, heldUpMillis: number) {
    this.#fleet = fleet;
    this.#heldUpMillis = heldUpMillis;
    this.#random = random;
    const rounds: readonly Round[] = [
      { group: GROUP.stops, weight: 35, play: () => this.#stopSome(this.#drawRouters(1)) },
      { group: GROUP.stops, weight: 30, play: () => this.#stopSome(this.#drawPair()) },
      { group: GROUP.stops, weight: 8, play: () => this.#stopSome(this.#drawMembers()) },
      {
        group: GROUP.stops,
        weight: 7,
        play: () => this.#stopSome([...this.#drawMembers(), ...this.#drawRouters(1)]),
      },
      { group: GROUP.reloads, weight: 12, play: () => this.#reload() },
      { group: GROUP.kills, weight: 8, play: () => this.#kill() },
    ];
    this.#rounds = rounds.filter(({ group }) => !without.has(group));
  }

  /** Plays rounds until `stop` is called, and the last one to its end. */
  async run(): Promise<void> {
    const open: Promise<void>[] = [];
    while (!this.#isOver) {
      await this.#pause(this.#random.integer(...PAUSE_MILLIS));
      const round = this.#isOver ? undefined : drawChoice(this.#rounds, this.#random);
      const played = round?.play() ?? Promise.resolve();
      open.push(played);
      if (!this.#random.chance(OVERLAPPING_SHARE)) {
        await played;
      }
    }
    await Promise.all(open);
  }

  stop(): void {
    this.#isOver = true;
  }

  afterAcknowledgement(): void {}

  async #stopSome(machines: readonly Machine[]): Promise<void> {
    await Promise.all(machines.map((machine) => this.#term(machine)));
  }

  /** A planned stop, at times asked for twice or beside a reload, and by force after the grace time. */
  async #term(machine: Machine): Promise<void> {
    const stopped = this.#fleet.stopInTime(machine, this.#heldUpMillis);
    this.counts.stops += 1;
    if (this.#random.chance(SIGNALLED_SHARE)) {
      const signal = this.#random.pick(['SIGHUP', 'SIGTERM'] as const);
      await Promise.race([stopped, sleep(this.#random.integer(1, SIGNALLED_MILLIS))]);
      if (this.#fleet.isStopping(machine)) {
        this.#fleet.signal(machine, signal);
      }
    }
    await stopped;
  }

  async #reload(): Promise<void> {
    const [machine] = this.#random.shuffle(this.#settled(this.#fleet.machines));
    if (machine !== undefined) {
      this.counts.reloads += this.#fleet.signal(machine, 'SIGHUP') ? 1 : 0;
    }
  }

  async #kill(): Promise<void> {
    const machine = this.#random.pick(this.#fleet.machines);
    this.counts.kills += this.#fleet.signal(machine, 'SIGKILL') ? 1 : 0;
  }

  #drawRouters(count: number): Machine[] {
    return this.#random.shuffle(this.#free(this.#fleet.routers)).slice(0, count);
  }

  /** Two routers of one zone, or as many as are free there. */
  #drawPair(): Machine[] {
    const [first] = this.#drawRouters(1);
    return this.#random
      .shuffle(this.#free(this.#fleet.routers).filter(({ zone }) => zone === first?.zone))
      .slice(0, 2);
  }

  #drawMembers(): Machine[] {
    return this.#random.shuffle(this.#free(this.#fleet.members)).slice(0, 1);
  }

  #free(machines: readonly Machine[]): Machine[] {
    return this.#settled(machines).filter((machine) => !this.#fleet.isStopping(machine));
  }

  #settled(machines: readonly Machine[]): Machine[] {
    return machines.filter((machine) => this.#fleet.ageMillis(machine) > SETTLED_MILLIS);
  }

  async #pause(millis: number): Promise<void> {
    const until = performance.now() + millis;
    while (!this.#isOver && performance.now() < until) {
      await sleep(Math.min(POLL_MILLIS, until - performance.now()));
    }
  }
}
