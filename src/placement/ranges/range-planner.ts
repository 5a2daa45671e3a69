/**
 * Which upstream should own which range of numeric keys. Moving keys is dear, so ranges stay where they are unless their
 * owner goes or is much busier than the others; then the fewest keys that carry enough load move.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import { type KeyRange, type KeySpan, LARGEST_KEY, spanLength } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';

/** An upstream that may own ranges. */
export interface RangeServer {
  readonly upstream: UpstreamId;
  /** Requests that it works on at once. */
  readonly slots: number;
}

/** A span and who should own it. */
export interface PlannedSpan extends KeySpan {
  readonly target: UpstreamId;
}

const MILLIS_PER_SECOND = 1000;
/** An owner is too busy when it is this much busier than the average, as a factor and as a share of its capacity. */
const BUSY_FACTOR = 1.2;
const BUSY_MARGIN = 0.08;
/** Owners are brought to this level, as a factor on the average: an overwhelmed one's own queue makes that look higher. */
const LEVEL_FACTOR = 1.1;
/** Below this share of its capacity an owner is never too busy. */
const LEAST_BUSY = 0.3;
/** A move that shifts less than this share of one server's capacity isn't worth it. */
const LEAST_SHIFT = 0.03;
/** How far the load of a moved span may be from what is wanted. */
const SHIFT_LEAST_FACTOR = 0.75;
const SHIFT_MOST_FACTOR = 1.35;
/** Shares of the surplus that a move is looked for, one after the other. */
const WANTED_SHARES = [1, 0.5, 0.25, 0.1] as const;
/** A single key moves if it carries at most this share of the difference between the two owners. */
const MOST_OF_DIFFERENCE = 0.7;
/** Most keys that one move takes, as a share of all keys. */
const MOST_KEYS_SHARE = 0.05;
/** Moves planned at once. */
const MOVES_AT_ONCE = 12;
/** Pieces that the keys of an owner which goes are cut into, so that no one server gets them all. */
const SPREAD_PIECES = 4;
/** Load that counts for keys nobody asked for lately, as a share of a server's capacity for all keys. */
const IDLE_LOAD_SHARE = 0.05;

/** Cuts a span among servers by their slots; for keys that nobody owned before. */
export function divideSpan(span: KeySpan, servers: readonly RangeServer[]): PlannedSpan[] {
  const total = servers.reduce((sum, { slots }) => sum + slots, 0);
  const planned: PlannedSpan[] = [];
  let before = 0;
  let from = span.from;
  for (const { upstream, slots } of servers) {
    before += slots;
    const to = span.from + Math.round((spanLength(span) * before) / total) - 1;
    if (to >= from) {
      planned.push({ from, to, target: upstream });
      from = to + 1;
    }
  }
  return planned;
}

/** Load by owner, in milliseconds of work a second. */
export class ServerLoads {
  readonly #loads = new Map<UpstreamId, number>();

  constructor(
    private readonly servers: readonly RangeServer[],
    ranges: readonly KeyRange[],
    private readonly loads: KeyLoads,
  ) {
    for (const range of ranges) {
      if (range.owner !== null) {
        this.add(range.owner, range);
      }
    }
  }

  add(upstream: UpstreamId, span: KeySpan): void {
    this.shift(upstream, this.loads.ofSpan(span) + idleLoad(span));
  }

  shift(upstream: UpstreamId, load: number): void {
    this.#loads.set(upstream, (this.#loads.get(upstream) ?? 0) + load);
  }

  of(upstream: UpstreamId): number {
    return this.#loads.get(upstream) ?? 0;
  }

  /** Load of a span, and what its idle keys count for. */
  ofSpan(span: KeySpan): number {
    return this.loads.ofSpan(span) + idleLoad(span);
  }

  /** Share of its capacity that a server uses. */
  useOf(server: RangeServer): number {
    return this.of(server.upstream) / capacityOf(server);
  }

  /** The least used server but `except`; `undefined` if there is no other. */
  leastUsed(except: UpstreamId | null): RangeServer | undefined {
    let best: RangeServer | undefined;
    for (const server of this.servers) {
      const isCandidate = server.upstream !== except;
      if (isCandidate && (best === undefined || this.useOf(server) < this.useOf(best))) {
        best = server;
      }
    }
    return best;
  }

  /** Servers that are used more than `most`, the most used first. */
  busiest(most: number): RangeServer[] {
    const busy = this.servers.filter((server) => this.useOf(server) > most);
    return busy.sort((one, other) => this.useOf(other) - this.useOf(one));
  }

  /** Share of all servers' capacity that is used. */
  meanUse(): number {
    const capacity = this.servers.reduce((sum, server) => sum + capacityOf(server), 0);
    const load = this.servers.reduce((sum, { upstream }) => sum + this.of(upstream), 0);
    return load / Math.max(1, capacity);
  }
}

/**
 * Cuts keys of an owner that goes into pieces, each for the least used server then. `ownerLoad` is the load of all keys
 * that it has: a span that carries little of it stays whole, so that owners which go one after the other don't cut the keys
 * ever finer.
 */
export function spreadSpan(
  span: KeySpan,
  loads: KeyLoads,
  servers: ServerLoads,
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
function endOfPiece(span: KeySpan, loads: KeyLoads, wanted: number): number {
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

/** Moves that take load off servers which are much busier than the others. */
export function planMoves(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
): PlannedSpan[] {
  const use = new ServerLoads(servers, ranges, loads);
  const moves: PlannedSpan[] = [];
  for (let count = 0; count < MOVES_AT_ONCE; count += 1) {
    const move = nextMove(ranges, loads, use, moves);
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

function nextMove(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  use: ServerLoads,
  planned: readonly PlannedSpan[],
): PlannedSpan | undefined {
  const mean = use.meanUse();
  const most = Math.max(LEAST_BUSY, mean * BUSY_FACTOR, mean + BUSY_MARGIN);
  for (const busy of use.busiest(most)) {
    const idle = use.leastUsed(busy.upstream);
    const span = idle === undefined ? undefined : spanToMove({ ranges, loads, use, planned }, busy, idle);
    if (idle !== undefined && span !== undefined) {
      const load = loads.ofSpan(span);
      use.shift(busy.upstream, -load);
      use.shift(idle.upstream, load);
      return { from: span.from, to: span.to, target: idle.upstream };
    }
  }
  return undefined;
}

interface MoveSearch {
  readonly ranges: readonly KeyRange[];
  readonly loads: KeyLoads;
  readonly use: ServerLoads;
  readonly planned: readonly PlannedSpan[];
}

/**
 * The span whose move helps most: about the surplus if there is such a one, else less and less. A single key may carry more
 * than is wanted; it moves if the one that takes it is still less busy then.
 */
function spanToMove(search: MoveSearch, busy: RangeServer, idle: RangeServer): KeySpan | undefined {
  const { ranges, loads, use, planned } = search;
  const level = Math.max(use.meanUse(), LEAST_BUSY) * LEVEL_FACTOR;
  const surplus = (use.useOf(busy) - level) * capacityOf(busy);
  const room = (level - use.useOf(idle)) * capacityOf(idle);
  const most = (use.of(busy.upstream) - use.of(idle.upstream)) * MOST_OF_DIFFERENCE;
  const owned = ranges.filter(({ owner }) => owner === busy.upstream);
  for (const share of WANTED_SHARES) {
    const wanted = Math.min(surplus, room) * share;
    if (wanted < LEAST_SHIFT * capacityOf(idle)) {
      return undefined;
    }
    const span = shortestSpan(owned, loads, { wanted, most }, planned);
    if (span !== undefined) {
      return span;
    }
  }
  return undefined;
}

/** How much load a move should shift, in milliseconds of work a second. */
interface Shift {
  readonly wanted: number;
  /** The most that a single key may carry. */
  readonly most: number;
}

/** The fewest neighbouring keys of one owner that carry about the load wanted. */
function shortestSpan(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  shift: Shift,
  planned: readonly PlannedSpan[],
): KeySpan | undefined {
  let best: KeySpan | undefined;
  for (const range of ranges) {
    for (const free of withoutSpans(range, planned)) {
      const span = shortestSpanIn(free, loads, shift);
      if (span !== undefined && (best === undefined || spanLength(span) < spanLength(best))) {
        best = span;
      }
    }
  }
  return best;
}

/** What is left of a span without those that are planned already. */
function withoutSpans(span: KeySpan, planned: readonly KeySpan[]): KeySpan[] {
  let parts: KeySpan[] = [{ from: span.from, to: span.to }];
  for (const { from, to } of planned) {
    parts = parts.flatMap((part) => {
      if (to < part.from || from > part.to) {
        return [part];
      }
      const before = { from: part.from, to: from - 1 };
      const after = { from: to + 1, to: part.to };
      return [before, after].filter((rest) => rest.to >= rest.from);
    });
  }
  return parts;
}

function shortestSpanIn(range: KeySpan, loads: KeyLoads, { wanted, most }: Shift): KeySpan | undefined {
  const mostKeys = Math.ceil((LARGEST_KEY + 1) * MOST_KEYS_SHARE);
  const busy = loads.busyIn(range);
  const least = wanted * SHIFT_LEAST_FACTOR;
  let best: KeySpan | undefined;
  let first = busy.first;
  for (let last = busy.first; last < busy.end; last += 1) {
    const end = last + 1;
    const isTooLong = (): boolean => loads.keyAt(last) - loads.keyAt(first) >= mostKeys;
    while (first < last && (loads.ofPart({ first: first + 1, end }) >= least || isTooLong())) {
      first += 1;
    }
    const load = loads.ofPart({ first, end });
    const isMost = load <= wanted * SHIFT_MOST_FACTOR || (first === last && load <= most);
    const span = { from: loads.keyAt(first), to: loads.keyAt(last) };
    if (load >= least && isMost && (best === undefined || spanLength(span) < spanLength(best))) {
      best = span;
    }
  }
  return best;
}

/** Load that keys count for which nobody asked for lately, so that they are spread too. */
const IDLE_KEY_LOAD = (IDLE_LOAD_SHARE * MILLIS_PER_SECOND) / (LARGEST_KEY + 1);

function idleLoad(span: KeySpan): number {
  return spanLength(span) * IDLE_KEY_LOAD;
}

function capacityOf({ slots }: RangeServer): number {
  return slots * MILLIS_PER_SECOND;
}
