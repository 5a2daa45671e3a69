/**
 * Seeded disturbances of control members, in series and overlapping, within what the platform does: a disk is lost only after all members
 * have run undisturbed for as long as a member that was empty has to catch up.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import { type ControlMembers, MEMBERS, nameOf } from './control-members.js';
import { DISK_FAULT, type DiskFault } from './disk-fault.js';
import { drawChoice } from './disturber.js';

/** Kinds of disturbances that can be left out. */
export const MEMBER_GROUP = {
  kills: 'kills',
  stops: 'stops',
  freezes: 'freezes',
  reloads: 'reloads',
  lostDisks: 'lost-disks',
  brokenDisks: 'broken-disks',
  /** A disk of the leader that hangs for so long that another member has to lead. */
  leaderDisk: 'leader-disk',
} as const;
export type MemberGroup = (typeof MEMBER_GROUP)[keyof typeof MEMBER_GROUP];

const KIND = {
  kill: 'kill',
  killPair: 'kill of two',
  killAll: 'kill of all',
  stop: 'SIGTERM',
  freeze: 'SIGSTOP',
  reload: 'SIGHUP',
  loseDisk: 'lost disk',
  hangingDisk: 'hanging disk',
  fullDisk: 'full disk',
} as const;
type Kind = (typeof KIND)[keyof typeof KIND];

interface Weighed {
  readonly kind: Kind;
  readonly group: MemberGroup;
  readonly weight: number;
}

const WEIGHED: readonly Weighed[] = [
  { kind: KIND.kill, group: MEMBER_GROUP.kills, weight: 12 },
  { kind: KIND.killPair, group: MEMBER_GROUP.kills, weight: 8 },
  { kind: KIND.killAll, group: MEMBER_GROUP.kills, weight: 8 },
  { kind: KIND.stop, group: MEMBER_GROUP.stops, weight: 14 },
  { kind: KIND.freeze, group: MEMBER_GROUP.freezes, weight: 14 },
  { kind: KIND.reload, group: MEMBER_GROUP.reloads, weight: 6 },
  { kind: KIND.loseDisk, group: MEMBER_GROUP.lostDisks, weight: 24 },
  { kind: KIND.hangingDisk, group: MEMBER_GROUP.brokenDisks, weight: 8 },
  { kind: KIND.fullDisk, group: MEMBER_GROUP.brokenDisks, weight: 8 },
];

/** The platform loses the next disk no sooner after a member with an empty one runs again. */
export const CATCH_UP_MILLIS = 4000;
const MAX_DOWN_MILLIS = 1500;
const MAX_FREEZE_MILLIS = 4000;
const MAX_BROKEN_MILLIS = 5000;
/** Longest time between two disturbances of a series. */
const MAX_PAUSE_MILLIS = 1200;
/** Longest time between two that overlap. */
const MAX_OVERLAP_MILLIS = 400;
const OVERLAP_SHARE = 0.4;
const ANOTHER_KILLED_SHARE = 0.4;
const ALL_BROKEN_SHARE = 0.25;
const KILLED_WHILE_BROKEN_SHARE = 0.3;
/** Before that, SIGHUP may find a process that doesn't handle it yet, which it ends. */
const STARTED_MILLIS = 2000;
const POLL_MILLIS = 20;

export class MemberDisturber {
  /** Number of disturbances of each kind. */
  readonly counts = new Map<string, number>();
  readonly #members: ControlMembers;
  readonly #random: Random;
  readonly #choices: readonly Weighed[];
  #hasLostDisk = false;

  readonly #handlers: Readonly<Record<Kind, (number: number) => Promise<void>>> = {
    [KIND.kill]: (number) => this.#killFor([number]),
    [KIND.killPair]: (number) => this.#killFor(othersOf(number)),
    [KIND.killAll]: () => this.#killFor(MEMBERS),
    [KIND.stop]: (number) => this.#stop(number),
    [KIND.freeze]: (number) => this.#freeze(number),
    [KIND.reload]: (number) => this.#reload(number),
    [KIND.loseDisk]: (number) => this.#loseDisk(number),
    [KIND.hangingDisk]: (number) => this.#breakDisks(number, DISK_FAULT.hangs),
    [KIND.fullDisk]: (number) => this.#breakDisks(number, DISK_FAULT.full),
  };

  constructor(members: ControlMembers, random: Random, without: ReadonlySet<string>) {
    this.#members = members;
    this.#random = random;
    this.#choices = WEIGHED.filter(({ group }) => !without.has(group));
  }

  /** Plays `count` disturbances in series, some of them overlapping; ends when all have ended. */
  async play(count: number): Promise<void> {
    const running = new Set<Promise<void>>();
    for (let number = 0; number < count; number += 1) {
      const kind = this.#drawKind(this.#choices);
      if (kind === KIND.loseDisk) {
        await this.#catchUp(running);
        await this.#beginAnother(running);
      }
      this.#begin(kind, running);
      await this.#untilNext(running);
    }
    await Promise.all(running);
  }

  #drawKind(choices: readonly Weighed[]): Kind {
    return drawChoice(choices, this.#random)?.kind ?? KIND.kill;
  }

  /** At times something else has begun when a disk is lost. */
  async #beginAnother(running: Set<Promise<void>>): Promise<void> {
    if (this.#random.chance(OVERLAP_SHARE)) {
      this.#begin(this.#drawKind(this.#choices.filter(({ kind }) => kind !== KIND.loseDisk)), running);
      await this.#pause(MAX_OVERLAP_MILLIS);
    }
  }

  #begin(kind: Kind, running: Set<Promise<void>>): void {
    const disturbance: Promise<void> = this.#disturb(kind).finally(() => running.delete(disturbance));
    running.add(disturbance);
  }

  async #untilNext(running: ReadonlySet<Promise<void>>): Promise<void> {
    if (this.#random.chance(OVERLAP_SHARE)) {
      await this.#pause(MAX_OVERLAP_MILLIS);
      return;
    }
    await Promise.all(running);
    await this.#pause(MAX_PAUSE_MILLIS);
  }

  async #disturb(kind: Kind): Promise<void> {
    const number = this.#random.pick(MEMBERS);
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.#members.note(`${kind}: ${nameOf(number)}`);
    await this.#members.disturb(() => this.#handlers[kind](number));
    this.#members.note(`end of ${kind}: ${nameOf(number)}`);
  }

  /** Waits until the next disk may be lost. */
  async #catchUp(running: ReadonlySet<Promise<void>>): Promise<void> {
    if (this.#hasLostDisk) {
      await Promise.all(running);
      while (this.#members.calmMillis < CATCH_UP_MILLIS) {
        await sleep(POLL_MILLIS);
      }
    }
    this.#hasLostDisk = true;
  }

  async #killFor(numbers: readonly number[]): Promise<void> {
    this.#members.note(`  killed: ${numbers.map(nameOf).join(', ')}`);
    await Promise.all(numbers.map((number) => this.#members.kill(number)));
    await this.#pause(MAX_DOWN_MILLIS);
    this.#runAll(numbers);
  }

  async #stop(number: number): Promise<void> {
    await this.#members.stop(number);
    await this.#pause(MAX_DOWN_MILLIS);
    this.#members.run(number);
  }

  async #freeze(number: number): Promise<void> {
    this.#members.signal(number, 'SIGSTOP');
    await this.#pause(MAX_FREEZE_MILLIS);
    this.#members.signal(number, 'SIGCONT');
  }

  async #reload(number: number): Promise<void> {
    if (this.#members.ageMillis(number) > STARTED_MILLIS) {
      this.#members.signal(number, 'SIGHUP');
    }
  }

  async #loseDisk(number: number): Promise<void> {
    const killed = this.#random.chance(ANOTHER_KILLED_SHARE) ? this.#drawOthers(number) : [];
    this.#members.note(`  killed with ${nameOf(number)}: ${killed.map(nameOf).join(', ') || 'none'}`);
    await Promise.all([this.#members.loseDisk(number), ...killed.map((other) => this.#members.kill(other))]);
    await this.#pause(MAX_DOWN_MILLIS);
    this.#members.run(number);
    if (killed.length > 0) {
      await this.#pause(MAX_DOWN_MILLIS);
      this.#runAll(killed);
    }
  }

  /** One or both of the other members. */
  #drawOthers(number: number): number[] {
    const others = othersOf(number);
    return this.#random.chance(0.5) ? others : [this.#random.pick(others)];
  }

  async #breakDisks(number: number, fault: DiskFault): Promise<void> {
    const broken = this.#random.chance(ALL_BROKEN_SHARE) ? [...MEMBERS] : [number];
    this.#members.note(`  broken: ${broken.map(nameOf).join(', ')}`);
    for (const each of broken) {
      this.#members.breakDisk(each, fault);
    }
    await this.#pause(MAX_BROKEN_MILLIS);
    if (this.#random.chance(KILLED_WHILE_BROKEN_SHARE)) {
      await this.#killFor([number]);
    }
    for (const each of broken) {
      this.#members.mendDisk(each);
    }
  }

  #runAll(numbers: readonly number[]): void {
    for (const number of numbers) {
      this.#members.run(number);
    }
  }

  async #pause(maxMillis: number): Promise<void> {
    await sleep(this.#random.integer(0, maxMillis));
  }
}

function othersOf(number: number): number[] {
  return MEMBERS.filter((member) => member !== number);
}
