/**
 * Simulates owners of keys under a load with changing hot keys, with the real planner, on a virtual clock. A request is in time if
 * it completes within its target; a request that can't complete in time is rejected immediately.
 */
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import { findRange, type KeyRange, MAX_KEY } from '../../src/model/key-range.js';
import { BalancePlanner } from '../../src/placement/ranges/balance-planner.js';
import type { MoveCostParameters } from '../../src/placement/ranges/move-worth.js';
import type { RangeServer } from '../../src/placement/ranges/owner-loads.js';
import { OwnerSpeeds } from '../../src/placement/ranges/owner-speeds.js';
import { divideSpan, type PlannedSpan } from '../../src/placement/ranges/range-planner.js';

const REPORT_MILLIS = 250;
const PLAN_MILLIS = 500;

export interface KeysLoad {
  readonly seed: number;
  readonly owners: number;
  readonly slots: number;
  /** Speeds, which are assigned to the owners cyclically. */
  readonly speeds: readonly number[];
  readonly workMillis: number;
  readonly targetMillis: number;
  readonly perSecond: number;
  /** Share of the requests that go to hot keys. */
  readonly hotShare: number;
  /** Returns the hot keys at a time. */
  readonly hotKeys: (now: number, random: RandomSource) => { readonly from: number; readonly count: number };
  readonly seconds: number;
  /** Time for which moving keys have no owner, and time and factor of their slowness after a move without handover. */
  readonly unownedMillis: number;
  readonly slowMillis: number;
  readonly slowFactor: number;
  readonly handsOver: boolean;
  /** Whether speeds are known at the first division of the keys. */
  readonly speedsKnown?: boolean;
  /** Share of owners that are temporarily slower, by which factor, and how long each period is. */
  readonly noise?: { readonly share: number; readonly factor: number; readonly everyMillis: number };
}

/** How keys are moved: not at all; by the owners' loads; by loads and move costs; by loads and move costs of 0. */
export type MoveMode = 'none' | 'unweighed' | 'weighed' | 'free';

export interface KeysOutcome {
  readonly requests: number;
  /** Shares of the requests. */
  readonly inTime: number;
  readonly refused: number;
  /** Share in time of the requests for keys that aren't hot. */
  readonly othersInTime: number;
  readonly moves: number;
  readonly keysMoved: number;
  /** Number of moves of each key as a single key. */
  readonly movesOfKey: ReadonlyMap<number, number>;
}

class Owner {
  readonly #freeAt: number[];

  constructor(slots: number) {
    this.#freeAt = Array.from({ length: slots }, () => 0);
  }

  /** Returns when a slot is free for a request that arrives now. */
  startAt(now: number): number {
    return Math.max(now, Math.min(...this.#freeAt));
  }

  run(startAt: number, millis: number): void {
    this.#freeAt[this.#freeAt.indexOf(Math.min(...this.#freeAt))] = startAt + millis;
  }
}

export class MovingKeysModel {
  readonly #load: KeysLoad;
  readonly #mode: MoveMode;
  readonly #events = new EventQueue();
  readonly #random: RandomSource;
  readonly #owners = new Map<string, Owner>();
  readonly #speeds = new OwnerSpeeds();
  readonly #planner = new BalancePlanner();
  readonly #reported = new Map<number, { requests: number; workMillis: number }>();
  readonly #slowUntil = new Map<number, number>();
  readonly #movesOfKey = new Map<number, number>();
  #ranges: readonly KeyRange[];
  #underWay: PlannedSpan[] = [];
  #requests = 0;
  #inTime = 0;
  #rejected = 0;
  #others = 0;
  #othersInTime = 0;
  #moves = 0;
  #keysMoved = 0;

  constructor(load: KeysLoad, mode: MoveMode) {
    this.#load = load;
    this.#mode = mode;
    this.#random = new RandomSource(load.seed);
    const servers = this.#servers();
    for (const { upstream } of servers) {
      this.#owners.set(upstream, new Owner(load.slots));
    }
    const serversWithSpeeds = servers.map((server, index) => {
      const speed = load.speedsKnown === true ? (load.speeds[index % load.speeds.length] ?? 1) : 1;
      return { ...server, speed };
    });
    this.#ranges = divideSpan({ from: 0, to: MAX_KEY }, serversWithSpeeds).map(({ from, to, target }) => ({
      service: 'keys',
      from,
      to,
      owner: target,
      fence: 1,
      former: null,
      revision: 1,
    }));
  }

  run(): KeysOutcome {
    this.#events.after(0, () => this.#arrive());
    this.#events.after(REPORT_MILLIS, () => this.#report());
    this.#events.after(PLAN_MILLIS, () => this.#plan());
    this.#events.runUntil(this.#load.seconds * 1000);
    return {
      requests: this.#requests,
      inTime: this.#inTime / this.#requests,
      refused: this.#rejected / this.#requests,
      othersInTime: this.#othersInTime / Math.max(1, this.#others),
      moves: this.#moves,
      keysMoved: this.#keysMoved,
      movesOfKey: this.#movesOfKey,
    };
  }

  #servers(): RangeServer[] {
    const { owners, slots } = this.#load;
    return Array.from({ length: owners }, (_, index) => {
      const upstream = `u${index}`;
      return { upstream, slots, speed: this.#speeds.speedOf(upstream) };
    });
  }

  #arrive(): void {
    const { perSecond, hotShare, hotKeys } = this.#load;
    const { now } = this.#events;
    this.#events.after(this.#random.exponential(1000 / perSecond), () => this.#arrive());
    this.#requests += 1;
    const isHot = this.#random.fraction() < hotShare;
    const hot = hotKeys(now, this.#random);
    const key = isHot
      ? hot.from + Math.floor(this.#random.fraction() * hot.count)
      : Math.floor(this.#random.fraction() * (MAX_KEY + 1));
    this.#others += Number(!isHot);
    this.#send(key, isHot, now);
  }

  #send(key: number, isHot: boolean, arrivedAt: number): void {
    const { now } = this.#events;
    const { unownedMillis, targetMillis, workMillis } = this.#load;
    const owner = this.#ranges[findRange(this.#ranges, key)]?.owner ?? null;
    if (owner === null) {
      this.#events.after(unownedMillis / 4, () => this.#send(key, isHot, arrivedAt));
      return;
    }
    const millis = workMillis * (0.5 + this.#random.fraction()) * this.#slowness(owner, key);
    const total = this.#reported.get(key) ?? { requests: 0, workMillis: 0 };
    total.requests += 1;
    total.workMillis += millis;
    this.#reported.set(key, total);
    const server = this.#owners.get(owner) as Owner;
    const startAt = server.startAt(now);
    if (startAt + workMillis * this.#slowness(owner, key) > arrivedAt + targetMillis) {
      this.#rejected += 1;
      return;
    }
    server.run(startAt, millis);
    const isInTime = startAt + millis <= arrivedAt + targetMillis;
    this.#inTime += Number(isInTime);
    this.#othersInTime += Number(isInTime && !isHot);
  }

  #slowness(owner: string, key: number): number {
    const { speeds, slowFactor, noise } = this.#load;
    const index = Number(owner.slice(1));
    const unwarmed = (this.#slowUntil.get(key) ?? 0) > this.#events.now ? slowFactor : 1;
    const period = noise === undefined ? 0 : Math.floor(this.#events.now / noise.everyMillis);
    const isNoisy = noise !== undefined && ((index * 7919 + period * 104_729) % 1000) / 1000 < noise.share;
    return (unwarmed * (isNoisy ? noise.factor : 1)) / (speeds[index % speeds.length] ?? 1);
  }

  #report(): void {
    const { now } = this.#events;
    this.#events.after(REPORT_MILLIS, () => this.#report());
    for (const [key, { requests, workMillis }] of this.#reported) {
      const owner = this.#ranges[findRange(this.#ranges, key)]?.owner ?? null;
      if (owner !== null) {
        this.#speeds.add(owner, requests, workMillis, now);
      }
      this.#planner.add(key, requests * (this.#speeds.meanMillis ?? workMillis / requests), now);
    }
    this.#reported.clear();
  }

  #costParameters(): MoveCostParameters | null {
    const { unownedMillis, handsOver, slowMillis, workMillis } = this.#load;
    const handoverShare = Number(handsOver);
    const PARAMETERS_BY_MODE: Record<MoveMode, MoveCostParameters | null> = {
      none: null,
      unweighed: null,
      weighed: { unownedMillis, handoverShare, slowMillis, workMillis },
      free: { unownedMillis: 0, handoverShare: 1, slowMillis: 0, workMillis },
    };
    return PARAMETERS_BY_MODE[this.#mode];
  }

  #plan(): void {
    this.#events.after(PLAN_MILLIS, () => this.#plan());
    if (this.#mode === 'none') {
      return;
    }
    const planned = this.#planner.plan({
      ranges: this.#ranges,
      servers: this.#servers(),
      underWay: this.#underWay,
      costParameters: this.#costParameters(),
    });
    for (const move of planned) {
      this.#begin(move);
    }
  }

  #begin(move: PlannedSpan): void {
    this.#planner.recordMove(move);
    this.#moves += 1;
    this.#keysMoved += move.to - move.from + 1;
    if (move.from === move.to) {
      this.#movesOfKey.set(move.from, (this.#movesOfKey.get(move.from) ?? 0) + 1);
    }
    this.#setOwner(move, null);
    this.#underWay.push(move);
    this.#events.after(this.#load.unownedMillis, () => this.#end(move));
  }

  #end(move: PlannedSpan): void {
    const { handsOver, slowMillis } = this.#load;
    this.#underWay = this.#underWay.filter((other) => other !== move);
    this.#setOwner(move, move.target);
    for (let key = move.from; key <= move.to && !handsOver; key += 1) {
      this.#slowUntil.set(key, this.#events.now + slowMillis);
    }
  }

  #setOwner({ from, to }: PlannedSpan, owner: string | null): void {
    this.#ranges = this.#ranges.flatMap((range) => {
      if (to < range.from || from > range.to) {
        return [range];
      }
      const parts = [
        { ...range, to: from - 1 },
        { ...range, from, to, owner },
        { ...range, from: to + 1 },
      ];
      return parts.filter((part) => part.from <= part.to);
    });
  }
}
