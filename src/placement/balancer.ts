/**
 * Moves shards off overloaded servers. Each move takes the smallest shard that is sufficient, or else the largest for which
 * the target has capacity, so that few moves and little load are involved.
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

/** A move must lower the utilisation of the higher of the two servers by at least this share of the fair level. */
const MIN_GAIN_SHARE = 0.02;

/**
 * One server has to carry the hottest shard. Other servers are relieved only above this share of its utilisation, since
 * lower ones don't affect the maximum.
 */
const HOTTEST_LOAD_SHARE = 0.8;

/**
 * Share of the tolerance for a server whose hottest shard alone exceeds the tolerable utilisation: it is the most loaded
 * server, and its limit is steady.
 */
const HOT_TOLERANCE_SHARE = 0.25;

/** A shard and the target of its move. */
export interface BalancingMove {
  readonly entry: ShardEntry;
  readonly to: ServerEntry;
}

/** A server that may need to be relieved. */
interface RelievedServer {
  readonly entry: ServerEntry;
  /** Utilisations above which relief begins and at which it ends. */
  readonly begin: number;
  readonly end: number;
}

interface Round {
  readonly eligible: readonly ServerEntry[];
  readonly floor: number;
  /** Utilisation of every server if the load were spread evenly. */
  readonly level: number;
  /** Utilisation up to which no server needs relief. */
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
  const eligible = state.eligibleServers();
  const floor = state.floor();
  const heats = eligible.map((entry) => heatOf(entry, floor));
  const level = fairLevel(heats, floor);
  const tolerable = Math.max(level, hottestOf(heats) * HOTTEST_LOAD_SHARE);
  const round: Round = { eligible, floor, level, tolerable, tolerance, now };
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

/** Returns the limits of a server; one whose hottest shard alone exceeds the tolerable utilisation gets a smaller tolerance. */
function limitsOf({ entry, hottest }: ServerHeat, { tolerable, tolerance }: Round): RelievedServer {
  const hottestUse = hottest / capacityOf(entry);
  const bound = Math.max(tolerable, hottestUse);
  const share = hottestUse > tolerable ? HOT_TOLERANCE_SHARE : 1;
  return { entry, begin: bound * (1 + tolerance.begin * share), end: bound * (1 + tolerance.end * share) };
}

/** Returns the highest utilisation that a single shard causes. */
function hottestOf(heats: readonly ServerHeat[]): number {
  return heats.reduce((most, { entry, hottest }) => Math.max(most, hottest / capacityOf(entry)), 0);
}

function relieve(
  state: PlacementState,
  round: Round,
  source: RelievedServer,
  limit: number,
  moves: BalancingMove[],
): void {
  while (moves.length < limit && utilisation(source.entry, round.floor) > source.end) {
    const move = bestMove(round, source.entry, source.end);
    if (move === undefined) {
      return;
    }
    state.beginMove(move.entry, move.to);
    move.entry.balancedAt = round.now;
    moves.push(move);
  }
}

function bestMove(round: Round, source: ServerEntry, sufficient: number): BalancingMove | undefined {
  const { floor, tolerance, now } = round;
  const excess = (utilisation(source, floor) - sufficient) * capacityOf(source);
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

/** Returns whether the higher of the two utilisations falls clearly and, with `mustFit`, the target isn't overloaded. */
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
  return (fits || !mustFit) && Math.max(sourceAfter, targetAfter) <= before - MIN_GAIN_SHARE * level;
}

function leastUtilised(round: Round, source: ServerEntry, keyspace: string): ServerEntry | undefined {
  let best: ServerEntry | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const entry of round.eligible) {
    const load = entry === source ? Number.POSITIVE_INFINITY : utilisation(entry, round.floor);
    const isBefore = load < least || (load === least && best !== undefined && entry.rank < best.rank);
    if (isBefore && mayHold(entry, keyspace)) {
      best = entry;
      least = load;
    }
  }
  return best;
}
