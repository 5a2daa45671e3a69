/**
 * Moves shards off servers that carry too much. Each move takes the smallest shard that is enough, or else the largest
 * that the receiving server has room for, so that few moves and little load are involved.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { fairLevel, heatOf, type ServerHeat } from './fair-level.js';
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

/**
 * One server has to carry the hottest shard of all. Others are relieved only above this share of its load, since what
 * is below makes no difference to the most loaded server.
 */
const BESIDE_HOTTEST = 0.8;

/** The owner of such a shard has this part of the tolerance: it is the most loaded server, and its limit is steady. */
const HOT_TOLERANCE_SHARE = 0.25;

/** A shard and the server that is to take it. */
export interface BalancingMove {
  readonly entry: ShardEntry;
  readonly to: ServerEntry;
}

/** A server that may have to be relieved. */
interface Source {
  readonly entry: ServerEntry;
  /** Utilisations above which relief begins and at which it ends. */
  readonly begin: number;
  readonly end: number;
}

interface Round {
  readonly takers: readonly ServerEntry[];
  readonly floor: number;
  /** Utilisation of all servers if the load were spread evenly. */
  readonly level: number;
  /** Utilisation that any server may have. */
  readonly tolerable: number;
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
  const level = fairLevel(heats, floor);
  const tolerable = Math.max(level, hottestOf(heats) * BESIDE_HOTTEST);
  const round: Round = { takers, floor, level, tolerable, tolerance, now };
  const overloaded = heats
    .map((heat) => limitsOf(heat, round))
    .filter(({ entry, begin }) => utilisation(entry, floor) > begin)
    .sort((left, right) => utilisation(right.entry, floor) - utilisation(left.entry, floor));
  const moves: BalancingMove[] = [];
  for (const source of overloaded) {
    relieve(state, round, source, limit, moves);
  }
  return moves;
}

/** What a server may have; one that a single shard loads more than that may have little beside it. */
function limitsOf({ entry, hottest }: ServerHeat, { tolerable, tolerance }: Round): Source {
  const own = hottest / capacityOf(entry);
  const bound = Math.max(tolerable, own);
  const share = own > tolerable ? HOT_TOLERANCE_SHARE : 1;
  return { entry, begin: bound * (1 + tolerance.begin * share), end: bound * (1 + tolerance.end * share) };
}

/** The highest utilisation that a single shard makes. */
function hottestOf(heats: readonly ServerHeat[]): number {
  return heats.reduce((most, { entry, hottest }) => Math.max(most, hottest / capacityOf(entry)), 0);
}

function relieve(
  state: PlacementState,
  round: Round,
  source: Source,
  limit: number,
  moves: BalancingMove[],
): void {
  while (moves.length < limit && utilisation(source.entry, round.floor) > source.end) {
    const move = bestMove(round, source.entry, source.end);
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
    firstOf([...downwards, ...upwards], (entry) => moveOf(entry, false))
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
  { floor, level, tolerable, tolerance }: Round,
  source: ServerEntry,
  entry: ShardEntry,
  to: ServerEntry,
  mustFit: boolean,
): boolean {
  const weight = entry.load + floor;
  const before = utilisation(source, floor);
  const sourceAfter = before - weight / capacityOf(source);
  const targetAfter = utilisation(to, floor) + weight / capacityOf(to);
  const fits = targetAfter <= tolerable * (1 + tolerance.end);
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
