/**
 * A soak of control members alone, as real processes: an operator changes a large document all the time, while members are disturbed. After
 * each round all is calm; then a change must be accepted and a reading must succeed within a bound.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/dev/sim/random.js';
import { ControlMembers, MEMBERS, nameOf } from './control-members.js';
import { DISK_FAULT } from './disk-fault.js';
import { DocumentOperator } from './document-operator.js';
import { CATCH_UP_MILLIS, MEMBER_GROUP, MemberDisturber } from './member-disturber.js';

const START_MILLIS = 20_000;
/** Time for which all is calm before a change and a reading are expected, and time for these. */
const CALM_MILLIS = 3000;
const ANSWER_MILLIS = 4000;
const LEADER_DISK_MILLIS = 12_000;
const DISTURBANCES_PER_ROUND = 5;
const MAX_DOWN_MILLIS = 800;
const POLL_MILLIS = 20;
/** What tells why no member leads. */
const EXPLAINING_EVENTS = ['no-leader', 'membership-changed', 'write-outstanding'] as const;

export interface MemberSoakPlan {
  readonly seed: number;
  readonly network: number;
  /** Size of the document. */
  readonly routes: number;
  /** Maximum time between two changes of the operator. */
  readonly maxPauseMillis: number;
  /** Whether new replicas get no vote, which the soak has to notice. */
  readonly isSabotaged?: boolean;
}

export class MemberSoak {
  readonly violations: string[] = [];
  readonly #plan: MemberSoakPlan;
  readonly #random: Random;
  readonly #members: ControlMembers;
  readonly #operator: DocumentOperator;

  constructor(plan: MemberSoakPlan) {
    this.#plan = plan;
    this.#random = new Random(plan.seed);
    this.#members = new ControlMembers(plan.network, plan.isSabotaged !== true);
    this.#operator = new DocumentOperator(
      { members: this.#members.addresses, routes: plan.routes, maxPauseMillis: plan.maxPauseMillis },
      this.#random.fork(),
    );
  }

  /** Number of changes that were acknowledged, and of readings that succeeded. */
  get served(): { readonly changes: number; readonly readings: number } {
    const { acknowledgements: changes, readings } = this.#operator;
    return { changes, readings };
  }

  /** Starts the members; ends once all have joined: one that has no disk yet is like one whose disk is lost. */
  async start(): Promise<void> {
    const until = performance.now() + START_MILLIS;
    this.#members.start();
    this.#operator.start();
    await this.#expectService('after the start', START_MILLIS);
    while (!(await this.#members.haveAllJoined())) {
      if (performance.now() > until) {
        this.violations.push('not all members joined');
        return;
      }
      await sleep(POLL_MILLIS);
    }
    this.#members.endBootstrap();
  }

  /** Disturbs the members in rounds, each followed by calm, until the time is over or something is violated. */
  async disturb(seconds: number, without: ReadonlySet<string>): Promise<ReadonlyMap<string, number>> {
    const disturber = new MemberDisturber(this.#members, this.#random.fork(), without);
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until && this.violations.length === 0) {
      await disturber.play(DISTURBANCES_PER_ROUND);
      await this.#calm();
      if (!without.has(MEMBER_GROUP.leaderDisk) && this.violations.length === 0) {
        await this.#hangLeaderDisk();
      }
    }
    return disturber.counts;
  }

  /** Waits until the operator has had this many changes accepted. */
  async grow(versions: number): Promise<void> {
    while (this.#operator.acknowledged < versions) {
      await sleep(POLL_MILLIS);
    }
  }

  /**
   * Loses disks one after the other, by default as soon as the platform may after the last member runs again; gives how long each new replica
   * took to get its vote.
   */
  async loseDisks(count: number, nextLossMillis = CATCH_UP_MILLIS): Promise<(number | null)[]> {
    const votes: (number | null)[] = [];
    let last = 0;
    for (let number = 0; number < count; number += 1) {
      last = await this.#nextVictim(last);
      await this.#members.loseDisk(last);
      await sleep(this.#random.integer(0, MAX_DOWN_MILLIS));
      this.#members.run(last);
      const vote = await this.#followVote(last, nextLossMillis);
      const after = vote === null ? `no vote after ${nextLossMillis}` : `vote after ${vote}`;
      this.#members.note(`disk of ${nameOf(last)} lost, ${after} ms, version ${this.#operator.acknowledged}`);
      votes.push(vote);
    }
    await this.#calm();
    const voters = await this.#members.runningVoters();
    if (voters <= MEMBERS.length / 2) {
      this.violations.push(`only ${voters} voters are left`);
    }
    return votes;
  }

  /** Ends the operator, and reads back what was acknowledged. */
  async finish(): Promise<void> {
    await this.#operator.stop();
    const version = await this.#operator.readBefore(performance.now() + ANSWER_MILLIS);
    if (version === null) {
      this.violations.push('no reading at the end');
    }
    this.violations.push(...this.#operator.violations);
    this.violations.push(...this.#members.endedByThemselves.map((name) => `${name} ended by itself`));
  }

  close(): void {
    this.#operator.close();
    this.#members.close();
  }

  /** Seed, events and last log lines; also keeps the logs. */
  explain(): string {
    const folder = mkdtempSync(join(tmpdir(), 'ternmount-members-'));
    this.#members.keepLogs(folder);
    const lines = MEMBERS.flatMap((number) => this.#members.lastLines(number, EXPLAINING_EVENTS));
    return [`seed ${this.#plan.seed}`, ...this.#members.events, ...lines, `logs: ${folder}`].join('\n');
  }

  async #calm(): Promise<void> {
    this.#members.note('calm');
    await sleep(CALM_MILLIS);
    await this.#expectService(`after ${CALM_MILLIS} ms of calm`, ANSWER_MILLIS);
  }

  /** A change that is sent from now on must be accepted, and a reading must succeed. */
  async #expectService(when: string, millis: number): Promise<void> {
    const before = this.served.changes;
    const until = performance.now() + millis;
    while (this.served.changes === before && performance.now() < until) {
      await sleep(POLL_MILLIS);
    }
    if (this.served.changes === before) {
      this.violations.push(`${when} no change was accepted within ${millis} ms`);
    }
    if ((await this.#operator.readBefore(until)) === null) {
      this.violations.push(`${when} no reading succeeded within ${millis} ms`);
    }
  }

  /** The leader's disk hangs while all else is calm: two others can go on. */
  async #hangLeaderDisk(): Promise<void> {
    const leader = await this.#members.leader();
    if (leader === undefined) {
      return;
    }
    this.#members.note(`hanging disk of the leader: ${nameOf(leader)}`);
    this.#members.breakDisk(leader, DISK_FAULT.hangs);
    const ended = this.#members
      .disturb(() => sleep(LEADER_DISK_MILLIS))
      .then(() => this.#members.mendDisk(leader));
    await sleep(CALM_MILLIS);
    await this.#expectService('beside a hanging disk of the leader', ANSWER_MILLIS);
    await ended;
    await this.#calm();
  }

  /** The leader, unless its disk was the last one that was lost. */
  async #nextVictim(last: number): Promise<number> {
    const leader = await this.#members.leader();
    const others = MEMBERS.filter((member) => member !== last);
    return leader !== undefined && leader !== last ? leader : this.#random.pick(others);
  }

  /** Waits until the next disk is lost; gives the time to the vote, or `null`. */
  async #followVote(number: number, nextLossMillis: number): Promise<number | null> {
    const spawnedAt = performance.now();
    const nextLossAt = (await this.#members.started(number)) + nextLossMillis;
    this.#members.note(`${nameOf(number)} answers after ${Math.round(performance.now() - spawnedAt)} ms`);
    let voteMillis: number | null = null;
    while (performance.now() < nextLossAt) {
      if (voteMillis === null && (await this.#members.hasVote(number))) {
        voteMillis = Math.round(performance.now() - spawnedAt);
      }
      await sleep(POLL_MILLIS);
    }
    return voteMillis;
  }
}
