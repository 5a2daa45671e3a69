/**
 * The leader's work on the ranges of one service: decides owners, has previous owners release keys, and keeps grants
 * renewed. Each decision is a change of the registry that names the fence it is based on; calls follow what is
 * committed.
 */
import type { Epoch, MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { findRange, type KeyRange, type KeySpan } from '../../model/key-range.js';
import { BalancePlanner } from '../../placement/ranges/balance-planner.js';
import { MoveEstimator } from '../../placement/ranges/move-estimator.js';
import type { MoveCostParameters } from '../../placement/ranges/move-worth.js';
import { OwnerLoads, type RangeServer } from '../../placement/ranges/owner-loads.js';
import { OwnerSpeeds } from '../../placement/ranges/owner-speeds.js';
import {
  divideSpan,
  type PlannedSpan,
  planReturns,
  spreadSpan,
} from '../../placement/ranges/range-planner.js';
import type { RangeUpdate, UpstreamRecord } from '../../registry/types.js';
import { BalanceSchedule } from './balance-schedule.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import type { PendingMove } from './heartbeat-carrier.js';
import type { HolderCall, HolderOutcome } from './holder-call.js';
import type { PlannedCall, RangeCarrier, RangeCarrierParts } from './range-carrier.js';
import { RangeReleases, type ReleasedPiece } from './range-releases.js';
import { RangeServers, type RangeServersParts } from './range-servers.js';
import { assignSpans, joinNeighbours, revokeSpans, spanUpdate } from './range-updates.js';

/** Free keys wait this long for their target before they may go to another upstream. */
const TARGET_WAIT_MILLIS = 150;
/**
 * An upstream whose use exceeds the mean by more than this factor plus this share of its capacity does not get such
 * keys so soon.
 */
const SUBSTITUTE_USE_FACTOR = 1.2;
const SUBSTITUTE_USE_MARGIN = 0.08;

/** Aggregated loads. */
interface Loads {
  readonly use: OwnerLoads;
  /** Load by owner, or by previous owner for unowned ranges. */
  readonly owners: ReadonlyMap<UpstreamId, number>;
}

/** Requests for a key since the last report, and the work they take at its owner. */
export interface KeyWork {
  readonly requests: number;
  readonly workMillis: number;
}

/** Number of weighed moves that started, and the sums of their estimated cost and gain. */
export interface WeighedMoves {
  readonly started: number;
  readonly costMillis: number;
  readonly gainMillis: number;
}

/** Creates the carrier of a service. */
export type CreateCarrier = (
  parts: RangeCarrierParts,
  wanted: () => readonly PendingMove[],
  now: MonotonicMillis,
) => RangeCarrier;

/** Logs a decision. */
export type LogRangeEvent = (event: string, fields: Readonly<Record<string, unknown>>) => void;

export interface RangeServiceParts extends RangeServersParts {
  readonly createCarrier: CreateCarrier;
  readonly log: LogRangeEvent;
}

export class RangeService {
  readonly #parts: RangeServiceParts;
  /** Start of this leadership, or of this way of granting. */
  readonly #startedAt: MonotonicMillis;
  readonly #balance = new BalancePlanner();
  readonly #evidence = new MoveEstimator();
  readonly #speeds = new OwnerSpeeds();
  readonly #carrier: RangeCarrier;
  readonly #releases = new RangeReleases();
  /** Proposed changes. Keys that they revoke from an owner are no longer granted. */
  #proposedUpdates: readonly RangeUpdate[] = [];
  readonly #servers: RangeServers;
  readonly #schedule: BalanceSchedule;
  /** Planned moves that wait until their upstreams can be reached. */
  #pendingMoves: readonly PendingMove[] = [];
  /** Owners whose neighbouring ranges are to be joined when they can be notified. */
  #ownersToJoin = new Set<UpstreamId>();
  /** The ranges of the last decision. */
  #syncedRanges: readonly KeyRange[] | null = null;
  readonly #weighed = { started: 0, costMillis: 0, gainMillis: 0 };
  /** Loads for the current decision, computed on first use because adding them up is costly. */
  #loads: Loads | null = null;

  constructor(parts: RangeServiceParts, now: MonotonicMillis) {
    this.#parts = parts;
    this.#startedAt = now;
    const carrierParts = {
      ranges: () => this.#ranges(),
      record: (upstream: UpstreamId) => this.#record(upstream),
      releases: this.#releases,
      isLeaving: ({ definition }: UpstreamRecord) => parts.registry().isLeaving(definition),
      isBeingRevoked: (span: KeySpan) => this.#isBeingRevoked(span),
    };
    this.#carrier = parts.createCarrier(carrierParts, () => this.#pendingMoves, now);
    this.#servers = new RangeServers(parts, now, this.#speeds);
    this.#schedule = new BalanceSchedule(now);
  }

  /**
   * Records requests for a key and their work at its owner. The balance counts the work they would take at the mean
   * upstream.
   */
  onLoadReport(key: number, { requests, workMillis }: KeyWork, now: MonotonicMillis): void {
    const owner = this.#ownerOf(key);
    if (owner !== null) {
      this.#speeds.add(owner, requests, workMillis, now);
    }
    const meanMillis = this.#speeds.meanMillis;
    const meanWork = meanMillis === null ? workMillis : requests * meanMillis;
    this.#balance.add(key, meanWork, now);
    this.#schedule.onLoadReport(now);
  }

  /** Returns whether an upstream owns keys or may have to release some. */
  isHolder(upstream: UpstreamId): boolean {
    return this.#ranges().some(({ owner, former }) => owner === upstream || former === upstream);
  }

  /** Returns whether an upstream may still hold any keys. */
  mayHold(upstream: UpstreamId, now: MonotonicMillis): boolean {
    const held = this.#ranges().filter(({ owner, former }) => owner === upstream || former === upstream);
    return held.some((range) => this.#carrier.lossProof(range, upstream, now) === null);
  }

  /**
   * Returns the owner changes to propose now, possibly none. The caller proposes them and then calls
   * `onProposalSettled`.
   */
  decide(now: MonotonicMillis): readonly RangeUpdate[] {
    this.#proposedUpdates = this.#decide(now);
    return this.#proposedUpdates;
  }

  #decide(now: MonotonicMillis): readonly RangeUpdate[] {
    this.#servers.update(now);
    const ranges = this.#ranges();
    this.#syncRanges(ranges, now);
    if (this.#servers.list.length === 0) {
      return [];
    }
    this.#loads = null;
    const updates = ranges.flatMap((range) =>
      range.owner === null ? this.#assign(range, now) : this.#revoke(range, range.owner, now),
    );
    if (updates.length > 0) {
      return updates;
    }
    if (this.#schedule.startBalanceIfDue(now)) {
      this.#planPending(ranges, now);
    }
    const started = this.#startMoves(now);
    return [...revokeSpans(ranges, started), ...this.#joinRanges(ranges, started, now)];
  }

  /** Updates state derived from the ranges. The registry replaces its lists, so each list is processed once. */
  #syncRanges(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    this.#carrier.syncRanges(ranges, now);
    if (ranges === this.#syncedRanges) {
      return;
    }
    this.#syncedRanges = ranges;
    this.#speeds.keepOnly(new Set(ranges.flatMap(({ owner }) => owner ?? [])));
    this.#releases.keepOnly(ranges.filter(({ owner }) => owner === null));
  }

  /** Plans moves, and joins that keep the number of ranges low: each range costs renewals. */
  #planPending(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    const moves = this.#planMoves(ranges);
    this.#pendingMoves = withOwners(ranges, moves);
    if (!this.#schedule.startJoinIfDue(now)) {
      return;
    }
    const untouched = ranges.filter(
      ({ from, to }) => !moves.some((move) => move.from <= to && move.to >= from),
    );
    const returns = planReturns(untouched, this.#balance.steady, this.#servers.list);
    this.#pendingMoves = [...this.#pendingMoves, ...withOwners(untouched, returns)];
    this.#ownersToJoin = new Set(joinNeighbours(untouched).flatMap(({ owner }) => owner ?? []));
  }

  /** Starts and returns the pending moves that are possible now. */
  #startMoves(now: MonotonicMillis): PendingMove[] {
    const current = this.#pendingMoves.filter(({ from, owner }) => this.#ownerOf(from) === owner);
    const started = current.filter(({ owner, target }) => this.#carrier.canMove(owner, target, now));
    this.#pendingMoves = current.filter((move) => !started.includes(move));
    this.#releases.plan(started);
    for (const move of started) {
      this.#recordStart(move);
    }
    return started;
  }

  #recordStart(move: PendingMove): void {
    this.#balance.recordMove(move);
    const { from, to, owner, target, weighed } = move;
    if (weighed !== undefined) {
      this.#weighed.started += 1;
      this.#weighed.gainMillis += weighed.gainMillis;
      this.#weighed.costMillis += weighed.costMillis;
      const { service } = this.#parts;
      const terms = { ...weighed, ...this.#evidence.estimate };
      this.#parts.log('range-move-weighed', { service, from, to, owner, target, ...terms });
    }
  }

  /** Returns totals of the weighed moves started since this leader took over the service. */
  weighedMoves(): WeighedMoves {
    return this.#weighed;
  }

  /** Number of spans of keys compared while moves were planned. */
  get searchedSpans(): number {
    return this.#balance.searchedSpans;
  }

  /** Joins neighbouring ranges of owners that can be notified now and have no pending moves of these keys. */
  #joinRanges(
    ranges: readonly KeyRange[],
    started: readonly PendingMove[],
    now: MonotonicMillis,
  ): RangeUpdate[] {
    const due = new Set([...this.#ownersToJoin].filter((owner) => this.#carrier.canNotify(owner, now)));
    if (due.size === 0) {
      return [];
    }
    this.#ownersToJoin = new Set([...this.#ownersToJoin].filter((owner) => !due.has(owner)));
    const moves = [...this.#pendingMoves, ...started];
    const unaffected = ranges.filter(
      ({ from, to }) => !moves.some((move) => move.from <= to && move.to >= from),
    );
    return joinNeighbours(unaffected).filter(({ owner }) => owner !== null && due.has(owner));
  }

  /** Returns the percentage of its capacity that each upstream uses, for the log. */
  describeUse(): Readonly<Record<UpstreamId, number>> {
    const { use } = this.#currentLoads();
    const percent = (server: RangeServer): number => Math.round(use.utilisationOf(server) * 100);
    return Object.fromEntries(this.#servers.list.map((server) => [server.upstream, percent(server)]));
  }

  /** Handles the outcome of the proposal made after `decide`. */
  onProposalSettled(isApplied: boolean): void {
    this.#proposedUpdates = [];
    if (!isApplied) {
      this.#releases.discardPlans();
    }
  }

  /** Removes and returns the calls that are due. */
  dequeueCalls(now: MonotonicMillis): PlannedCall[] {
    return this.#carrier.dequeueCalls(now);
  }

  /** Removes and returns the upstreams that have to be asked whether they are there before they are granted anything. */
  dequeueQuestions(): UpstreamId[] {
    return this.#carrier.dequeueQuestions();
  }

  /** Handles a sign of life of an upstream of this service. */
  onHeard(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#carrier.onHeard(upstream, now);
  }

  onCallEnd(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    this.#carrier.onCallEnd(call, outcome, now);
  }

  /** Time of the next decision if no event requires one earlier. */
  nextDecisionAt(): MonotonicMillis {
    return Math.min(this.#schedule.nextAt, this.#carrier.nextDecisionAt());
  }

  /** Time at which a call is due. */
  nextCallAt(): MonotonicMillis {
    return this.#carrier.nextCallAt();
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

  /**
   * Ends the ownership of an upstream that is draining, no longer exists, or can no longer hold anything. One that may still accept a
   * late grant is asked to release the keys: if it can be reached again, that frees them sooner than time does.
   */
  #revoke(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): RangeUpdate[] {
    const record = this.#record(owner);
    const proof = record === undefined ? FREE_PROOFS.forgotten : this.#carrier.lossProof(range, owner, now);
    if (record === undefined || proof !== null) {
      this.#logFreed(range, { holder: owner, proof, unownedMillis: 0 }, now);
      return this.#reassign(range, owner, now);
    }
    if (this.#parts.registry().isLeaving(record.definition) || this.#carrier.isAbandoned(range)) {
      this.#releases.plan(this.#spread(range, owner));
      return [spanUpdate(range, range, null, owner)];
    }
    const isRejected = this.#carrier.isRejected(range) && this.#carrier.canNotify(owner, now);
    return isRejected ? [spanUpdate(range, range, owner, null)] : [];
  }

  /** Reassigns the keys of a lost owner at once if their targets can be notified, else as soon as they can be. */
  #reassign(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): RangeUpdate[] {
    const spans = this.#spread(range, owner);
    if (spans.every(({ target }) => this.#carrier.canNotify(target, now))) {
      return assignSpans(range, spans);
    }
    this.#releases.plan(spans);
    return [spanUpdate(range, range, null, null)];
  }

  #currentLoads(): Loads {
    if (this.#loads === null) {
      const ranges = this.#ranges();
      const use = new OwnerLoads(this.#servers.list, ranges, this.#balance.steady);
      this.#loads = { use, owners: loadsByOwner(ranges, use) };
    }
    return this.#loads;
  }

  /** Splits a range among upstreams. The load of a lost owner was counted before any of its keys were reassigned. */
  #spread(range: KeyRange, owner: UpstreamId | null): PlannedSpan[] {
    const { use, owners } = this.#currentLoads();
    const ownerLoad = owner === null ? undefined : owners.get(owner);
    return spreadSpan(range, this.#balance.steady, use, ownerLoad ?? use.loadOfSpan(range));
  }

  /** Assigns pieces released by their previous owner to the next one. */
  #assign(range: KeyRange, now: MonotonicMillis): RangeUpdate[] {
    const isFirst = range.fence === 0 && range.former === null;
    if (isFirst && !this.#servers.hasGathered(now)) {
      return [];
    }
    const spread = (): readonly PlannedSpan[] =>
      isFirst ? divideSpan(range, this.#servers.list) : this.#spread(range, range.former);
    const pieces = this.#releases.piecesOf(range, now, spread);
    return pieces
      .filter((piece) => this.#isFree(piece, range, now))
      .flatMap((piece) => this.#assignPiece(piece, range, now));
  }

  #assignPiece(piece: ReleasedPiece, range: KeyRange, now: MonotonicMillis): RangeUpdate[] {
    const { use } = this.#currentLoads();
    const planned = this.#servers.has(piece.target)
      ? piece.target
      : (use.leastUtilised(null)?.upstream ?? piece.target);
    const target = this.#carrier.canNotify(planned, now) ? planned : this.#substituteFor(piece, now);
    if (target === undefined) {
      return [];
    }
    if (target !== piece.target) {
      use.addSpan(target, piece);
    }
    const hasHandover = this.#carrier.transferHandover(piece, range);
    if (piece.freedBy === FREE_PROOFS.released) {
      this.#evidence.recordMove(now - piece.since, hasHandover);
    }
    return [spanUpdate(range, piece, target, null)];
  }

  /**
   * Returns the least used upstream that can be notified, for free keys whose target cannot be notified yet, unless
   * it is too busy. The first division waits longer for its targets: the keys had no owner before it.
   */
  #substituteFor({ freeAt, fence }: ReleasedPiece, now: MonotonicMillis): UpstreamId | undefined {
    const waited = freeAt === null ? 0 : now - freeAt;
    const { heartbeatMillis } = this.#parts;
    if (waited < (fence === 0 ? 2 * heartbeatMillis : TARGET_WAIT_MILLIS)) {
      return undefined;
    }
    const { use } = this.#currentLoads();
    const substitute = use.leastUtilisedWhere((server) => this.#carrier.canNotify(server.upstream, now));
    const most = use.meanUtilisation() * SUBSTITUTE_USE_FACTOR + SUBSTITUTE_USE_MARGIN;
    const isBusy =
      substitute !== undefined && use.utilisationOf(substitute) > most && waited < heartbeatMillis;
    return isBusy ? undefined : substitute?.upstream;
  }

  #isFree(piece: ReleasedPiece, range: KeyRange, now: MonotonicMillis): boolean {
    const { former } = range;
    const isForgotten = former !== null && this.#record(former) === undefined;
    const proof = isForgotten ? FREE_PROOFS.forgotten : this.#carrier.freeProof(piece, range, now);
    if (proof !== null && piece.freeAt === null) {
      piece.freeAt = now;
      piece.freedBy = proof;
      this.#logFreed(piece, { holder: former, proof, unownedMillis: now - piece.since }, now);
    }
    return proof !== null;
  }

  /** Logs the proof on which keys count as free, and the age of the last sign of life of their holder. */
  #logFreed(
    { from, to, fence }: KeySpan & { readonly fence: Epoch },
    freed: { holder: UpstreamId | null; proof: FreeProof | null; unownedMillis: number },
    now: MonotonicMillis,
  ): void {
    const { service, evidence } = this.#parts;
    const { holder, proof, unownedMillis } = freed;
    const heardAgoMillis = holder === null ? null : now - evidence.lastSeenAt(holder);
    const leadingMillis = now - this.#startedAt;
    this.#parts.log('range-freed', {
      service,
      from,
      to,
      fence,
      holder,
      proof,
      heardAgoMillis,
      unownedMillis,
      leadingMillis,
    });
  }

  #planMoves(ranges: readonly KeyRange[]): PlannedSpan[] {
    const underWay = this.#releases.open();
    return this.#balance.plan({
      ranges,
      servers: this.#servers.list,
      underWay,
      costParameters: this.#moveTerms(),
    });
  }

  /** Returns the terms for weighing moves; `null` if the service declares no cost of moves. */
  #moveTerms(): MoveCostParameters | null {
    const { registry, service } = this.#parts;
    const slowMillis = registry().services().get(service)?.definition.unwarmedKeyMillis;
    const workMillis = this.#speeds.meanMillis;
    return slowMillis === undefined || workMillis === null || workMillis === 0
      ? null
      : { ...this.#evidence.estimate, slowMillis, workMillis };
  }

  #isBeingRevoked({ from, to }: KeySpan): boolean {
    return this.#proposedUpdates.some((update) => update.from <= to && update.to >= from);
  }
}

function withOwners(ranges: readonly KeyRange[], spans: readonly PlannedSpan[]): PendingMove[] {
  return spans.flatMap((span) => {
    const owner = ranges[findRange(ranges, span.from)]?.owner ?? null;
    return owner === null ? [] : [{ ...span, owner }];
  });
}

function loadsByOwner(ranges: readonly KeyRange[], use: OwnerLoads): ReadonlyMap<UpstreamId, number> {
  const loads = new Map<UpstreamId, number>();
  for (const range of ranges) {
    const owner = range.owner ?? range.former;
    if (owner !== null) {
      loads.set(owner, (loads.get(owner) ?? 0) + use.loadOfSpan(range));
    }
  }
  return loads;
}
