/**
 * The upstreams of one keyed service: their session targets in the granter, their states as targets of
 * placement, and when a draining upstream has to stop accepting work.
 */
import type { SessionView } from '../lease/granter-types.js';
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { Incarnation, MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import type { PlacementPlanner, ServerState } from '../placement/index.js';
import type { Registry, ServiceRecord, UpstreamRecord } from '../registry/types.js';
import type { Readiness } from './first-grants.js';
import { keyMapOf } from './shard-orders.js';

/** How long a draining upstream keeps serving while its shards move away; afterwards it accepts no new work of any kind. */
const MAX_DRAIN_MILLIS = 1500;

export interface UpstreamRosterParts {
  readonly granter: LeaseGranter;
  readonly planner: PlacementPlanner;
  readonly registry: () => Registry;
}

interface Member {
  record: UpstreamRecord;
  /** The state last passed to the planner. */
  state: ServerState;
  /** Set once the upstream has to stop accepting new work. */
  drained: boolean;
}

export class UpstreamRoster {
  readonly #parts: UpstreamRosterParts;
  #planner: PlacementPlanner;
  readonly #members = new Map<UpstreamId, Member>();
  /** Draining upstreams that still accept work, with the times at which draining began. */
  readonly #drainingSince = new Map<UpstreamId, MonotonicMillis>();
  #service: ServiceRecord;

  constructor(parts: UpstreamRosterParts, service: ServiceRecord) {
    this.#parts = parts;
    this.#planner = parts.planner;
    this.#service = service;
  }

  has(upstream: UpstreamId): boolean {
    return this.#members.has(upstream);
  }

  /** Returns the incarnation that holds an upstream's session. */
  incarnationOf(upstream: UpstreamId): Incarnation | null {
    return this.#members.get(upstream)?.record.incarnation ?? null;
  }

  /** Returns whether an upstream can be granted a shard now. */
  isReady(upstream: UpstreamId): boolean {
    return this.#members.get(upstream)?.state === 'ready';
  }

  /** Applies the current registry record of an upstream. */
  set(record: UpstreamRecord, now: MonotonicMillis): void {
    const { id } = record.definition;
    const isLeaving = this.#parts.registry().isLeaving(record.definition);
    const existing = this.#members.get(id);
    const member = existing ?? { record, state: 'lost', drained: false };
    member.record = record;
    this.#members.set(id, member);
    if (!isLeaving) {
      this.#drainingSince.delete(id);
      member.drained = false;
    } else if (!member.drained && !this.#drainingSince.has(id)) {
      this.#drainingSince.set(id, now);
    }
    this.#updateGranter(member, now);
    this.#updatePlanner(member);
  }

  remove(upstream: UpstreamId): void {
    this.#members.delete(upstream);
    this.#drainingSince.delete(upstream);
    this.#parts.granter.dropSession(upstream);
    this.#planner.removeServer(upstream);
  }

  removeAll(): void {
    for (const upstream of [...this.#members.keys()]) {
      this.remove(upstream);
    }
  }

  /** Applies a changed declaration of the service. */
  setService(service: ServiceRecord, now: MonotonicMillis): void {
    this.#service = service;
    for (const member of this.#members.values()) {
      this.#updateGranter(member, now);
      this.#updatePlanner(member);
    }
  }

  /** Replaces the planner, and adds every upstream to the new one. */
  setPlanner(planner: PlacementPlanner): void {
    this.#planner = planner;
    for (const member of this.#members.values()) {
      this.#updatePlanner(member);
    }
  }

  /** Called after an answer of an upstream or its failure to answer; returns whether its state has changed. */
  sessionChanged(upstream: UpstreamId): boolean {
    const member = this.#members.get(upstream);
    if (member === undefined || member.state === this.#stateOf(member)) {
      return false;
    }
    this.#updatePlanner(member);
    return true;
  }

  readiness(): Readiness {
    const members = [...this.#members.values()];
    return {
      anyReady: members.some(({ state }) => state === 'ready'),
      allReported: members.every((member) => this.#isStateKnown(member)),
    };
  }

  /** Stops new work on draining upstreams that own no shards any more or whose drain time has passed. */
  run(now: MonotonicMillis): void {
    for (const [upstream, since] of [...this.#drainingSince]) {
      const member = this.#members.get(upstream);
      const ownsNothing = this.#parts.registry().shardsOwnedBy(upstream).size === 0;
      if (member !== undefined && (ownsNothing || now >= since + MAX_DRAIN_MILLIS)) {
        this.#drainingSince.delete(upstream);
        member.drained = true;
        this.#updateGranter(member, now);
      }
    }
  }

  nextDeadline(): MonotonicMillis {
    const [earliest] = this.#drainingSince.values();
    return earliest === undefined ? Number.POSITIVE_INFINITY : earliest + MAX_DRAIN_MILLIS;
  }

  #updateGranter({ record, drained }: Member, now: MonotonicMillis): void {
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

  #updatePlanner(member: Member): void {
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
    const isShuttingDown = view?.answer?.leaving ?? false;
    return this.#parts.registry().isLeaving(record.definition) || isShuttingDown ? 'draining' : 'ready';
  }

  #isStateKnown({ record, state }: Member): boolean {
    const view = this.#parts.granter.view(record.definition.id);
    const isGone = view?.failing === true && view.answeredAt !== null;
    return state !== 'lost' || this.#parts.registry().isLeaving(record.definition) || isGone;
  }
}

/** Returns whether an upstream has an open session and answers. */
function isAnswering({ incarnation }: UpstreamRecord, view: SessionView | undefined): boolean {
  const isLeased = view?.phase === 'leased' && view.incarnation === incarnation;
  return isLeased && incarnation !== null && !view.failing;
}
