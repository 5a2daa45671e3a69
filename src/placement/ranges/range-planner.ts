/**
 * Assigns ranges of numeric keys to upstreams. Moving keys is expensive, so ranges stay where they are unless their owner
 * leaves or is much busier than the others; then the smallest number of keys that carries enough load moves.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import { type KeyRange, type KeySpan, spanLength } from '../../model/key-range.js';
import { BusiestFirst } from './busiest-first.js';
import type { KeyLoads } from './key-loads.js';
import type { MoveWeigher, WeighedSpan } from './move-weigher.js';
import { capacityOf, idleLoad, OwnerLoads, type RangeServer } from './owner-loads.js';
import { type SearchCount, shortestSpan } from './span-search.js';

/** A span and its planned owner. */
export interface PlannedSpan extends KeySpan {
  readonly target: UpstreamId;
  /** Cost and gain of the move; absent if the move wasn't weighed. */
  readonly weighed?: WeighedSpan;
}

/** An owner is too busy above this factor on the mean utilisation, and this share of its capacity above the mean. */
const BUSY_FACTOR = 1.2;
const BUSY_MARGIN = 0.08;
/** Target utilisation as a factor on the mean. The queue of an overloaded owner makes the measured mean too high. */
const TARGET_FACTOR = 1.1;

/** Utilisations that bound the balancing, as shares of an owner's capacity. */
export interface BalanceGoal {
  /** An owner below this utilisation is never too busy. */
  readonly minBusyUse: number;
  /** Owners aren't relieved to much less than this utilisation. */
  readonly minTargetUse: number;
}

/** For evening out the steady loads of owners. */
export const EVEN_GOAL: BalanceGoal = { minBusyUse: 0.3, minTargetUse: 0.3 };
/** For relieving only owners that have just become overloaded: loads measured over a short time are partly random. */
export const RELIEF_GOAL: BalanceGoal = { minBusyUse: 0.75, minTargetUse: 0.5 };
/** Minimum load that a move shifts, as a share of one server's capacity. */
const MIN_SHIFT_SHARE = 0.03;
/** Shares of the surplus for which a move is searched, in this order. */
const SURPLUS_SHARES = [1, 0.5, 0.25, 0.1] as const;
/** Maximum load of a single key that moves, as a share of the load difference between the two owners. */
const MAX_DIFFERENCE_SHARE = 0.7;
/** A single key from this share of its owner's capacity on may move to a server with a larger capacity. */
const DOMINANT_KEY_SHARE = 0.6;
/** Minimum ratio of the capacities of target and owner for such a move. */
const MIN_CAPACITY_RATIO = 1.25;
/** The same for a key that exceeds the target's capacity too: most of its excess load is still rejected there, so the gain must be larger. */
const MIN_OVERSIZED_CAPACITY_RATIO = 1.5;
/** A range below `IDLE_SHARE` of a server's capacity may go to the owner of a neighbouring range that is longer by this factor. */
const MIN_NEIGHBOUR_LENGTH_RATIO = 3;
const IDLE_SHARE = 0.02;
/** Limit of returns in one plan: the larger of this number and this share of all ranges, so that returns keep up with splits at any size. */
const MIN_RETURNS_LIMIT = 8;
const RETURNS_SHARE = 1 / 6;
/**
 * Limit of moves in one plan: the larger of this number and this share of the servers. Adjacent hot keys at one owner are spread
 * over enough servers in one or two plans; with a fixed number this would take longer the more servers there are.
 */
const MIN_MOVES_LIMIT = 12;
const MOVES_SHARE = 1 / 2;
/** How often a plan looks for a move off an owner in vain. Another owner's move may leave a better target for it. */
const MAX_FAILED_SEARCHES = 3;
/** Number of pieces into which the keys of a leaving owner are divided, so that no single server gets all of them. */
const SPREAD_PIECES = 4;

/** Divides a span of keys that had no owner before among servers, in proportion to their slots and estimated speeds. */
export function divideSpan(span: KeySpan, servers: readonly RangeServer[]): PlannedSpan[] {
  const total = servers.reduce((sum, { slots, speed }) => sum + slots * speed, 0);
  const planned: PlannedSpan[] = [];
  let before = 0;
  let from = span.from;
  for (const { upstream, slots, speed } of servers) {
    before += slots * speed;
    const to = span.from + Math.round((spanLength(span) * before) / total) - 1;
    if (to >= from) {
      planned.push({ from, to, target: upstream });
      from = to + 1;
    }
  }
  return planned;
}

/**
 * Divides keys of a leaving owner into pieces, and assigns each to the server that is the least utilised at that point.
 * `ownerLoad` is the load of all keys of the owner: a span that carries little of it isn't divided, so that ranges don't
 * become ever shorter when several owners leave one after the other.
 */
export function spreadSpan(
  span: KeySpan,
  loads: KeyLoads,
  servers: OwnerLoads,
  ownerLoad: number,
): PlannedSpan[] {
  const planned: PlannedSpan[] = [];
  let from = span.from;
  for (let piece = 1; from <= span.to; piece += 1) {
    const isLast = piece === SPREAD_PIECES;
    const to = isLast ? span.to : pieceEnd({ from, to: span.to }, loads, ownerLoad / SPREAD_PIECES);
    const target = servers.leastUtilised(null);
    if (target === undefined) {
      return [];
    }
    planned.push({ from, to, target: target.upstream });
    servers.addSpan(target.upstream, { from, to });
    from = to + 1;
  }
  return planned;
}

/** Returns the last key of the piece at the beginning of a span that carries about the load `wanted`, idle keys included. */
export function pieceEnd(span: KeySpan, loads: KeyLoads, wanted: number): number {
  let low = span.from;
  let high = span.to;
  while (low < high) {
    const middle = (low + high) >> 1;
    const piece = { from: span.from, to: middle };
    if (loads.loadOfSpan(piece) + idleLoad(piece) < wanted) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/**
 * Plans moves that take load off servers which are much busier than the others. `underWay` are spans without an owner, whose
 * load counts at their next owner. With a `weigher`, only moves that gain more than they cost are planned; with `null`, moves
 * aren't weighed. `searched` counts the spans that were compared.
 */
export function planMoves(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
  goal: BalanceGoal = EVEN_GOAL,
  underWay: readonly PlannedSpan[] = [],
  weigher: MoveWeigher | null = null,
  searched: SearchCount = { spans: 0 },
): PlannedSpan[] {
  const use = new OwnerLoads(servers, ranges, loads);
  for (const span of underWay) {
    use.addSpan(span.target, span);
  }
  const owned = rangesByOwner(ranges);
  if (weigher !== null) {
    excludeExcessOfHottestKeys(owned, loads, use);
  }
  const serversById = new Map(servers.map((server) => [server.upstream, server]));
  const search = { owned, serversById, loads, use, goal, weigher, searched, planned: new Map() };
  const most = Math.max(MIN_MOVES_LIMIT, Math.floor(servers.length * MOVES_SHARE));
  return searchMoves(search, most);
}

/**
 * Plans up to `most` moves, each off the busiest owner at that point. An owner without a possible move is left out until the next
 * move is planned, and after a few searches in vain for the rest of the plan, whose cost would else grow with owners x moves.
 */
function searchMoves(search: MoveSearch, most: number): PlannedSpan[] {
  const { use, serversById } = search;
  const moves: PlannedSpan[] = [];
  const busiestFirst = new BusiestFirst(use, use.busiest(busyThreshold(search)));
  const failures = new Map<RangeServer, number>();
  let leftOut: RangeServer[] = [];
  while (moves.length < most) {
    const busy = busiestFirst.first;
    if (busy === undefined || use.utilisationOf(busy) <= busyThreshold(search)) {
      break;
    }
    const move = moveOff(search, busy);
    if (move === undefined) {
      busiestFirst.dropFirst();
      failures.set(busy, (failures.get(busy) ?? 0) + 1);
      leftOut.push(busy);
      continue;
    }
    moves.push(move);
    busiestFirst.place(busy);
    const target = serversById.get(move.target);
    if (target !== undefined && use.utilisationOf(target) > busyThreshold(search)) {
      leftOut.push(target);
    }
    for (const server of leftOut) {
      if ((failures.get(server) ?? 0) < MAX_FAILED_SEARCHES) {
        busiestFirst.place(server);
      }
    }
    leftOut = [];
  }
  return moves;
}

/** Utilisation above which an owner is too busy. */
function busyThreshold({ use, goal }: MoveSearch): number {
  const mean = use.meanUtilisation();
  return Math.max(goal.minBusyUse, mean * BUSY_FACTOR, mean + BUSY_MARGIN);
}

/** Subtracts a single key's load beyond its owner's capacity: it is rejected at any owner, so it is no reason to move other keys. */
function excludeExcessOfHottestKeys(
  owned: ReadonlyMap<UpstreamId, readonly KeyRange[]>,
  loads: KeyLoads,
  use: OwnerLoads,
): void {
  for (const server of use.busiest(1)) {
    const key = hottestKey(owned.get(server.upstream) ?? [], loads);
    const excess = key === undefined ? 0 : loads.loadOf(key) - capacityOf(server);
    if (excess > 0) {
      use.addLoad(server.upstream, -excess);
    }
  }
}

function rangesByOwner(ranges: readonly KeyRange[]): Map<UpstreamId, KeyRange[]> {
  const owned = new Map<UpstreamId, KeyRange[]>();
  for (const range of ranges) {
    if (range.owner !== null) {
      const list = owned.get(range.owner) ?? [];
      owned.set(range.owner, list);
      list.push(range);
    }
  }
  return owned;
}

/** Plans a move off an owner and counts its load at the target; `undefined` if there is none. */
function moveOff(search: MoveSearch, busy: RangeServer): PlannedSpan | undefined {
  const { loads, use, weigher, planned } = search;
  const move = hotKeyMove(search, busy) ?? spanMove(search, busy);
  if (move !== undefined) {
    const load = loads.loadOfSpan(move);
    use.addLoad(busy.upstream, -(weigher === null ? load : Math.min(load, capacityOf(busy))));
    use.addLoad(move.target, load);
    planned.set(busy.upstream, [...plannedOff(search, busy), move]);
  }
  return move;
}

function plannedOff({ planned }: MoveSearch, { upstream }: RangeServer): readonly PlannedSpan[] {
  return planned.get(upstream) ?? [];
}

/**
 * Plans the move of a single key that takes most of its owner's capacity or exceeds it, to the server with the largest
 * capacity among those whose load is below that of the key. Other keys of that server move away in later plans.
 */
function hotKeyMove(search: MoveSearch, busy: RangeServer): PlannedSpan | undefined {
  const { owned, loads, use, weigher } = search;
  const key = hottestKey(owned.get(busy.upstream) ?? [], loads);
  const load = key === undefined ? 0 : loads.loadOf(key);
  if (
    key === undefined ||
    load < capacityOf(busy) * DOMINANT_KEY_SHARE ||
    isPlanned(plannedOff(search, busy), key)
  ) {
    return undefined;
  }
  const target = use.largest((server) => server !== busy && use.loadOf(server.upstream) < load);
  if (target === undefined || capacityOf(target) < capacityOf(busy) * minCapacityRatio(search, key, target)) {
    return undefined;
  }
  const move = { from: key, to: key, target: target.upstream };
  return weigher === null ? move : weigher.weigh(move, { from: busy, to: target, use, loads });
}

/** Returns the minimum ratio of the capacities of target and owner for a key to move; `Infinity` if the key must not move again. */
function minCapacityRatio({ loads, weigher }: MoveSearch, key: number, target: RangeServer): number {
  const isOversized = loads.loadOf(key) > capacityOf(target);
  if (weigher === null || !isOversized) {
    return MIN_CAPACITY_RATIO;
  }
  return weigher.hasMoved(key) ? Number.POSITIVE_INFINITY : MIN_OVERSIZED_CAPACITY_RATIO;
}

function hottestKey(ranges: readonly KeyRange[], loads: KeyLoads): number | undefined {
  const keys = ranges.map((range) => loads.hottestKeyIn(range));
  return keys.reduce((hottest, key) => {
    const isHotter =
      key !== undefined && (hottest === undefined || loads.loadOf(key) > loads.loadOf(hottest));
    return isHotter ? key : hottest;
  }, undefined);
}

function isPlanned(planned: readonly PlannedSpan[], key: number): boolean {
  return planned.some(({ from, to }) => from <= key && key <= to);
}

function spanMove(search: MoveSearch, busy: RangeServer): PlannedSpan | undefined {
  const idle = search.use.leastUtilised(busy.upstream);
  return idle === undefined ? undefined : spanToMove(search, busy, idle);
}

/**
 * Plans returns of short ranges with little load, which were split off while they were hot, to the owner of a neighbouring
 * range. Ranges with the least load come first. No owner gives up its only range.
 */
export function planReturns(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
): PlannedSpan[] {
  const serversById = new Map(servers.map((server) => [server.upstream, server]));
  const owned = rangesByOwner(ranges);
  const isOnly = (owner: UpstreamId): boolean => owned.get(owner)?.length === 1;
  const returns = ranges.flatMap((range, position) => {
    const neighbourOwner = serversById.get(longerNeighbour(ranges, position)?.owner ?? '');
    const isOther =
      range.owner !== null && neighbourOwner !== undefined && neighbourOwner.upstream !== range.owner;
    const isIdle =
      isOther && !isOnly(range.owner) && loads.loadOfSpan(range) < capacityOf(neighbourOwner) * IDLE_SHARE;
    return isIdle ? [{ from: range.from, to: range.to, target: neighbourOwner.upstream }] : [];
  });
  const byLoad = returns.sort((one, other) => loads.loadOfSpan(one) - loads.loadOfSpan(other));
  return byLoad.slice(0, Math.max(MIN_RETURNS_LIMIT, Math.floor(ranges.length * RETURNS_SHARE)));
}

/** Returns the longer of the adjacent ranges, if it is much longer than the range itself. */
function longerNeighbour(ranges: readonly KeyRange[], position: number): KeyRange | undefined {
  const range = ranges[position] as KeyRange;
  const before = ranges[position - 1];
  const after = ranges[position + 1];
  const adjacent = [
    before?.to === range.from - 1 ? before : undefined,
    after?.from === range.to + 1 ? after : undefined,
  ];
  const longer = adjacent.reduce((best, other) =>
    best === undefined || (other !== undefined && spanLength(other) > spanLength(best)) ? other : best,
  );
  const isMuchLonger =
    longer !== undefined && spanLength(longer) > spanLength(range) * MIN_NEIGHBOUR_LENGTH_RATIO;
  return isMuchLonger ? longer : undefined;
}

interface MoveSearch {
  readonly owned: ReadonlyMap<UpstreamId, readonly KeyRange[]>;
  readonly serversById: ReadonlyMap<UpstreamId, RangeServer>;
  readonly loads: KeyLoads;
  readonly use: OwnerLoads;
  readonly goal: BalanceGoal;
  readonly weigher: MoveWeigher | null;
  readonly searched: SearchCount;
  /** Moves of this plan by the owner that they take keys off. */
  readonly planned: Map<UpstreamId, readonly PlannedSpan[]>;
}

/**
 * Returns the move that helps most: one of about the surplus if there is such a span, otherwise of decreasing shares of it. A
 * single key may carry more than that; it moves if its next owner is then still less busy than the previous one.
 */
function spanToMove(search: MoveSearch, busy: RangeServer, idle: RangeServer): PlannedSpan | undefined {
  const { loads, use, goal, weigher } = search;
  const targetUse = Math.max(use.meanUtilisation(), goal.minTargetUse) * TARGET_FACTOR;
  const surplus = (use.utilisationOf(busy) - targetUse) * capacityOf(busy);
  const spareCapacity = (targetUse - use.utilisationOf(idle)) * capacityOf(idle);
  const most = (use.loadOf(busy.upstream) - use.loadOf(idle.upstream)) * MAX_DIFFERENCE_SHARE;
  const owned = search.owned.get(busy.upstream) ?? [];
  for (const share of SURPLUS_SHARES) {
    const wanted = Math.min(surplus, spareCapacity) * share;
    if (wanted < MIN_SHIFT_SHARE * capacityOf(idle)) {
      return undefined;
    }
    const span = shortestSpan(owned, loads, { wanted, most }, plannedOff(search, busy), search.searched);
    const move = span === undefined ? undefined : { from: span.from, to: span.to, target: idle.upstream };
    const accepted =
      move === undefined || weigher === null
        ? move
        : weigher.weigh(move, { from: busy, to: idle, use, loads });
    if (accepted !== undefined) {
      return accepted;
    }
  }
  return undefined;
}
