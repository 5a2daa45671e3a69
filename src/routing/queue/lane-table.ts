/**
 * Waiting work of one service. A keyed service has a lane for each shard with work waiting, filed under the shard's owner;
 * one that isn't keyed has a single lane.
 */
import type { ShardId, UpstreamId } from '../../model/identifiers.js';
import type { Work } from '../work.js';
import { DrainRate } from './drain-rate.js';
import { RankedQueue, type TurnOrder } from './ranked-queue.js';

/** First and longest pause of a lane whose owner turned a request away. */
const FIRST_PAUSE_MILLIS = 20;
const LONGEST_PAUSE_MILLIS = 200;

export class Lane {
  readonly queue = new RankedQueue();
  readonly #drainRates = new Map<number, DrainRate>();
  owner: UpstreamId | null = null;
  private pausedUntil = Number.NEGATIVE_INFINITY;
  private nextPause = FIRST_PAUSE_MILLIS;

  /** `shard`: `null` for the single lane of a service that isn't keyed. */
  constructor(readonly shard: ShardId | null) {}

  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** The owner turned a request away or can't be reached: wait a little longer each time. */
  pause(now: number): void {
    this.pausedUntil = now + this.nextPause;
    for (const rate of this.#drainRates.values()) {
      rate.paused();
    }
    this.nextPause = Math.min(LONGEST_PAUSE_MILLIS, this.nextPause * 2);
  }

  /** How fast work of one rank drains: what the more important leave it is what it gets. */
  drainRateOf(rank: number): DrainRate {
    let rate = this.#drainRates.get(rank);
    if (rate === undefined) {
      rate = new DrainRate();
      this.#drainRates.set(rank, rate);
    }
    return rate;
  }

  /** Something else serves it from now on. */
  forgetRates(): void {
    this.#drainRates.clear();
  }

  /** The owner changed or served a request. */
  resume(): void {
    this.pausedUntil = Number.NEGATIVE_INFINITY;
    this.nextPause = FIRST_PAUSE_MILLIS;
  }
}

/** Lanes without an owner are filed under this. */
const NO_OWNER = '';

export class LaneTable {
  private readonly lanes = new Map<ShardId | null, Lane>();
  private readonly waiting = new Map<UpstreamId, Set<Lane>>();
  private count = 0;

  /** Work that waits in all lanes. */
  get length(): number {
    return this.count;
  }

  /** The lane of a shard, if it has one. */
  find(shard: ShardId | null): Lane | undefined {
    return this.lanes.get(shard);
  }

  /** The lane of a shard, made if need be. `owner` counts for a new lane. */
  obtain(shard: ShardId | null, owner: UpstreamId | null): Lane {
    let lane = this.lanes.get(shard);
    if (lane === undefined) {
      lane = new Lane(shard);
      lane.owner = owner;
      this.lanes.set(shard, lane);
    }
    return lane;
  }

  /** Number of lanes with work waiting for one owner. */
  countFor(owner: UpstreamId | null): number {
    return this.waiting.get(owner ?? NO_OWNER)?.size ?? 0;
  }

  enqueue(lane: Lane, work: Work, place: 'front' | 'back', now: number): void {
    lane.drainRateOf(work.rank).began(now);
    work.lane = lane;
    work.node = lane.queue.push(work, place);
    work.tally.waiting += 1;
    this.count += 1;
    if (lane.queue.length === 1) {
      this.waitingSet(lane.owner).add(lane);
    }
  }

  remove(work: Work): void {
    const { lane, node } = work;
    if (lane === null || node === null) {
      return;
    }
    lane.queue.remove(node);
    work.lane = null;
    work.node = null;
    work.tally.waiting -= 1;
    this.count -= 1;
    if (lane.queue.countOf(work.rank) === 0) {
      lane.drainRateOf(work.rank).paused();
    }
    if (lane.queue.length === 0) {
      this.waitingSet(lane.owner).delete(lane);
    }
  }

  /** Files a lane under its shard's new owner. */
  reassign(lane: Lane, owner: UpstreamId | null): void {
    if (lane.owner !== owner) {
      lane.forgetRates();
    }
    if (lane.queue.length > 0) {
      this.waitingSet(lane.owner).delete(lane);
      this.waitingSet(owner).add(lane);
    }
    lane.owner = owner;
  }

  /** Drops empty lanes that aren't paused. */
  prune(now: number): void {
    for (const lane of this.lanes.values()) {
      if (lane.queue.length === 0 && !lane.isPaused(now)) {
        this.lanes.delete(lane.shard);
      } else {
        lane.queue.prune();
      }
    }
  }

  /** Lanes of one owner with work waiting, the one that was served longest ago first. */
  waitingFor(owner: UpstreamId | null): Lane[] {
    return [...this.waitingSet(owner)];
  }

  /** Those of them whose first work is on the most important rank, that aren't paused. */
  inTurn(owner: UpstreamId | null, order: TurnOrder): Lane[] {
    const open = this.waitingFor(owner).filter((lane) => !lane.isPaused(order.now));
    const firsts = open.map(({ queue }) => queue.peek(order)?.rank ?? Number.POSITIVE_INFINITY);
    const best = Math.min(...firsts);
    return open.filter((_, index) => firsts[index] === best);
  }

  /** Moves a lane behind the others of its owner. */
  rotate(lane: Lane): void {
    const set = this.waitingSet(lane.owner);
    if (set.delete(lane)) {
      set.add(lane);
    }
  }

  /** All lanes with work waiting. */
  allWaiting(): Lane[] {
    return [...this.lanes.values()].filter((lane) => lane.queue.length > 0);
  }

  /** Whether more important work waits than that of a rank. */
  hasAbove(rank: number): boolean {
    return this.count > 0 && this.allWaiting().some(({ queue }) => (queue.ranks[0] ?? rank) < rank);
  }

  /** What gives way first of all lanes, on ranks below `rank`; looked for only where a bound is reached. */
  leastBelow(rank: number): Work | undefined {
    let least: Work | undefined;
    for (const { queue } of this.lanes.values()) {
      least = queue.leastBelow(least?.rank ?? rank) ?? least;
    }
    return least;
  }

  /** All work that waits, lane by lane. */
  allWork(): Work[] {
    return this.allWaiting().flatMap((lane) => lane.queue.toArray());
  }

  private waitingSet(owner: UpstreamId | null): Set<Lane> {
    const name = owner ?? NO_OWNER;
    let set = this.waiting.get(name);
    if (set === undefined) {
      set = new Set();
      this.waiting.set(name, set);
    }
    return set;
  }
}
