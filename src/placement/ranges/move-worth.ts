/**
 * What a move of keys costs and gains, both in milliseconds that callers wait. It gains what they wait less while the heat lasts;
 * it costs their wait while the keys have no owner, and the slow time after it where no hand-over comes along.
 */
import type { MoveTimes } from './move-evidence.js';
import { capacityOf, type RangeServer } from './owner-loads.js';

/** Terms on which the moves of a service's keys are weighed. */
export interface MoveTerms extends MoveTimes {
  /** How long keys are slow that come without the hand-over of their last owner. */
  readonly slowMillis: number;
  /** Work of a request at the mean upstream, in milliseconds. */
  readonly workMillis: number;
}

/** One move as it is weighed; loads in milliseconds of work a second. */
export interface WeighedMove {
  readonly from: RangeServer;
  readonly fromLoad: number;
  readonly to: RangeServer;
  readonly toLoad: number;
  /** Load of the keys that move. */
  readonly load: number;
  /** For how long that load is expected to last, in milliseconds. */
  readonly remainingMillis: number;
}

/** Milliseconds that callers wait. */
export interface MoveWorth {
  readonly costMillis: number;
  readonly gainMillis: number;
}

/** The longest wait in a line, in times of a request's work: what would wait longer is refused instead. */
const MOST_WAITS = 2;
/** What a refused request counts for, in the same unit: its caller comes back once, waits as long again, and may be refused again. */
const REFUSED_WAITS = 4;
/**
 * How many times longer the work of slow keys is taken to be. Nobody says it, and it is felt only once they moved and can't be undone, so
 * this is a bad case.
 */
const SLOW_FACTOR = 5;
const MILLIS_PER_SECOND = 1000;

/** Milliseconds that callers of a server wait in a second, beyond the work of the mean upstream. */
export function waitAt(server: RangeServer, load: number): number {
  const capacity = capacityOf(server);
  const served = Math.min(load, capacity);
  const waits = Math.min(MOST_WAITS, waitsInLine(load / capacity, server.slots));
  return served * (waits + slowness(server)) + (load - served) * REFUSED_WAITS;
}

/** Mean wait for a slot in times of the work, by Sakasegawa's approximation for several slots. */
function waitsInLine(use: number, slots: number): number {
  return use >= 1 ? MOST_WAITS : use ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - use));
}

/** What its own work takes longer than at the mean upstream, in times of that; below 0 at a faster one. */
function slowness({ speed }: RangeServer): number {
  return 1 / speed - 1;
}

/** What a move costs and what it gains. */
export function worthOf(move: WeighedMove, terms: MoveTerms): MoveWorth {
  const { from, fromLoad, to, toLoad, load, remainingMillis } = move;
  const before = waitAt(from, fromLoad) + waitAt(to, toLoad);
  const after = waitAt(from, fromLoad - load) + waitAt(to, toLoad + load);
  const gainMillis = ((before - after) * remainingMillis) / MILLIS_PER_SECOND;
  return { costMillis: waitUnowned(load, terms) + waitSlow(move, terms), gainMillis };
}

/** What comes while keys have no owner waits for half of that time in the mean. */
function waitUnowned(load: number, { unownedMillis, workMillis }: MoveTerms): number {
  const requests = ((load / workMillis) * unownedMillis) / MILLIS_PER_SECOND;
  return (requests * unownedMillis) / 2;
}

/** Slow keys take longer themselves, and more of the room of those that their next owner has already. */
function waitSlow({ to, toLoad, load }: WeighedMove, terms: MoveTerms): number {
  const slowLoad = load * SLOW_FACTOR;
  const more = waitAt(to, toLoad + slowLoad) - waitAt(to, toLoad + load) + (slowLoad - load);
  return (more * terms.slowMillis * (1 - terms.handoverShare)) / MILLIS_PER_SECOND;
}

/** Whether a move gains more than it costs. */
export function isWorthwhile({ costMillis, gainMillis }: MoveWorth): boolean {
  return gainMillis > costMillis;
}
