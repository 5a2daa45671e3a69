/**
 * The leader's work on the ranges of one service: decides owners, has the owners before give up, and keeps grants up.
 * Each decision is a change of the registry that names the fence it relies on; calls follow what is committed.
 */
import type { TimedGrantTimings } from '../../lease/timed-grants.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { findRange, type KeyRange } from '../../model/key-range.js';
import { KeyLoads } from '../../placement/ranges/key-loads.js';
import { OwnerLoads, type RangeServer } from '../../placement/ranges/owner-loads.js';
import { OwnerSpeeds } from '../../placement/ranges/owner-speeds.js';
import {
  divideSpan,
  EVEN_GOAL,
  type PlannedSpan,
  planMoves,
  planReturns,
  RELIEF_GOAL,
  spreadSpan,
} from '../../placement/ranges/range-planner.js';
import type { RangeUpdate, UpstreamRecord } from '../../registry/types.js';
import { BalanceSchedule } from './balance-schedule.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import { RangeGrants } from './range-grants.js';
import { RangeReleases, type ReleasedPiece } from './range-releases.js';
import { RangeServers, type RangeServersParts } from './range-servers.js';
import { giveSpans, joinNeighbours, takeSpans, updateOf } from './range-updates.js';

/** Half-life of the loads that tell of owners which were just overwhelmed. */
const RECENT_HALF_LIFE_MILLIS = 700;
/** A release that failed is tried again after this. */
const RELEASE_RETRY_MILLIS = 150;

/** What loads add up to. */
interface LoadView {
  readonly use: OwnerLoads;
  /** Load of each owner, or of the one before where there is none. */
  readonly owners: ReadonlyMap<UpstreamId, number>;
}

/** Requests for a key since the last report, and the work that they take at its owner. */
export interface KeyWork {
  readonly requests: number;
  readonly workMillis: number;
}

/** A call without its number. */
export type WantedCall = Omit<GrantCall, 'id'> | Omit<ReleaseCall, 'id'>;

export interface RangeServiceParts extends RangeServersParts {
  readonly timings: TimedGrantTimings;
}

export class RangeService {
  readonly #parts: RangeServiceParts;
  readonly #loads = new KeyLoads();
  /** The same over a short time: a run of keys that became hot must move before the steady loads show it. */
  readonly #recentLoads = new KeyLoads(RECENT_HALF_LIFE_MILLIS);
  readonly #speeds = new OwnerSpeeds();
  readonly #grants: RangeGrants;
  readonly #releases = new RangeReleases();
  /** Changes that are proposed. What they take off an owner is not granted any more. */
  #proposed: readonly RangeUpdate[] = [];
  readonly #servers: RangeServers;
  readonly #schedule: BalanceSchedule;
  /** Loads as one decision sees them, once it asked; adding them up isn't free. */
  #view: LoadView | null = null;

  constructor(parts: RangeServiceParts, now: MonotonicMillis) {
    this.#parts = parts;
    this.#grants = new RangeGrants(parts.timings);
    this.#grants.inherit(parts.registry().ranges(parts.service), now);
    this.#servers = new RangeServers(parts, now, (upstream) => this.#speeds.of(upstream));
    this.#schedule = new BalanceSchedule(now);
  }

  /** Requests for a key, and what they take at its owner. They count as what they would take at the mean upstream. */
  loadReported(key: number, { requests, workMillis }: KeyWork, now: MonotonicMillis): void {
    const owner = this.#ownerOf(key);
    if (owner !== null) {
      this.#speeds.add(owner, requests, workMillis, now);
    }
    const meanMillis = this.#speeds.meanMillis;
    const meanWork = meanMillis === null ? workMillis : requests * meanMillis;
    this.#loads.add(key, meanWork, now);
    this.#recentLoads.add(key, meanWork, now);
    this.#schedule.reported(now);
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
    this.#servers.look(now);
    const ranges = this.#ranges();
    this.#grants.keepOnly(ranges);
    this.#speeds.keepOnly(new Set(ranges.flatMap(({ owner }) => owner ?? [])));
    this.#releases.keepOnly(new Set(ranges.filter(({ owner }) => owner === null).map(({ fence }) => fence)));
    if (this.#servers.list.length === 0) {
      return [];
    }
    this.#view = null;
    const updates = ranges.flatMap((range) =>
      range.owner === null ? this.#assign(range, now) : this.#takeOff(range, range.owner, now),
    );
    if (updates.length > 0 || !this.#schedule.takeBalance(now)) {
      return updates;
    }
    const moves = this.#balance(ranges);
    return this.#schedule.takeJoin(now) ? [...moves, ...this.#tidy(ranges, moves)] : moves;
  }

  /** Keeps the ranges few: each costs renewals. */
  #tidy(ranges: readonly KeyRange[], moves: readonly RangeUpdate[]): RangeUpdate[] {
    const untouched = ranges.filter(
      ({ from, to }) => !moves.some((move) => move.from <= to && move.to >= from),
    );
    const returns = planReturns(untouched, this.#loads, this.#servers.list);
    this.#releases.plan(returns);
    const joins = joinNeighbours(untouched);
    return [...joins, ...takeSpans(untouched, returns)];
  }

  /** Share of its capacity that each upstream uses, in percent, for the log. */
  describeUse(): Readonly<Record<UpstreamId, number>> {
    const { use } = this.#loadView();
    const percent = (server: RangeServer): number => Math.round(use.useOf(server) * 100);
    return Object.fromEntries(this.#servers.list.map((server) => [server.upstream, percent(server)]));
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
    let deadline = this.#schedule.nextAt;
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

  #ownerOf(key: number): UpstreamId | null {
    const ranges = this.#ranges();
    return ranges[findRange(ranges, key)]?.owner ?? null;
  }

  #record(upstream: UpstreamId): UpstreamRecord | undefined {
    return this.#parts.registry().upstreams().get(upstream);
  }

  /** Ends the ownership of an upstream that leaves, is gone, or may hold nothing any more. */
  #takeOff(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): RangeUpdate[] {
    const record = this.#record(owner);
    if (record === undefined || this.#parts.holders.isLost(owner, now)) {
      return giveSpans(range, this.#spread(range, owner));
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
      const use = new OwnerLoads(this.#servers.list, ranges, this.#loads);
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
      return this.#servers.isGathered(now) ? giveSpans(range, divideSpan(range, this.#servers.list)) : [];
    }
    const pieces = this.#releases.piecesOf(range, now, () => this.#spread(range, range.former));
    return pieces
      .filter((piece) => this.#isReleased(piece, range, now))
      .map((piece) => this.#next(piece, range));
  }

  #next(piece: ReleasedPiece, range: KeyRange): RangeUpdate {
    const target = this.#servers.has(piece.target)
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

  /** Takes keys off servers that are much busier than the others; first off those that were just overwhelmed. */
  #balance(ranges: readonly KeyRange[]): RangeUpdate[] {
    const servers = this.#servers.list;
    const underWay = this.#releases.open();
    const relief = planMoves(ranges, this.#recentLoads, servers, RELIEF_GOAL, underWay);
    const moves = relief.length > 0 ? relief : planMoves(ranges, this.#loads, servers, EVEN_GOAL, underWay);
    this.#releases.plan(moves);
    return takeSpans(ranges, moves);
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

function loadsByOwner(ranges: readonly KeyRange[], use: OwnerLoads): ReadonlyMap<UpstreamId, number> {
  const loads = new Map<UpstreamId, number>();
  for (const range of ranges) {
    const owner = range.owner ?? range.former;
    if (owner !== null) {
      loads.set(owner, (loads.get(owner) ?? 0) + use.ofSpan(range));
    }
  }
  return loads;
}
