/**
 * Loses servers that hold ranges for good, and checks how long keys have no holder: none for longer than a grant may be held that the
 * lost server had left unanswered, and most for one hold only.
 */
import {
  DEPOSED_GRANTER_MILLIS,
  longestGrantMillis,
  longestHoldMillis,
} from '../../../lease/timed-grants.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import { SAMPLED_KEYS, SIM_RANGE_TIMINGS } from './sim-range-server.js';

/** How a server is lost. */
export const RANGE_LOSSES = {
  /** Its machine refuses connections. */
  refused: 'refused',
  /** No connection to it is established any more. */
  dark: 'dark',
  /** Connections to it stay open and nothing is answered. */
  mute: 'mute',
} as const;
export type RangeLoss = (typeof RANGE_LOSSES)[keyof typeof RANGE_LOSSES];

/** A new owner is decided, committed and granted within this time. */
const DECIDED_MILLIS = 1000;
/** Longest time for which a key has no holder, from the last disturbance of control on. */
const LONGEST_UNHELD_MILLIS = longestGrantMillis(SIM_RANGE_TIMINGS) + DECIDED_MILLIS;
/** Time after which the keys of most lost servers have holders again if control is calm. */
const USUAL_UNHELD_MILLIS = longestHoldMillis(SIM_RANGE_TIMINGS) + DEPOSED_GRANTER_MILLIS + DECIDED_MILLIS;
const LOOK_MILLIS = 50;
/** Time for which a leader that is lost together with a server stays away. */
const LEADER_AWAY_MILLIS = 600;
const LEADER_LOST_SHARE = 0.25;

/** Names under which a run counts losses. */
export const LOSS_COUNTS = {
  all: 'loss of a range server made good',
  /** No leader was elected and no fault was active for a longest grant before, nor afterwards. */
  calm: 'loss of a range server in calm made good',
  calmUsual: 'loss of a range server in calm made good after one hold',
} as const;

export class RangeLosses {
  readonly #simulation: Simulation;
  readonly #random: Random;
  /** Run and term of the leader; `null` if there is none. */
  #leader: string | null = null;
  /** Since when control has had one leader, one declaration of the service and no fault. */
  #calmSince = 0;

  constructor(simulation: Simulation, random: Random) {
    this.#simulation = simulation;
    this.#random = random;
  }

  /** Follows control from the start of a run on. */
  start(): void {
    this.#updateCalm();
    this.#simulation.time.after(LOOK_MILLIS, () => this.start());
  }

  /** Loses one of several running servers for good, at times the leader in the same moment. */
  loseServer(): void {
    const simulation = this.#simulation;
    const running = simulation.rangeServers.filter(({ state }) => state === 'running');
    const loss = this.#random.pick(Object.values(RANGE_LOSSES));
    const losesLeader = this.#random.chance(LEADER_LOST_SHARE);
    if (running.length < 2) {
      return;
    }
    const lost = this.#random.pick(running);
    const keys = SAMPLED_KEYS.filter((key) => lost.holdingOf(key) !== null);
    const at = simulation.time.now;
    simulation.recorder.note({ lost: lost.name, loss, losesLeader, keys: keys.length, at });
    const wasCalm = !losesLeader && at - this.#calmSince >= longestGrantMillis(SIM_RANGE_TIMINGS);
    lost.lose(loss);
    if (losesLeader) {
      this.#loseLeader();
    }
    if (keys.length > 0) {
      this.#follow({ name: `${lost.name} (${loss})`, keys, lostAt: at, wasCalm });
    }
  }

  /** Draws when a loss happens within a window. */
  drawLossMillis(windowMillis: number): number {
    return this.#random.between(0, windowMillis);
  }

  #loseLeader(): void {
    const leader = this.#simulation.leader();
    leader?.crash();
    this.#simulation.time.after(LEADER_AWAY_MILLIS, () => leader?.start());
  }

  /** Looks until all keys have holders, or one has had none for too long. */
  #follow(lost: LostServer): void {
    const { time, recorder } = this.#simulation;
    const unheld = lost.keys.find((key) => !this.#isHeld(key));
    const disturbedAt = Math.max(lost.lostAt, this.#calmSince);
    if (unheld === undefined) {
      this.#count(lost);
    } else if (time.now - disturbedAt > LONGEST_UNHELD_MILLIS) {
      const subject = `key ${unheld} of ${lost.name} within ${LONGEST_UNHELD_MILLIS} ms after its loss`;
      recorder.record({ type: 'recovery-observed', at: time.now, subject, recovered: false });
    } else {
      time.after(LOOK_MILLIS, () => this.#follow(lost));
    }
  }

  #count({ lostAt, wasCalm }: LostServer): void {
    const { time, recorder } = this.#simulation;
    recorder.count(LOSS_COUNTS.all);
    if (wasCalm && this.#calmSince < lostAt) {
      recorder.count(LOSS_COUNTS.calm);
      if (time.now - lostAt <= USUAL_UNHELD_MILLIS) {
        recorder.count(LOSS_COUNTS.calmUsual);
      }
    }
  }

  #updateCalm(): void {
    const { time, activeFaults, declaredAt } = this.#simulation;
    const leader = this.#leaderRun();
    if (leader === null || leader !== this.#leader || activeFaults > 0) {
      this.#calmSince = time.now;
      this.#leader = leader;
    }
    this.#calmSince = Math.max(this.#calmSince, declaredAt);
  }

  #leaderRun(): string | null {
    const leader = this.#simulation.leader();
    return leader === undefined ? null : `${leader.name}/${leader.run}/${leader.status()?.term ?? 0}`;
  }

  #isHeld(key: number): boolean {
    return this.#simulation.rangeServers.some((server) => server.holdingOf(key) !== null);
  }
}

/** A lost server whose keys are followed. */
interface LostServer {
  readonly name: string;
  readonly keys: readonly number[];
  readonly lostAt: number;
  readonly wasCalm: boolean;
}
