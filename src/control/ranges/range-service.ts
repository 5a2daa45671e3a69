/**
 * The leader's work on the ranges of one service: decides owners, has the owners before give up, and keeps grants up.
 * Each decision is a change of the registry that names the fence it relies on; calls follow what is committed.
 */
import type { TimedGrantTimings } from '../../lease/timed-grants.js';
import type { MonotonicMillis, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import { KeyLoads } from '../../placement/ranges/key-loads.js';
import {
  divideSpan,
  type PlannedSpan,
  planMoves,
  type RangeServer,
  ServerLoads,
  spreadSpan,
} from '../../placement/ranges/range-planner.js';
import type { RangeUpdate, Registry, UpstreamRecord } from '../../registry/types.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { HolderTable } from './holder-table.js';
import { RangeGrants } from './range-grants.js';
import { RangeReleases, type ReleasedPiece } from './range-releases.js';

/** Keys are given out for the first time once no further upstream came for this long, or after the longest wait. */
const GATHER_MILLIS = 1500;
const LONGEST_GATHER_MILLIS = 4000;
/** Time between two looks at the balance of loads. */
const BALANCE_MILLIS = 500;
/** After a report, others are waited for this long. */
const REPORTS_GATHER_MILLIS = 120;
/** Shortest time between two looks at the balance: each move is news for every router. */
const LEAST_BALANCE_MILLIS = 350;
/** Time between two joins of neighbouring ranges. */
const JOIN_MILLIS = 5000;
/** An upstream that wasn't heard for this many heartbeats gets no further keys. */
const SILENT_HEARTBEATS = 3;
/** A release that failed is tried again after this. */
const RELEASE_RETRY_MILLIS = 150;

/** What loads add up to. */
interface LoadView {
  readonly use: ServerLoads;
  /** Load of each owner, or of the one before where there is none. */
  readonly owners: ReadonlyMap<UpstreamId, number>;
}

/** A call without its number. */
export type WantedCall = Omit<GrantCall, 'id'> | Omit<ReleaseCall, 'id'>;

export interface RangeServiceParts {
  readonly service: ServiceName;
  readonly registry: () => Registry;
  readonly holders: HolderTable;
  readonly timings: TimedGrantTimings;
  /** Usual time between two heartbeats of an upstream. */
  readonly heartbeatMillis: number;
}

export class RangeService {
  readonly #parts: RangeServiceParts;
  readonly #loads = new KeyLoads();
  readonly #grants: RangeGrants;
  readonly #releases = new RangeReleases();
  /** Changes that are proposed. What they take off an owner is not granted any more. */
  #proposed: readonly RangeUpdate[] = [];
  #servers: readonly RangeServer[] = [];
  /** Loads as one decision sees them, once it asked; adding them up isn't free. */
  #view: LoadView | null = null;
  #serversSince: MonotonicMillis;
  readonly #since: MonotonicMillis;
  #balanceAt: MonotonicMillis;
  #balancedAt = Number.NEGATIVE_INFINITY;
  #joinAt: MonotonicMillis;

  constructor(parts: RangeServiceParts, now: MonotonicMillis) {
    this.#parts = parts;
    this.#grants = new RangeGrants(parts.timings);
    this.#since = now;
    this.#serversSince = now;
    this.#balanceAt = now + BALANCE_MILLIS;
    this.#joinAt = now + JOIN_MILLIS;
  }

  loadReported(key: number, workMillis: number, now: MonotonicMillis): void {
    this.#loads.add(key, workMillis, now);
    const soonest = Math.max(now + REPORTS_GATHER_MILLIS, this.#balancedAt + LEAST_BALANCE_MILLIS);
    this.#balanceAt = Math.min(this.#balanceAt, soonest);
  }

  /** Whether an upstream owns keys, or may have to give some up. */
  isHolder(upstream: UpstreamId): boolean {
    return this.#ranges().some(({ owner, former }) => owner === upstream || former === upstream);
  }

  /** Owners to decide now; empty: none. They are to be proposed, and `proposalSettled` called. */
  decide(now: MonotonicMillis): readonly RangeUpdate[] {
    this.#proposed = this.#decide(now);
    return this.#proposed;
  }

  #decide(now: MonotonicMillis): readonly RangeUpdate[] {
    this.#lookAtServers(now);
    const ranges = this.#ranges();
    this.#grants.keepOnly(ranges);
    this.#releases.keepOnly(new Set(ranges.filter(({ owner }) => owner === null).map(({ fence }) => fence)));
    if (this.#servers.length === 0) {
      return [];
    }
    this.#view = null;
    const updates = ranges.flatMap((range) =>
      range.owner === null ? this.#assign(range, now) : this.#takeOff(range, range.owner, now),
    );
    if (updates.length > 0 || now < this.#balanceAt) {
      return updates;
    }
    this.#balanceAt = now + BALANCE_MILLIS;
    this.#balancedAt = now;
    const moves = this.#balance(ranges);
    if (moves.length > 0 || now < this.#joinAt) {
      return moves;
    }
    this.#joinAt = now + JOIN_MILLIS;
    return joinNeighbours(ranges);
  }

  /** Share of its capacity that each upstream uses, in percent, for the log. */
  describeUse(): Readonly<Record<UpstreamId, number>> {
    const { use } = this.#loadView();
    const percent = (server: RangeServer): number => Math.round(use.useOf(server) * 100);
    return Object.fromEntries(this.#servers.map((server) => [server.upstream, percent(server)]));
  }

  /** What was decided came about, or didn't. */
  proposalSettled(isApplied: boolean): void {
    this.#proposed = [];
    if (!isApplied) {
      this.#releases.forgetPlans();
    }
  }

  /** Calls that are due now. */
  takeCalls(now: MonotonicMillis): WantedCall[] {
    return this.#ranges().flatMap((range) =>
      range.owner === null ? this.#releaseCalls(range, now) : this.#grantCalls(range, range.owner, now),
    );
  }

  callEnded(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    if (call.kind === 'grant') {
      this.#grantEnded(call, outcome, now);
    } else {
      this.#releaseEnded(call, outcome, now);
    }
  }

  nextDeadline(): MonotonicMillis {
    let deadline = this.#balanceAt;
    for (const range of this.#ranges()) {
      deadline = Math.min(deadline, this.#nextOf(range));
    }
    return deadline;
  }

  #nextOf(range: KeyRange): MonotonicMillis {
    if (range.owner !== null) {
      const grant = this.#grants.find(range.fence, range.from, range.to);
      return grant === undefined || grant.isAsked ? Number.POSITIVE_INFINITY : grant.nextAt;
    }
    return this.#releases.nextAt(range);
  }

  #ranges(): readonly KeyRange[] {
    return this.#parts.registry().ranges(this.#parts.service);
  }

  #record(upstream: UpstreamId): UpstreamRecord | undefined {
    return this.#parts.registry().upstreams().get(upstream);
  }

  /** Upstreams that may be given keys. */
  #lookAtServers(now: MonotonicMillis): void {
    const servers: RangeServer[] = [];
    for (const { definition } of this.#parts.registry().upstreams().values()) {
      const { id, service, leaving, announced } = definition;
      if (service === this.#parts.service && !leaving && announced !== undefined && this.#isWell(id, now)) {
        servers.push({ upstream: id, slots: announced.slots });
      }
    }
    if (servers.length !== this.#servers.length) {
      this.#serversSince = now;
    }
    this.#servers = servers;
  }

  #isWell(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const { holders, heartbeatMillis } = this.#parts;
    const isHeard = now - holders.heardAt(upstream) < heartbeatMillis * SILENT_HEARTBEATS;
    return isHeard && !holders.hasEnded(upstream);
  }

  #isServer(upstream: UpstreamId): boolean {
    return this.#servers.some((server) => server.upstream === upstream);
  }

  /** Ends the ownership of an upstream that leaves, is gone, or may hold nothing any more. */
  #takeOff(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): RangeUpdate[] {
    const record = this.#record(owner);
    if (record === undefined || this.#parts.holders.isLost(owner, now)) {
      return this.#give(range, this.#spread(range, owner));
    }
    if (record.definition.leaving) {
      this.#releases.plan(this.#spread(range, owner));
      return [updateOf(range, range, null, owner)];
    }
    const isSuperseded = this.#grants.find(range.fence, range.from, range.to)?.isSuperseded ?? false;
    return isSuperseded ? [updateOf(range, range, owner, null)] : [];
  }

  #loadView(): LoadView {
    if (this.#view === null) {
      const ranges = this.#ranges();
      const use = new ServerLoads(this.#servers, ranges, this.#loads);
      this.#view = { use, owners: loadsByOwner(ranges, use) };
    }
    return this.#view;
  }

  /** The load of an owner that went was counted before anything was given away. */
  #spread(range: KeyRange, owner: UpstreamId | null): PlannedSpan[] {
    const { use, owners } = this.#loadView();
    const ownerLoad = owner === null ? undefined : owners.get(owner);
    return spreadSpan(range, this.#loads, use, ownerLoad ?? use.ofSpan(range));
  }

  /** Gives pieces that their owner before has given up to the next one. */
  #assign(range: KeyRange, now: MonotonicMillis): RangeUpdate[] {
    if (range.fence === 0 && range.former === null) {
      return this.#isGathered(now) ? this.#give(range, divideSpan(range, this.#servers)) : [];
    }
    const pieces = this.#releases.piecesOf(range, now, () => this.#spread(range, range.former));
    return pieces
      .filter((piece) => this.#isReleased(piece, range, now))
      .map((piece) => this.#next(piece, range));
  }

  #next(piece: ReleasedPiece, range: KeyRange): RangeUpdate {
    const target = this.#isServer(piece.target)
      ? piece.target
      : (this.#loadView().use.leastUsed(null)?.upstream ?? piece.target);
    this.#grants.handOver(piece.from, piece.to, piece.handover);
    return updateOf(range, piece, target, null);
  }

  #isReleased(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): boolean {
    const isOver =
      former === null || this.#record(former) === undefined || !this.#parts.holders.mayHold(former, now);
    return piece.isReleased || isOver;
  }

  #give(range: KeyRange, spans: readonly PlannedSpan[]): RangeUpdate[] {
    return spans.map((span) => updateOf(range, span, span.target, null));
  }

  #isGathered(now: MonotonicMillis): boolean {
    return now - this.#serversSince >= GATHER_MILLIS || now - this.#since >= LONGEST_GATHER_MILLIS;
  }

  /** Takes keys off servers that are much busier than the others. */
  #balance(ranges: readonly KeyRange[]): RangeUpdate[] {
    if (ranges.some(({ owner }) => owner === null)) {
      return [];
    }
    const moves = planMoves(ranges, this.#loads, this.#servers);
    this.#releases.plan(moves);
    return moves.flatMap((move) => {
      const range = ranges.find(({ from, to }) => from <= move.from && move.to <= to);
      return range === undefined ? [] : [updateOf(range, move, null, range.owner)];
    });
  }

  #grantCalls(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): WantedCall[] {
    const grant = this.#grants.of(range, now);
    const record = this.#record(owner);
    const isDue = !grant.isAsked && now >= grant.nextAt && !this.#isBeingTaken(range);
    if (record === undefined || record.definition.leaving || !isDue) {
      return [];
    }
    grant.isAsked = true;
    const { from, to, fence } = range;
    const { holdMillis } = this.#parts.timings;
    const { address } = record.definition;
    const { handover } = grant;
    return [{ kind: 'grant', upstream: owner, address, from, to, fence, holdMillis, handover }];
  }

  #isBeingTaken({ from, to }: KeyRange): boolean {
    return this.#proposed.some((update) => update.from <= to && update.to >= from);
  }

  #releaseCalls(range: KeyRange, now: MonotonicMillis): WantedCall[] {
    const { former, fence } = range;
    const record = former === null ? undefined : this.#record(former);
    if (former === null || record === undefined) {
      return [];
    }
    const { address } = record.definition;
    const due = this.#releases
      .piecesOf(range, now, () => [])
      .filter((piece) => !piece.isAsked && !piece.isReleased && now >= piece.nextAt);
    return due.map((piece) => {
      piece.isAsked = true;
      const { from, to } = piece;
      return { kind: 'release', upstream: former, address, from, to, fence };
    });
  }

  #grantEnded(call: GrantCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const grant = this.#grants.find(call.fence, call.from, call.to);
    if (grant === undefined) {
      return;
    }
    if (outcome.type === 'accepted') {
      this.#grants.granted(grant, now);
      return;
    }
    grant.isSuperseded = outcome.type === 'superseded';
    this.#grants.failed(grant, now);
  }

  #releaseEnded(call: ReleaseCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const piece = this.#releases.find(call.fence, call.from, call.to);
    if (piece === undefined) {
      return;
    }
    piece.isAsked = false;
    piece.nextAt = now + RELEASE_RETRY_MILLIS;
    if (outcome.type === 'accepted') {
      piece.isReleased = true;
      piece.handover = outcome.handover;
    }
  }
}

function loadsByOwner(ranges: readonly KeyRange[], use: ServerLoads): ReadonlyMap<UpstreamId, number> {
  const loads = new Map<UpstreamId, number>();
  for (const range of ranges) {
    const owner = range.owner ?? range.former;
    if (owner !== null) {
      loads.set(owner, (loads.get(owner) ?? 0) + use.ofSpan(range));
    }
  }
  return loads;
}

/**
 * Puts neighbours of one owner under one fence, so that one grant stands for them. The owner holds them meanwhile, and
 * nobody else does.
 */
function joinNeighbours(ranges: readonly KeyRange[]): RangeUpdate[] {
  return ranges.flatMap((range, position) => {
    const isAlike = (other: KeyRange | undefined): boolean =>
      range.owner !== null && other?.owner === range.owner;
    const joins = isAlike(ranges[position - 1]) || isAlike(ranges[position + 1]);
    return joins ? [updateOf(range, range, range.owner, null)] : [];
  });
}

function updateOf(
  range: KeyRange,
  { from, to }: { readonly from: number; readonly to: number },
  owner: UpstreamId | null,
  former: UpstreamId | null,
): RangeUpdate {
  return { from, to, expectedFence: range.fence, owner, former };
}
