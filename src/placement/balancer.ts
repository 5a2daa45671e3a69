/**
 * Moves shards off servers that carry too much. Each move takes the smallest shard that is enough, or else the largest
 * that the receiving server has room for, so that few moves and little load are involved.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { fairLevel, heatOf } from './fair-level.js';
import type { Tolerance } from './hysteresis.js';
import {
  capacityOf,
  mayHold,
  type PlacementState,
  type ServerEntry,
  type ShardEntry,
  utilisation,
} from './placement-state.js';

/** A move has to take at least this share of the fair level off the higher of the two servers. */
const LEAST_GAIN = 0.02;

/** A shard and the server that is to take it. */
export interface BalancingMove {
  readonly entry: ShardEntry;
  readonly to: ServerEntry;
}

interface Round {
  readonly takers: readonly ServerEntry[];
  readonly floor: number;
  /** Utilisation that is aimed at. */
  readonly level: number;
  readonly tolerance: Tolerance;
  readonly now: MonotonicMillis;
}

/** Begins at most `limit` moves and returns them. */
export function balance(
  state: PlacementState,
  tolerance: Tolerance,
  limit: number,
  now: MonotonicMillis,
): BalancingMove[] {
  const takers = state.takers();
  const floor = state.floor();
  const heats = takers.map((entry) => heatOf(entry, floor));
  const round: Round = { takers, floor, level: fairLevel(heats, floor), tolerance, now };
  const overloaded = heats
    .map(({ entry, hottest }) => ({ entry, bound: Math.max(round.level, hottest / capacityOf(entry)) }))
    .filter(({ entry, bound }) => utilisation(entry, floor) > bound * (1 + tolerance.begin))
    .sort((left, right) => utilisation(right.entry, floor) - utilisation(left.entry, floor));
  const moves: BalancingMove[] = [];
  for (const { entry, bound } of overloaded) {
    relieve(state, round, { entry, bound }, limit, moves);
  }
  return moves;
}

function relieve(
  state: PlacementState,
  round: Round,
  source: { readonly entry: ServerEntry; readonly bound: number },
  limit: number,
  moves: BalancingMove[],
): void {
  const enough = source.bound * (1 + round.tolerance.end);
  while (moves.length < limit && utilisation(source.entry, round.floor) > enough) {
    const move = bestMove(round, source.entry, enough);
    if (move === undefined) {
      return;
    }
    state.begin(move.entry, move.to);
    move.entry.balancedAt = round.now;
    moves.push(move);
  }
}

function bestMove(round: Round, source: ServerEntry, enough: number): BalancingMove | undefined {
  const { floor, tolerance, now } = round;
  const excess = (utilisation(source, floor) - enough) * capacityOf(source);
  const movable = [...source.shards]
    .filter((entry) => entry.target === null && now - entry.balancedAt >= tolerance.restMillis)
    .sort((left, right) => left.load - right.load || (left.id < right.id ? -1 : 1));
  const firstEnough = movable.findIndex((entry) => entry.load + floor >= excess);
  const upwards = firstEnough < 0 ? [] : movable.slice(firstEnough);
  const downwards = movable.slice(0, firstEnough < 0 ? movable.length : firstEnough).reverse();
  const targets = new Map<string, ServerEntry | undefined>();
  const moveOf = (entry: ShardEntry, mustFit: boolean): BalancingMove | undefined => {
    if (!targets.has(entry.keyspace)) {
      targets.set(entry.keyspace, leastUtilised(round, source, entry.keyspace));
    }
    const to = targets.get(entry.keyspace);
    return to !== undefined && isWorthwhile(round, source, entry, to, mustFit) ? { entry, to } : undefined;
  };
  return (
    firstOf([...upwards, ...downwards], (entry) => moveOf(entry, true)) ??
    firstOf(downwards, (entry) => moveOf(entry, false))
  );
}

function firstOf<Item, Found>(
  items: readonly Item[],
  find: (item: Item) => Found | undefined,
): Found | undefined {
  for (const item of items) {
    const found = find(item);
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
}

/** Whether the higher of the two servers ends up clearly lower, and, if it must fit, the target isn't overloaded. */
function isWorthwhile(
  { floor, level, tolerance }: Round,
  source: ServerEntry,
  entry: ShardEntry,
  to: ServerEntry,
  mustFit: boolean,
): boolean {
  const weight = entry.load + floor;
  const before = utilisation(source, floor);
  const sourceAfter = before - weight / capacityOf(source);
  const targetAfter = utilisation(to, floor) + weight / capacityOf(to);
  const fits = targetAfter <= level * (1 + tolerance.end);
  return (fits || !mustFit) && Math.max(sourceAfter, targetAfter) <= before - LEAST_GAIN * level;
}

function leastUtilised(round: Round, source: ServerEntry, keyspace: string): ServerEntry | undefined {
  let best: ServerEntry | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const entry of round.takers) {
    const load = entry === source ? Number.POSITIVE_INFINITY : utilisation(entry, round.floor);
    const isBefore = load < least || (load === least && best !== undefined && entry.rank < best.rank);
    if (isBefore && mayHold(entry, keyspace)) {
      best = entry;
      least = load;
    }
  }
  return best;
}
