/** What a router keeps for one service: its upstreams, waiting work, budgets and policy. */
import type { ServiceName, UpstreamId, Zone } from '../model/identifiers.js';
import type { RouterTurn } from '../model/router-turn.js';
import type { ServiceDefinition } from '../model/service.js';
import type { WarmupBounds } from '../model/warmup-bounds.js';
import { compilePolicy, PolicyError, type PolicyProgram } from '../policy/index.js';
import type { ServiceRecord } from '../registry/types.js';
import { createPicker } from './picker/create-picker.js';
import type { Picker, PickerName } from './picker/picker.js';
import { LaneTable } from './queue/lane-table.js';
import { RankPresence } from './queue/rank-presence.js';
import type { TurnOrder } from './queue/ranked-queue.js';
import { HotKeys } from './room/hot-keys.js';
import { RankRoom } from './room/rank-room.js';
import { TokenRetryBudget } from './room/retry-budget.js';
import type { Standing } from './upstream/leaving-table.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import type { Work } from './work.js';

/** Standings from best to worst. */
const RANK_OF: Readonly<Record<Standing, number>> = { usable: 0, suspect: 1, 'last-resort': 2, leaving: 3 };

/** Expected times are good for so long: they are means over all upstreams, and move slowly. */
const EXPECTED_MILLIS = 250;
/** No upstream is taken to be faster. */
const LEAST_SERVICE_MILLIS = 0.1;

/** Callers who were told to come back may come for this long after the latest of them was told. */
const RETURNS_MILLIS = 10_000;

export class ServiceState {
  readonly name: ServiceName;
  readonly lanes = new LaneTable();
  /** Terms on which requests came lately. */
  readonly presence: RankPresence;
  readonly rankRoom: RankRoom;
  #returnsUntil = Number.NEGATIVE_INFINITY;
  readonly hotKeys: HotKeys;
  readonly picker: Picker;
  readonly retryBudget: TokenRetryBudget;
  /** Reads that identical ones may join. */
  readonly joinable = new Map<string, Work>();
  /** Work that is held before the queue, by a policy or for the router's link. */
  readonly held = new Set<Work>();
  /** Work that waits for the ledger. */
  readonly claiming = new Set<Work>();
  #expected = 0;
  #expectedAt = Number.NEGATIVE_INFINITY;
  inFlight = 0;
  wakeScheduled = false;
  policy: PolicyProgram | null = null;
  private sortedUpstreams: UpstreamState[] = [];
  private current: ServiceRecord;

  /** `roomByRank`: whether less important requests, and a hot key's, leave room for the others. */
  constructor(record: ServiceRecord, pickerName: PickerName, roomByRank: boolean) {
    this.presence = new RankPresence(roomByRank);
    this.rankRoom = new RankRoom(this.presence);
    this.hotKeys = new HotKeys(roomByRank);
    this.name = record.definition.name;
    this.current = record;
    this.picker = createPicker(pickerName);
    const { retryBudget, savedRetries } = record.definition;
    this.retryBudget = new TokenRetryBudget(retryBudget, savedRetries);
    this.compile();
  }

  get definition(): ServiceDefinition {
    return this.current.definition;
  }

  get record(): ServiceRecord {
    return this.current;
  }

  /** In the order of their ids. */
  get upstreams(): readonly UpstreamState[] {
    return this.sortedUpstreams;
  }

  /** Requests that wait, in lanes or by policy. */
  get waitingLength(): number {
    return this.lanes.length + this.held.size;
  }

  /** Takes over a changed definition; `true` if keys now fall into other shards. */
  update(record: ServiceRecord): boolean {
    const remapped =
      record.generation !== this.current.generation ||
      record.definition.keyed !== this.current.definition.keyed;
    const changed = record.revision !== this.current.revision;
    this.current = record;
    if (changed) {
      this.retryBudget.resize(record.definition.retryBudget);
      this.compile();
      for (const upstream of this.sortedUpstreams) {
        const { announced } = upstream.record.definition;
        upstream.slotLimit.resize(announced?.slots ?? record.definition.slotsPerUpstream);
        upstream.warmth.useTerms(record.definition.warmup ?? null);
      }
    }
    return remapped;
  }

  addUpstream(upstream: UpstreamState): void {
    upstream.rankRoom = this.rankRoom;
    this.sortedUpstreams = [...this.sortedUpstreams, upstream].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  removeUpstream(id: UpstreamId): void {
    this.sortedUpstreams = this.sortedUpstreams.filter((upstream) => upstream.id !== id);
  }

  /**
   * A cold upstream of this zone at which the router's turn has come, as far as it has a free slot; `undefined`: there is none. What
   * it bears is used: at others it would only wait longer.
   */
  coldInTurn(zone: Zone, turn: RouterTurn, bounds: WarmupBounds, now: number): UpstreamState | undefined {
    return this.sortedUpstreams.find(
      (upstream) =>
        upstream.zone === zone &&
        upstream.warmth.takesTurns(now) &&
        upstream.hasFreeSlot(now) &&
        upstream.admits(now) &&
        upstream.evidence.standing(now) !== 'leaving' &&
        !upstream.ejection.isEjected(now) &&
        upstream.warmth.isTurn(turn, bounds, now),
    );
  }

  /**
   * Upstreams that may take one more request of a rank now; the doubted ones, best first, only if none is usable. Those where routers
   * take turns aren't among them. `waitedShare`: how much of the request's wait is over, from 0 to 1.
   */
  candidates(now: number, avoid: UpstreamState | null, rank: number, waitedShare = 0): UpstreamState[] {
    const byStanding: UpstreamState[][] = [[], [], []];
    let usableExists = false;
    for (const upstream of this.sortedUpstreams) {
      const standing = RANK_OF[upstream.evidence.standing(now)];
      if (
        standing === RANK_OF.leaving ||
        upstream.ejection.isEjected(now) ||
        upstream.warmth.takesTurns(now)
      ) {
        continue;
      }
      usableExists = usableExists || standing === RANK_OF.usable;
      if (upstream.hasSlot(now, rank, waitedShare)) {
        byStanding[standing]?.push(upstream);
      }
    }
    const [usable = [], suspects = [], lastResort = []] = byStanding;
    const doubted = suspects.length > 0 ? suspects : lastResort;
    const candidates = usableExists ? usable : doubted;
    return without(this.#clearFirst(candidates, now), avoid);
  }

  /** Where ranks compete, upstreams that probably have a slot free go before the others. */
  #clearFirst(candidates: UpstreamState[], now: number): UpstreamState[] {
    if (!this.presence.isMixed(now)) {
      return candidates;
    }
    const clear = candidates.filter((upstream) => upstream.isClear(now));
    return clear.length > 0 ? clear : candidates;
  }

  /**
   * Whether operators have taken the zones of all upstreams that don't leave anyway out of use, so that nothing that waits can be
   * served. Where all leave by themselves others are on their way.
   */
  get isOutOfUse(): boolean {
    const upstreams = this.sortedUpstreams;
    const isAnyOut = upstreams.some(({ isEvacuated }) => isEvacuated);
    return isAnyOut && upstreams.every(({ evidence }) => evidence.operatorLeaving);
  }

  /** Mean time of a request that finds a free slot, in milliseconds; `null` while none was seen. */
  unhinderedMillis(): number | null {
    return meanOf(this.sortedUpstreams, ({ unhinderedMillis }) => unhinderedMillis);
  }

  /** Mean time of an attempt over the upstreams that gave an answer, in milliseconds; `null`: none did. */
  measuredMillis(): number | null {
    return meanOf(this.sortedUpstreams, ({ measuredMillis }) => measuredMillis);
  }

  /** Requests a millisecond that one upstream could take from this router; one of which nothing is known counts as the others do. */
  capacityOf(upstream: UpstreamState, meanMillis = this.measuredMillis()): number {
    const usual = upstream.measuredMillis ?? meanMillis ?? upstream.serviceMillis;
    return upstream.slotLimit.slots / Math.max(LEAST_SERVICE_MILLIS, usual);
  }

  /** Time that a request is expected to take once it is worked on, in milliseconds; 0 while nothing is known. */
  expectedMillis(now: number): number {
    if (now >= this.#expectedAt + EXPECTED_MILLIS) {
      this.#expectedAt = now;
      this.#expected = this.unhinderedMillis() ?? this.measuredMillis() ?? 0;
    }
    return this.#expected;
  }

  /** A refused caller was told to come back: callers who are late by then come beside others who aren't. */
  returnsPromised(now: number): void {
    this.#returnsUntil = now + RETURNS_MILLIS;
  }

  /** By what waiting work takes its turn. */
  turnOrder(now: number): TurnOrder {
    return {
      now,
      expectedMillis:
        this.presence.isMixed(now) || now < this.#returnsUntil ? this.expectedMillis(now) : null,
    };
  }

  ejectedCount(now: number): number {
    return this.sortedUpstreams.filter((upstream) => upstream.ejection.isEjected(now)).length;
  }

  /** Slots of upstreams that take work now. */
  totalSlots(now: number): number {
    return this.working(now).reduce((sum, upstream) => sum + upstream.slotLimit.slots, 0);
  }

  /** Requests a millisecond that its upstreams could take, by slots and smoothed service times. */
  capacityPerMilli(now: number): number {
    const meanMillis = this.measuredMillis();
    return this.working(now).reduce((sum, upstream) => sum + this.capacityOf(upstream, meanMillis), 0);
  }

  /** Upstreams that take work now; the last resort only if none is usable. */
  private working(now: number): UpstreamState[] {
    const ranked = this.sortedUpstreams.map((upstream) => ({
      upstream,
      rank: RANK_OF[upstream.evidence.standing(now)],
    }));
    const usableExists = ranked.some(({ rank }) => rank === RANK_OF.usable);
    const most = usableExists ? RANK_OF.suspect : RANK_OF['last-resort'];
    const taken = ranked.filter(({ rank }) => rank <= most);
    return taken.map(({ upstream }) => upstream);
  }

  /** A control member refuses wrong programs, so a failure here means that versions differ: run without a policy. */
  private compile(): void {
    try {
      const { policy } = this.definition;
      this.policy = policy.length === 0 ? null : compilePolicy(policy);
    } catch (thrown) {
      if (!(thrown instanceof PolicyError)) {
        throw thrown;
      }
      this.policy = null;
    }
  }
}

/** Mean over the upstreams that have a value; `null`: none has. In one pass, since every request with a key asks. */
function meanOf(
  upstreams: readonly UpstreamState[],
  millisOf: (upstream: UpstreamState) => number | null,
): number | null {
  let sum = 0;
  let count = 0;
  for (const upstream of upstreams) {
    const millis = millisOf(upstream);
    if (millis !== null) {
      sum += millis;
      count += 1;
    }
  }
  return count === 0 ? null : sum / count;
}

/** Leaves out `avoid` unless it is all there is. */
function without(upstreams: UpstreamState[], avoid: UpstreamState | null): UpstreamState[] {
  if (avoid === null || upstreams.length < 2) {
    return upstreams;
  }
  return upstreams.filter((upstream) => upstream !== avoid);
}
