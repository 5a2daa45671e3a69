/**
 * Computes the cost and the gain of moving keys, both in milliseconds of callers' waiting time. The gain is the waiting time
 * saved while the load lasts. The cost is the waiting time while the keys have no owner, and the additional time of slow
 * requests after a move without a handover.
 */
import type { MoveEstimate } from './move-estimator.js';
import { capacityOf, type RangeServer } from './owner-loads.js';

/** Parameters for weighing the moves of a service's keys. */
export interface MoveCostParameters extends MoveEstimate {
  /** Time for which keys are slow after a move without a handover from their previous owner. */
  readonly slowMillis: number;
  /** Mean work of a request over all upstreams, in milliseconds. */
  readonly workMillis: number;
}

/** A move to be weighed; loads are in milliseconds of work per second. */
export interface WeighedMove {
  readonly from: RangeServer;
  readonly fromLoad: number;
  readonly to: RangeServer;
  readonly toLoad: number;
  /** Load of the keys that move. */
  readonly load: number;
  /** Time for which that load is expected to last. */
  readonly remainingMillis: number;
}

/** Cost and gain of a move, in milliseconds of callers' waiting time. */
export interface MoveWorth {
  readonly costMillis: number;
  readonly gainMillis: number;
}

/** Maximum wait in a queue, in multiples of a request's work: a request that would wait longer is rejected. */
const MAX_QUEUE_WAITS = 2;
/** Wait that a rejected request counts for, in the same unit: its caller retries once, waits as long again, and may be rejected again. */
const REJECTED_WAITS = 4;
/**
 * Factor by which the work of slow keys is assumed to be longer. It isn't reported, and it can be observed only after a move that
 * can't be undone, so this is a pessimistic value.
 */
const SLOW_FACTOR = 5;
const MILLIS_PER_SECOND = 1000;

/** Returns how long the callers of a server wait per second, in milliseconds, beyond the work at the mean upstream. */
export function waitPerSecond(server: RangeServer, load: number): number {
  const capacity = capacityOf(server);
  const served = Math.min(load, capacity);
  const waits = Math.min(MAX_QUEUE_WAITS, queueWaits(load / capacity, server.slots));
  return served * (waits + relativeSlowness(server)) + (load - served) * REJECTED_WAITS;
}

/** Returns the mean wait for a slot in multiples of the work, by Sakasegawa's approximation for several slots. */
function queueWaits(use: number, slots: number): number {
  return use >= 1 ? MAX_QUEUE_WAITS : use ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - use));
}

/** Returns the additional work at a server relative to the mean upstream; negative for a faster server. */
function relativeSlowness({ speed }: RangeServer): number {
  return 1 / speed - 1;
}

/** Returns the cost and the gain of a move. */
export function worthOf(move: WeighedMove, parameters: MoveCostParameters): MoveWorth {
  const { from, fromLoad, to, toLoad, load, remainingMillis } = move;
  const before = waitPerSecond(from, fromLoad) + waitPerSecond(to, toLoad);
  const after = waitPerSecond(from, fromLoad - load) + waitPerSecond(to, toLoad + load);
  const gainMillis = ((before - after) * remainingMillis) / MILLIS_PER_SECOND;
  return { costMillis: waitUnowned(load, parameters) + waitSlow(move, parameters), gainMillis };
}

/** Requests that arrive while the keys have no owner wait for half of that time on average. */
function waitUnowned(load: number, { unownedMillis, workMillis }: MoveCostParameters): number {
  const requests = ((load / workMillis) * unownedMillis) / MILLIS_PER_SECOND;
  return (requests * unownedMillis) / 2;
}

/** Slow keys take longer themselves, and they take capacity from the keys that their next owner already serves. */
function waitSlow({ to, toLoad, load }: WeighedMove, parameters: MoveCostParameters): number {
  const slowLoad = load * SLOW_FACTOR;
  const extraWait =
    waitPerSecond(to, toLoad + slowLoad) - waitPerSecond(to, toLoad + load) + (slowLoad - load);
  return (extraWait * parameters.slowMillis * (1 - parameters.handoverShare)) / MILLIS_PER_SECOND;
}

/** Returns whether a move gains more than it costs. */
export function isWorthwhile({ costMillis, gainMillis }: MoveWorth): boolean {
  return gainMillis > costMillis;
}
