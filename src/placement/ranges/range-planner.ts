/**
 * Which upstream should own which range of numeric keys. Moving keys is dear, so ranges stay where they are unless their
 * owner goes or is much busier than the others; then the fewest keys that carry enough load move.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import { type KeyRange, type KeySpan, spanLength } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';
import type { MoveWeighing, WeighedSpan } from './move-weighing.js';
import { capacityOf, idleLoad, OwnerLoads, type RangeServer } from './owner-loads.js';
import { shortestSpan } from './span-search.js';

/** A span and who should own it. */
export interface PlannedSpan extends KeySpan {
  readonly target: UpstreamId;
  /** What the move was weighed to cost and gain; left out: it wasn't weighed. */
  readonly weighed?: WeighedSpan;
}

/** An owner is too busy when it is this much busier than the average, as a factor and as a share of its capacity. */
const BUSY_FACTOR = 1.2;
const BUSY_MARGIN = 0.08;
/** Owners are brought to this level, as a factor on the average: an overwhelmed one's own queue makes that look higher. */
const LEVEL_FACTOR = 1.1;
/** When owners count as too busy, as shares of their capacity. */
export interface BalanceGoal {
  /** Below this an owner is never too busy. */
  readonly leastBusy: number;
  /** Owners aren't brought lower than to about this. */
  readonly leastLevel: number;
}

/** Evens out what owners steadily have to do. */
export const EVEN_GOAL: BalanceGoal = { leastBusy: 0.3, leastLevel: 0.3 };
/** Helps owners that were just overwhelmed, and nobody else: what is measured over a short time is partly chance. */
export const RELIEF_GOAL: BalanceGoal = { leastBusy: 0.75, leastLevel: 0.5 };
/** A move that shifts less than this share of one server's capacity isn't worth it. */
const LEAST_SHIFT = 0.03;
/** Shares of the surplus that a move is looked for, one after the other. */
const WANTED_SHARES = [1, 0.5, 0.25, 0.1] as const;
/** A single key moves if it carries at most this share of the difference between the two owners. */
const MOST_OF_DIFFERENCE = 0.7;
/** A single key fills its owner from this share of its capacity on. */
const FILLING_SHARE = 0.6;
/** How much larger another server must be for such a key to move. */
const LEAST_GAIN = 1.25;
/** The same for a key that no server bears: most of what it asks is refused there too, so the move must help many. */
const LEAST_UNBEARABLE_GAIN = 1.5;
/** A range that takes less of a server's capacity may go to a neighbour's owner, if that range is so much longer. */
const MUCH_LONGER = 3;
const IDLE_SHARE = 0.02;
/** Returns planned at once: at least so many, and this share of all ranges, so that they keep up with cuts at any size. */
const LEAST_RETURNS_AT_ONCE = 8;
const RETURNS_SHARE = 1 / 6;
/**
 * Moves planned at once: at least so many, and this share of the servers. A run of hot keys at one owner is spread over as many
 * servers as it needs in one or two plans; with a fixed number that took the longer, the more servers there are.
 */
const LEAST_MOVES_AT_ONCE = 12;
const MOVES_SHARE = 1 / 2;
/** Pieces that the keys of an owner which goes are cut into, so that no one server gets them all. */
const SPREAD_PIECES = 4;

/** Cuts a span among servers by their slots and what is known of their speeds; for keys that nobody owned before. */
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
 * Cuts keys of an owner that goes into pieces, each for the least used server then. `ownerLoad` is the load of all keys
 * that it has: a span that carries little of it stays whole, so that owners which go one after the other don't cut the keys
 * ever finer.
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
    const to = isLast ? span.to : endOfPiece({ from, to: span.to }, loads, ownerLoad / SPREAD_PIECES);
    const target = servers.leastUsed(null);
    if (target === undefined) {
      return [];
    }
    planned.push({ from, to, target: target.upstream });
    servers.add(target.upstream, { from, to });
    from = to + 1;
  }
  return planned;
}

/** Last key of a piece that begins a span and carries about `wanted`, idle keys included. */
export function endOfPiece(span: KeySpan, loads: KeyLoads, wanted: number): number {
  let low = span.from;
  let high = span.to;
  while (low < high) {
    const middle = (low + high) >> 1;
    const piece = { from: span.from, to: middle };
    if (loads.ofSpan(piece) + idleLoad(piece) < wanted) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/**
 * Moves that take load off servers which are much busier than the others. `underWay`: spans without owner and who gets them
 * next; their load counts there. `weighing`: moves are made only where they gain more than they cost; `null`: none is weighed.
 */
export function planMoves(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
  goal: BalanceGoal = EVEN_GOAL,
  underWay: readonly PlannedSpan[] = [],
  weighing: MoveWeighing | null = null,
): PlannedSpan[] {
  const use = new OwnerLoads(servers, ranges, loads);
  for (const span of underWay) {
    use.add(span.target, span);
  }
  const owned = rangesByOwner(ranges);
  if (weighing !== null) {
    leaveOutUnbearable(owned, loads, use);
  }
  const moves: PlannedSpan[] = [];
  const most = Math.max(LEAST_MOVES_AT_ONCE, Math.floor(servers.length * MOVES_SHARE));
  for (let count = 0; count < most; count += 1) {
    const move = nextMove({ owned, loads, use, goal, weighing, planned: moves });
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/** What a single key asks beyond its owner is refused wherever it is, so it makes no case for moving other keys. */
function leaveOutUnbearable(
  owned: ReadonlyMap<UpstreamId, readonly KeyRange[]>,
  loads: KeyLoads,
  use: OwnerLoads,
): void {
  for (const server of use.busiest(1)) {
    const key = hottestKey(owned.get(server.upstream) ?? [], loads);
    const beyond = key === undefined ? 0 : loads.of(key) - capacityOf(server);
    if (beyond > 0) {
      use.shift(server.upstream, -beyond);
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

function nextMove(search: MoveSearch): PlannedSpan | undefined {
  const { loads, use, goal, weighing } = search;
  const mean = use.meanUse();
  const most = Math.max(goal.leastBusy, mean * BUSY_FACTOR, mean + BUSY_MARGIN);
  for (const busy of use.busiest(most)) {
    const move = hotKeyMove(search, busy) ?? spanMove(search, busy);
    if (move !== undefined) {
      const load = loads.ofSpan(move);
      use.shift(busy.upstream, -(weighing === null ? load : Math.min(load, capacityOf(busy))));
      use.shift(move.target, load);
      return move;
    }
  }
  return undefined;
}

/**
 * A single key that nearly fills its owner, or more, goes to the server that can do most for it. Others' keys there move
 * away in turn.
 */
function hotKeyMove(search: MoveSearch, busy: RangeServer): PlannedSpan | undefined {
  const { owned, loads, use, planned, weighing } = search;
  const key = hottestKey(owned.get(busy.upstream) ?? [], loads);
  const load = key === undefined ? 0 : loads.of(key);
  if (key === undefined || load < capacityOf(busy) * FILLING_SHARE || isPlanned(planned, key)) {
    return undefined;
  }
  const target = use.largest((server) => server !== busy && use.of(server.upstream) < load);
  if (target === undefined || capacityOf(target) < capacityOf(busy) * leastGain(search, key, target)) {
    return undefined;
  }
  const move = { from: key, to: key, target: target.upstream };
  return weighing === null ? move : weighing.weigh(move, { from: busy, to: target, use, loads });
}

/** How many times larger a server must be for a key to move there; `Infinity`: the key doesn't move any more. */
function leastGain({ loads, weighing }: MoveSearch, key: number, target: RangeServer): number {
  const isUnbearable = loads.of(key) > capacityOf(target);
  if (weighing === null || !isUnbearable) {
    return LEAST_GAIN;
  }
  return weighing.hasMoved(key) ? Number.POSITIVE_INFINITY : LEAST_UNBEARABLE_GAIN;
}

function hottestKey(ranges: readonly KeyRange[], loads: KeyLoads): number | undefined {
  const keys = ranges.map((range) => loads.hottestIn(range));
  return keys.reduce((hottest, key) => {
    const isHotter = key !== undefined && (hottest === undefined || loads.of(key) > loads.of(hottest));
    return isHotter ? key : hottest;
  }, undefined);
}

function isPlanned(planned: readonly PlannedSpan[], key: number): boolean {
  return planned.some(({ from, to }) => from <= key && key <= to);
}

function spanMove(search: MoveSearch, busy: RangeServer): PlannedSpan | undefined {
  const idle = search.use.leastUsed(busy.upstream);
  return idle === undefined ? undefined : spanToMove(search, busy, idle);
}

/**
 * Short ranges with little load, which are better off with the owner of a neighbour: they were cut out while they were hot.
 * The idlest come first. Nobody gives up its only range.
 */
export function planReturns(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
): PlannedSpan[] {
  const known = new Map(servers.map((server) => [server.upstream, server]));
  const owned = rangesByOwner(ranges);
  const isOnly = (owner: UpstreamId): boolean => owned.get(owner)?.length === 1;
  const returns = ranges.flatMap((range, position) => {
    const heir = known.get(longerNeighbour(ranges, position)?.owner ?? '');
    const isOther = range.owner !== null && heir !== undefined && heir.upstream !== range.owner;
    const isIdle = isOther && !isOnly(range.owner) && loads.ofSpan(range) < capacityOf(heir) * IDLE_SHARE;
    return isIdle ? [{ from: range.from, to: range.to, target: heir.upstream }] : [];
  });
  const byLoad = returns.sort((one, other) => loads.ofSpan(one) - loads.ofSpan(other));
  return byLoad.slice(0, Math.max(LEAST_RETURNS_AT_ONCE, Math.floor(ranges.length * RETURNS_SHARE)));
}

/** The longer range beside one, if it is much longer. */
function longerNeighbour(ranges: readonly KeyRange[], position: number): KeyRange | undefined {
  const range = ranges[position] as KeyRange;
  const before = ranges[position - 1];
  const after = ranges[position + 1];
  const beside = [
    before?.to === range.from - 1 ? before : undefined,
    after?.from === range.to + 1 ? after : undefined,
  ];
  const longer = beside.reduce((best, other) =>
    best === undefined || (other !== undefined && spanLength(other) > spanLength(best)) ? other : best,
  );
  const isMuchLonger = longer !== undefined && spanLength(longer) > spanLength(range) * MUCH_LONGER;
  return isMuchLonger ? longer : undefined;
}

interface MoveSearch {
  readonly owned: ReadonlyMap<UpstreamId, readonly KeyRange[]>;
  readonly loads: KeyLoads;
  readonly use: OwnerLoads;
  readonly goal: BalanceGoal;
  readonly weighing: MoveWeighing | null;
  readonly planned: readonly PlannedSpan[];
}

/**
 * The span whose move helps most: about the surplus if there is such a one, else less and less. A single key may carry more
 * than is wanted; it moves if the one that takes it is still less busy then.
 */
function spanToMove(search: MoveSearch, busy: RangeServer, idle: RangeServer): PlannedSpan | undefined {
  const { loads, use, goal, planned, weighing } = search;
  const level = Math.max(use.meanUse(), goal.leastLevel) * LEVEL_FACTOR;
  const surplus = (use.useOf(busy) - level) * capacityOf(busy);
  const room = (level - use.useOf(idle)) * capacityOf(idle);
  const most = (use.of(busy.upstream) - use.of(idle.upstream)) * MOST_OF_DIFFERENCE;
  const owned = search.owned.get(busy.upstream) ?? [];
  for (const share of WANTED_SHARES) {
    const wanted = Math.min(surplus, room) * share;
    if (wanted < LEAST_SHIFT * capacityOf(idle)) {
      return undefined;
    }
    const span = shortestSpan(owned, loads, { wanted, most }, planned);
    const move = span === undefined ? undefined : { from: span.from, to: span.to, target: idle.upstream };
    const made =
      move === undefined || weighing === null
        ? move
        : weighing.weigh(move, { from: busy, to: idle, use, loads });
    if (made !== undefined) {
      return made;
    }
  }
  return undefined;
}
