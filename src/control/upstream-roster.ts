/**
 * The upstreams of one keyed service: what the granter is told of each session beside orders, how each stands as a
 * target of placement, and when a leaving one stops to take work.
 */
import type { SessionView } from '../lease/granter-types.js';
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { Incarnation, MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import type { PlacementPlanner, ServerState } from '../placement/index.js';
import type { Registry, ServiceRecord, UpstreamRecord } from '../registry/types.js';
import type { Readiness } from './first-grants.js';
import { keyMapOf } from './shard-orders.js';

/** A leaving upstream serves this long while its shards move away; then it takes no new work of any kind. */
const LEAVE_MILLIS = 1500;

export interface UpstreamRosterParts {
  readonly granter: LeaseGranter;
  readonly planner: PlacementPlanner;
  readonly registry: () => Registry;
}

interface Member {
  record: UpstreamRecord;
  /** How the planner was told that it stands. */
  state: ServerState;
  /** Set once it is to take no new work. */
  drained: boolean;
}

export class UpstreamRoster {
  readonly #parts: UpstreamRosterParts;
  #planner: PlacementPlanner;
  readonly #members = new Map<UpstreamId, Member>();
  /** Leaving upstreams that still take work, with the time from which they leave. */
  readonly #leavingSince = new Map<UpstreamId, MonotonicMillis>();
  #service: ServiceRecord;

  constructor(parts: UpstreamRosterParts, service: ServiceRecord) {
    this.#parts = parts;
    this.#planner = parts.planner;
    this.#service = service;
  }

  has(upstream: UpstreamId): boolean {
    return this.#members.has(upstream);
  }

  /** Incarnation that holds the session of an upstream. */
  incarnationOf(upstream: UpstreamId): Incarnation | null {
    return this.#members.get(upstream)?.record.incarnation ?? null;
  }

  /** Whether an upstream can take a grant now. */
  isReady(upstream: UpstreamId): boolean {
    return this.#members.get(upstream)?.state === 'ready';
  }

  /** Takes the declaration and session of an upstream as the registry has them now. */
  set(record: UpstreamRecord, now: MonotonicMillis): void {
    const { id } = record.definition;
    const leaving = this.#parts.registry().isLeaving(record.definition);
    const known = this.#members.get(id);
    const member = known ?? { record, state: 'lost', drained: false };
    member.record = record;
    this.#members.set(id, member);
    if (!leaving) {
      this.#leavingSince.delete(id);
      member.drained = false;
    } else if (!member.drained && !this.#leavingSince.has(id)) {
      this.#leavingSince.set(id, now);
    }
    this.#tellGranter(member, now);
    this.#tellPlanner(member);
  }

  remove(upstream: UpstreamId): void {
    this.#members.delete(upstream);
    this.#leavingSince.delete(upstream);
    this.#parts.granter.dropSession(upstream);
    this.#planner.removeServer(upstream);
  }

  removeAll(): void {
    for (const upstream of [...this.#members.keys()]) {
      this.remove(upstream);
    }
  }

  /** The service's declaration changed. */
  setService(service: ServiceRecord, now: MonotonicMillis): void {
    this.#service = service;
    for (const member of this.#members.values()) {
      this.#tellGranter(member, now);
      this.#tellPlanner(member);
    }
  }

  /** Takes another planner, which is told of every upstream. */
  setPlanner(planner: PlacementPlanner): void {
    this.#planner = planner;
    for (const member of this.#members.values()) {
      this.#tellPlanner(member);
    }
  }

  /** An upstream answered or failed to; returns whether it stands otherwise now. */
  sessionChanged(upstream: UpstreamId): boolean {
    const member = this.#members.get(upstream);
    if (member === undefined || member.state === this.#stateOf(member)) {
      return false;
    }
    this.#tellPlanner(member);
    return true;
  }

  readiness(): Readiness {
    const members = [...this.#members.values()];
    return {
      anyReady: members.some(({ state }) => state === 'ready'),
      allHeardOf: members.every((member) => this.#isHeardOf(member)),
    };
  }

  /** Ends the work of upstreams which leave and have no shards left, or had time enough. */
  run(now: MonotonicMillis): void {
    for (const [upstream, since] of [...this.#leavingSince]) {
      const member = this.#members.get(upstream);
      const ownsNothing = this.#parts.registry().shardsOwnedBy(upstream).size === 0;
      if (member !== undefined && (ownsNothing || now >= since + LEAVE_MILLIS)) {
        this.#leavingSince.delete(upstream);
        member.drained = true;
        this.#tellGranter(member, now);
      }
    }
  }

  nextDeadline(): MonotonicMillis {
    const [earliest] = this.#leavingSince.values();
    return earliest === undefined ? Number.POSITIVE_INFINITY : earliest + LEAVE_MILLIS;
  }

  #tellGranter({ record, drained }: Member, now: MonotonicMillis): void {
    const { definition, incarnation } = record;
    const target = {
      upstream: definition.id,
      address: definition.address,
      incarnation,
      keyMap: keyMapOf(this.#service),
      drain: drained,
    };
    this.#parts.granter.setTarget(target, now);
  }

  #tellPlanner(member: Member): void {
    const { id, mayHold, zone } = member.record.definition;
    const capacity = this.#service.definition.slotsPerUpstream;
    member.state = this.#stateOf(member);
    this.#planner.setServer({ id, capacity, mayHold, zone, state: member.state });
  }

  #stateOf({ record }: Member): ServerState {
    const view = this.#parts.granter.view(record.definition.id);
    if (!isAnswering(record, view)) {
      return 'lost';
    }
    const asksToLeave = view?.answer?.leaving ?? false;
    return this.#parts.registry().isLeaving(record.definition) || asksToLeave ? 'draining' : 'ready';
  }

  #isHeardOf({ record, state }: Member): boolean {
    const view = this.#parts.granter.view(record.definition.id);
    const isGone = view?.failing === true && view.answeredAt !== null;
    return state !== 'lost' || this.#parts.registry().isLeaving(record.definition) || isGone;
  }
}

/** Whether an upstream's session is open and it answers. */
function isAnswering({ incarnation }: UpstreamRecord, view: SessionView | undefined): boolean {
  const isLeased = view?.phase === 'leased' && view.incarnation === incarnation;
  return isLeased && incarnation !== null && !view.failing;
}
