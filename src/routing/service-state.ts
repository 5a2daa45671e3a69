/** A router's state of one service: its upstreams, waiting requests, budgets and policy. */
import type { ServiceName, UpstreamId, Zone } from '../model/identifiers.js';
import type { RouterTimeSlots } from '../model/router-time-slots.js';
import type { ServiceDefinition } from '../model/service.js';
import type { WarmupBounds } from '../model/warmup-bounds.js';
import { compilePolicy, PolicyError, type PolicyProgram } from '../policy/index.js';
import type { ServiceRecord } from '../registry/types.js';
import { HotKeys } from './capacity/hot-keys.js';
import { RankHeadroom } from './capacity/rank-headroom.js';
import { TokenRetryBudget } from './capacity/retry-budget.js';
import { createPicker } from './picker/create-picker.js';
import type { Picker, PickerName } from './picker/picker.js';
import { RankPresence } from './queue/rank-presence.js';
import type { DispatchOrder } from './queue/ranked-queue.js';
import { ShardQueues } from './queue/shard-queues.js';
import type { RequestGroup } from './request-group.js';
import type { Standing } from './upstream/standing.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** Order of the standings, from best to worst. */
const STANDING_ORDER: Readonly<Record<Standing, number>> = {
  usable: 0,
  suspect: 1,
  'last-resort': 2,
  leaving: 3,
};

/** How long an expected time is cached; it is a mean over all upstreams and changes slowly. */
const EXPECTED_TIME_CACHE_MILLIS = 250;
/** Lower bound of an upstream's service time in capacity estimates. */
const MIN_SERVICE_MILLIS = 0.1;

/** Retries may arrive until this long after the latest refusal that gave its caller a retry time. */
const RETURN_WINDOW_MILLIS = 10_000;

export class ServiceState {
  readonly name: ServiceName;
  readonly queues = new ShardQueues();
  /** Terms of recently arrived requests. */
  readonly presence: RankPresence;
  readonly rankRoom: RankHeadroom;
  #returnWindowEnd = Number.NEGATIVE_INFINITY;
  readonly hotKeys: HotKeys;
  readonly picker: Picker;
  readonly retryBudget: TokenRetryBudget;
  /** Groups of reads that identical reads may join, by coalescing key. */
  readonly joinable = new Map<string, RequestGroup>();
  /** Groups held before the queue, by a policy or for link capacity. */
  readonly held = new Set<RequestGroup>();
  /** Groups that wait for a claim on the ledger. */
  readonly claiming = new Set<RequestGroup>();
  #expectedMillis = 0;
  #expectedMillisAt = Number.NEGATIVE_INFINITY;
  inFlight = 0;
  wakeScheduled = false;
  policy: PolicyProgram | null = null;
  private sortedUpstreams: UpstreamState[] = [];
  private current: ServiceRecord;

  /** `roomByRank`: whether less important requests, and those of a hot key, leave headroom for the others. */
  constructor(record: ServiceRecord, pickerName: PickerName, roomByRank: boolean) {
    this.presence = new RankPresence(roomByRank);
    this.rankRoom = new RankHeadroom(this.presence);
    this.hotKeys = new HotKeys(roomByRank);
    this.name = record.definition.name;
    this.current = record;
    this.picker = createPicker(pickerName);
    const { retryBudget, savedRetries } = record.definition;
    this.retryBudget = new TokenRetryBudget(retryBudget, savedRetries);
    this.updatePolicy();
  }

  get definition(): ServiceDefinition {
    return this.current.definition;
  }

  get record(): ServiceRecord {
    return this.current;
  }

  /** Sorted by id. */
  get upstreams(): readonly UpstreamState[] {
    return this.sortedUpstreams;
  }

  /** Number of groups that wait in queues or are held. */
  get waitingLength(): number {
    return this.queues.length + this.held.size;
  }

  /** Applies a changed definition. Returns `true` if keys now map to other shards. */
  update(record: ServiceRecord): boolean {
    const isRemapped =
      record.generation !== this.current.generation ||
      record.definition.keyed !== this.current.definition.keyed;
    const isChanged = record.revision !== this.current.revision;
    this.current = record;
    if (isChanged) {
      this.retryBudget.resize(record.definition.retryBudget);
      this.updatePolicy();
      for (const upstream of this.sortedUpstreams) {
        const { announced } = upstream.record.definition;
        upstream.slotLimit.resize(announced?.slots ?? record.definition.slotsPerUpstream);
        upstream.warmupState.setTerms(record.definition.warmup ?? null);
      }
    }
    return isRemapped;
  }

  addUpstream(upstream: UpstreamState): void {
    upstream.rankHeadroom = this.rankRoom;
    this.sortedUpstreams = [...this.sortedUpstreams, upstream].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  removeUpstream(id: UpstreamId): void {
    this.sortedUpstreams = this.sortedUpstreams.filter((upstream) => upstream.id !== id);
  }

  /**
   * Returns a cold upstream of this zone that has a free slot and whose current time slot belongs to this router; `undefined` if there
   * is none. The time slot is used first, because the request would only wait longer at other upstreams.
   */
  findColdUpstream(
    zone: Zone,
    turn: RouterTimeSlots,
    bounds: WarmupBounds,
    now: number,
  ): UpstreamState | undefined {
    return this.sortedUpstreams.find(
      (upstream) =>
        upstream.zone === zone &&
        upstream.warmupState.usesTimeSlots(now) &&
        upstream.hasFreeSlot(now) &&
        upstream.admits(now) &&
        upstream.evidence.standing(now) !== 'leaving' &&
        !upstream.ejection.isEjected(now) &&
        upstream.warmupState.hasTimeSlot(turn, bounds, now),
    );
  }

  /**
   * Returns the upstreams that may take one more request of a rank now. Doubtful upstreams are included only if none is usable, those
   * of the best standing only. Upstreams shared in time slots are excluded. `waitedShare`: elapsed fraction of
   * the request's longest wait, from 0 to 1.
   */
  candidates(now: number, avoid: UpstreamState | null, rank: number, waitedShare = 0): UpstreamState[] {
    const byStanding: UpstreamState[][] = [[], [], []];
    let hasUsable = false;
    for (const upstream of this.sortedUpstreams) {
      const standing = STANDING_ORDER[upstream.evidence.standing(now)];
      if (
        standing === STANDING_ORDER.leaving ||
        upstream.ejection.isEjected(now) ||
        upstream.isOutOfReach ||
        upstream.warmupState.usesTimeSlots(now)
      ) {
        continue;
      }
      hasUsable = hasUsable || standing === STANDING_ORDER.usable;
      if (upstream.hasSlot(now, rank, waitedShare)) {
        byStanding[standing]?.push(upstream);
      }
    }
    const [usable = [], suspects = [], lastResort = []] = byStanding;
    const doubtful = suspects.length > 0 ? suspects : lastResort;
    const candidates = hasUsable ? usable : doubtful;
    return without(this.#preferClear(candidates, now), avoid);
  }

  /** Where ranks compete, keeps only the upstreams that probably have a free slot, if there are any. */
  #preferClear(candidates: UpstreamState[], now: number): UpstreamState[] {
    if (!this.presence.isMixed(now)) {
      return candidates;
    }
    const clear = candidates.filter((upstream) => upstream.isProbablyFree(now));
    return clear.length > 0 ? clear : candidates;
  }

  /**
   * Whether operators have evacuated the zones of all upstreams that aren't draining by themselves, so that no waiting request can be
   * served. Where all upstreams drain by themselves, replacements are expected.
   */
  get isOutOfUse(): boolean {
    const upstreams = this.sortedUpstreams;
    const isAnyOut = upstreams.some(({ isEvacuated }) => isEvacuated);
    return isAnyOut && upstreams.every(({ evidence }) => evidence.isDrainedByOperator);
  }

  /** Mean time of requests that find a free slot, in milliseconds; `null` while there were none. */
  unhinderedMillis(): number | null {
    return meanOf(this.sortedUpstreams, ({ unqueuedMillis: unhinderedMillis }) => unhinderedMillis);
  }

  /** Mean time of an attempt over the upstreams that have answered, in milliseconds; `null` if none has. */
  measuredMillis(): number | null {
    return meanOf(this.sortedUpstreams, ({ measuredMillis }) => measuredMillis);
  }

  /** Estimated requests per millisecond that one upstream can take from this router; the mean time stands in for an unmeasured one. */
  capacityOf(upstream: UpstreamState, meanMillis = this.measuredMillis()): number {
    const usualMillis = upstream.measuredMillis ?? meanMillis ?? upstream.serviceMillis;
    return upstream.slotLimit.slots / Math.max(MIN_SERVICE_MILLIS, usualMillis);
  }

  /** Expected service time of a request, in milliseconds; 0 while nothing was measured. */
  expectedMillis(now: number): number {
    if (now >= this.#expectedMillisAt + EXPECTED_TIME_CACHE_MILLIS) {
      this.#expectedMillisAt = now;
      this.#expectedMillis = this.unhinderedMillis() ?? this.measuredMillis() ?? 0;
    }
    return this.#expectedMillis;
  }

  /** Called when a refused caller gets a retry time: retries with little time left then compete with first tries. */
  onReturnPromised(now: number): void {
    this.#returnWindowEnd = now + RETURN_WINDOW_MILLIS;
  }

  /** Order in which waiting groups are dequeued. */
  dequeueOrder(now: number): DispatchOrder {
    return {
      now,
      expectedMillis:
        this.presence.isMixed(now) || now < this.#returnWindowEnd ? this.expectedMillis(now) : null,
    };
  }

  ejectedCount(now: number): number {
    return this.sortedUpstreams.filter((upstream) => upstream.ejection.isEjected(now)).length;
  }

  /** Total slots of the upstreams that take requests now. */
  totalSlots(now: number): number {
    return this.activeUpstreams(now).reduce((sum, upstream) => sum + upstream.slotLimit.slots, 0);
  }

  /** Estimated requests per millisecond that the upstreams can take, by slots and smoothed service times. */
  capacityPerMilli(now: number): number {
    const meanMillis = this.measuredMillis();
    return this.activeUpstreams(now).reduce(
      (sum, upstream) => sum + this.capacityOf(upstream, meanMillis),
      0,
    );
  }

  /** Upstreams that take requests now; those of last resort only if none is usable. */
  private activeUpstreams(now: number): UpstreamState[] {
    const ordered = this.sortedUpstreams.map((upstream) => ({
      upstream,
      order: STANDING_ORDER[upstream.evidence.standing(now)],
    }));
    const hasUsable = ordered.some(({ order }) => order === STANDING_ORDER.usable);
    const maxOrder = hasUsable ? STANDING_ORDER.suspect : STANDING_ORDER['last-resort'];
    const active = ordered.filter(({ order }) => order <= maxOrder);
    return active.map(({ upstream }) => upstream);
  }

  /** Control rejects invalid programs, so a failure means that versions differ; the service then runs without a policy. */
  private updatePolicy(): void {
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

/** Mean over the upstreams that have a value; `null` if none has. One pass, since it runs for every request with a key. */
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

/** Removes `avoid` unless it is the only upstream. */
function without(upstreams: UpstreamState[], avoid: UpstreamState | null): UpstreamState[] {
  if (avoid === null || upstreams.length < 2) {
    return upstreams;
  }
  return upstreams.filter((upstream) => upstream !== avoid);
}
