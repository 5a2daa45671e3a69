/**
 * Waiting request groups of one service. A keyed service has one queue for each shard with waiting groups, indexed by the shard's owner;
 * a service without keys has a single queue.
 */
import type { ShardId, UpstreamId } from '../../model/identifiers.js';
import type { RequestGroup } from '../request-group.js';
import { DrainRate } from './drain-rate.js';
import { type DispatchOrder, RankedQueue } from './ranked-queue.js';

/** Initial and maximum pause of a queue whose owner rejected a request. */
const INITIAL_PAUSE_MILLIS = 20;
const MAX_PAUSE_MILLIS = 200;

export class ShardQueue {
  readonly queue = new RankedQueue();
  readonly #drainRates = new Map<number, DrainRate>();
  owner: UpstreamId | null = null;
  private pausedUntil = Number.NEGATIVE_INFINITY;
  private nextPauseMillis = INITIAL_PAUSE_MILLIS;

  /** `shard`: `null` for the single queue of a service without keys. */
  constructor(readonly shard: ShardId | null) {}

  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Pauses dispatching because the owner rejected a request or is unreachable; the pause doubles each time. */
  pause(now: number): void {
    this.pausedUntil = now + this.nextPauseMillis;
    for (const rate of this.#drainRates.values()) {
      rate.stop();
    }
    this.nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, this.nextPauseMillis * 2);
  }

  /** Returns the drain rate of one rank: more important ranks are served first, so each rank drains at its own rate. */
  drainRateOf(rank: number): DrainRate {
    let rate = this.#drainRates.get(rank);
    if (rate === undefined) {
      rate = new DrainRate();
      this.#drainRates.set(rank, rate);
    }
    return rate;
  }

  /** Discards the drain rates because another upstream serves the queue from now on. */
  forgetRates(): void {
    this.#drainRates.clear();
  }

  /** Ends the pause: the owner changed or served a request. */
  resume(): void {
    this.pausedUntil = Number.NEGATIVE_INFINITY;
    this.nextPauseMillis = INITIAL_PAUSE_MILLIS;
  }
}

/** Index key of queues whose shard has no owner. */
const NO_OWNER_KEY = '';

export class ShardQueues {
  private readonly byShard = new Map<ShardId | null, ShardQueue>();
  private readonly waiting = new Map<UpstreamId, Set<ShardQueue>>();
  private count = 0;

  /** Number of groups waiting in all queues. */
  get length(): number {
    return this.count;
  }

  /** Returns the queue of a shard, if there is one. */
  find(shard: ShardId | null): ShardQueue | undefined {
    return this.byShard.get(shard);
  }

  /** Returns the queue of a shard and creates it if necessary. `owner` applies only to a new queue. */
  obtain(shard: ShardId | null, owner: UpstreamId | null): ShardQueue {
    let shardQueue = this.byShard.get(shard);
    if (shardQueue === undefined) {
      shardQueue = new ShardQueue(shard);
      shardQueue.owner = owner;
      this.byShard.set(shard, shardQueue);
    }
    return shardQueue;
  }

  /** Number of non-empty queues of one owner. */
  countFor(owner: UpstreamId | null): number {
    return this.waiting.get(owner ?? NO_OWNER_KEY)?.size ?? 0;
  }

  enqueue(shardQueue: ShardQueue, group: RequestGroup, place: 'front' | 'back', now: number): void {
    shardQueue.drainRateOf(group.rank).start(now);
    group.shardQueue = shardQueue;
    group.node = shardQueue.queue.push(group, place);
    group.tally.waiting += 1;
    this.count += 1;
    if (shardQueue.queue.length === 1) {
      this.waitingOf(shardQueue.owner).add(shardQueue);
    }
  }

  remove(group: RequestGroup): void {
    const { shardQueue, node } = group;
    if (shardQueue === null || node === null) {
      return;
    }
    shardQueue.queue.remove(node);
    group.shardQueue = null;
    group.node = null;
    group.tally.waiting -= 1;
    this.count -= 1;
    if (shardQueue.queue.countOf(group.rank) === 0) {
      shardQueue.drainRateOf(group.rank).stop();
    }
    if (shardQueue.queue.length === 0) {
      this.waitingOf(shardQueue.owner).delete(shardQueue);
    }
  }

  /** Moves a queue to its shard's new owner. */
  reassign(shardQueue: ShardQueue, owner: UpstreamId | null): void {
    if (shardQueue.owner !== owner) {
      shardQueue.forgetRates();
    }
    if (shardQueue.queue.length > 0) {
      this.waitingOf(shardQueue.owner).delete(shardQueue);
      this.waitingOf(owner).add(shardQueue);
    }
    shardQueue.owner = owner;
  }

  /** Drops empty queues that aren't paused. */
  prune(now: number): void {
    for (const shardQueue of this.byShard.values()) {
      if (shardQueue.queue.length === 0 && !shardQueue.isPaused(now)) {
        this.byShard.delete(shardQueue.shard);
      } else {
        shardQueue.queue.prune();
      }
    }
  }

  /** Returns the non-empty queues of one owner, least recently served first. */
  waitingFor(owner: UpstreamId | null): ShardQueue[] {
    return [...this.waitingOf(owner)];
  }

  /** Returns the unpaused queues of one owner whose first group has the most important rank among them. */
  readyQueues(owner: UpstreamId | null, order: DispatchOrder): ShardQueue[] {
    const open = this.waitingFor(owner).filter((shardQueue) => !shardQueue.isPaused(order.now));
    const firstRanks = open.map(({ queue }) => queue.peek(order)?.rank ?? Number.POSITIVE_INFINITY);
    const mostImportant = Math.min(...firstRanks);
    return open.filter((_, index) => firstRanks[index] === mostImportant);
  }

  /** Moves a queue behind the others of its owner. */
  rotate(shardQueue: ShardQueue): void {
    const set = this.waitingOf(shardQueue.owner);
    if (set.delete(shardQueue)) {
      set.add(shardQueue);
    }
  }

  /** Returns all non-empty queues. */
  allWaiting(): ShardQueue[] {
    return [...this.byShard.values()].filter((shardQueue) => shardQueue.queue.length > 0);
  }

  /** Whether a group more important than `rank` is waiting. */
  hasMoreImportant(rank: number): boolean {
    return this.count > 0 && this.allWaiting().some(({ queue }) => (queue.ranks[0] ?? rank) < rank);
  }

  /**
   * Returns the group to evict first over all queues, among ranks less important than `rank`. It scans every queue, so it is called only
   * when a limit is reached.
   */
  evictionCandidate(rank: number): RequestGroup | undefined {
    let victim: RequestGroup | undefined;
    for (const { queue } of this.byShard.values()) {
      victim = queue.evictionCandidate(victim?.rank ?? rank) ?? victim;
    }
    return victim;
  }

  /** Returns all waiting groups, queue by queue. */
  allGroups(): RequestGroup[] {
    return this.allWaiting().flatMap((shardQueue) => shardQueue.queue.toArray());
  }

  private waitingOf(owner: UpstreamId | null): Set<ShardQueue> {
    const key = owner ?? NO_OWNER_KEY;
    let set = this.waiting.get(key);
    if (set === undefined) {
      set = new Set();
      this.waiting.set(key, set);
    }
    return set;
  }
}
