/** What a router keeps for one service: its upstreams, waiting work, budgets and policy. */
import type { ServiceName, UpstreamId } from '../model/identifiers.js';
import type { ServiceDefinition } from '../model/service.js';
import { compilePolicy, PolicyError, type PolicyProgram } from '../policy/index.js';
import type { ServiceRecord } from '../registry/types.js';
import { LaneTable } from './lane-table.js';
import type { Standing } from './leaving-table.js';
import { createPicker } from './picker/create-picker.js';
import type { Picker, PickerName } from './picker/picker.js';
import { TokenRetryBudget } from './retry-budget.js';
import type { UpstreamState } from './upstream-state.js';
import type { Work } from './work.js';

/** Standings from best to worst. */
const RANK_OF: Readonly<Record<Standing, number>> = { usable: 0, suspect: 1, 'last-resort': 2, leaving: 3 };

export class ServiceState {
  readonly name: ServiceName;
  readonly lanes = new LaneTable();
  readonly picker: Picker;
  readonly retryBudget: TokenRetryBudget;
  /** Reads that identical ones may join. */
  readonly joinable = new Map<string, Work>();
  /** Work that a policy holds. */
  readonly held = new Set<Work>();
  /** Work that waits for the ledger. */
  readonly claiming = new Set<Work>();
  inFlight = 0;
  wakeScheduled = false;
  policy: PolicyProgram | null = null;
  private sortedUpstreams: UpstreamState[] = [];
  private current: ServiceRecord;

  constructor(record: ServiceRecord, pickerName: PickerName) {
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
      }
    }
    return remapped;
  }

  addUpstream(upstream: UpstreamState): void {
    this.sortedUpstreams = [...this.sortedUpstreams, upstream].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  removeUpstream(id: UpstreamId): void {
    this.sortedUpstreams = this.sortedUpstreams.filter((upstream) => upstream.id !== id);
  }

  /** Upstreams that may take one more request now; the doubted ones, best first, only if none is usable. */
  candidates(now: number, avoid: UpstreamState | null): UpstreamState[] {
    const byRank: UpstreamState[][] = [[], [], []];
    let usableExists = false;
    for (const upstream of this.sortedUpstreams) {
      const rank = RANK_OF[upstream.evidence.standing(now)];
      if (rank === RANK_OF.leaving || upstream.ejection.isEjected(now)) {
        continue;
      }
      usableExists = usableExists || rank === RANK_OF.usable;
      if (upstream.hasSlot(now)) {
        byRank[rank]?.push(upstream);
      }
    }
    const [usable = [], suspects = [], lastResort = []] = byRank;
    const doubted = suspects.length > 0 ? suspects : lastResort;
    const candidates = usableExists ? usable : doubted;
    return without(candidates, avoid);
  }

  /** Mean time of a request that finds a free slot, in milliseconds; `null` while none was seen. */
  unhinderedMillis(): number | null {
    const seen = this.sortedUpstreams.flatMap(({ unhinderedMillis }) => unhinderedMillis ?? []);
    return seen.length === 0 ? null : seen.reduce((sum, millis) => sum + millis, 0) / seen.length;
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
    return this.working(now).reduce((sum, upstream) => sum + capacityOf(upstream), 0);
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

/** Requests a millisecond that one upstream could take from this router. */
export function capacityOf(upstream: UpstreamState): number {
  return upstream.slotLimit.slots / Math.max(0.1, upstream.serviceMillis);
}

/** Leaves out `avoid` unless it is all there is. */
function without(upstreams: UpstreamState[], avoid: UpstreamState | null): UpstreamState[] {
  if (avoid === null || upstreams.length < 2) {
    return upstreams;
  }
  return upstreams.filter((upstream) => upstream !== avoid);
}
