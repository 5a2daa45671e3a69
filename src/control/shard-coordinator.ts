/**
 * The leader's work on ownership: grants shards without owner, moves them off leaving or crowded upstreams, and tells
 * each session what to order. All of it follows from the registry and from what upstreams answer in this leadership.
 */
import type { SessionTarget, SessionView } from '../lease/granter-types.js';
import type { LeaseGranter } from '../lease/lease-granter.js';
import type { ShardOrder } from '../lease/types.js';
import type { MonotonicMillis, ServiceName, UpstreamId } from '../model/identifiers.js';
import type { Registry, ShardRecord, UpstreamRecord } from '../registry/types.js';
import type { LeaderProposals } from './leader-proposals.js';
import { hasReleased, MoveTracker } from './move-tracker.js';
import {
  grantOrder,
  keyedServices,
  keyMapOf,
  revokeOrder,
  type ServiceShards,
  warmOrder,
} from './service-shards.js';
import type { ShardAssigner, ShardAssignment } from './shard-assigner.js';

/** Shards never granted wait this long for all upstreams to answer, so that the first one doesn't get them all. */
const SETTLE_MILLIS = 500;
/** A leaving upstream serves this long while its shards move away; then it takes no new work of any kind. */
const LEAVE_MILLIS = 1500;
const MINUTE_MILLIS = 60_000;

export interface ShardCoordinatorParts {
  readonly granter: LeaseGranter;
  readonly proposals: LeaderProposals;
  readonly assigner: ShardAssigner;
}

export class ShardCoordinator {
  readonly #parts: ShardCoordinatorParts;
  readonly #moves = new MoveTracker();
  readonly #unownedSince = new Map<ServiceName, MonotonicMillis>();
  readonly #leavingSince = new Map<UpstreamId, MonotonicMillis>();
  readonly #nextMoveAt = new Map<ServiceName, MonotonicMillis>();
  /** Earliest time at which something changes by itself, as of the last plan. */
  #deadline: MonotonicMillis = Number.POSITIVE_INFINITY;

  constructor(parts: ShardCoordinatorParts) {
    this.#parts = parts;
  }

  /** Brings sessions into line with the registry and proposes what is to change next. */
  plan(registry: Registry, now: MonotonicMillis): void {
    this.#deadline = Number.POSITIVE_INFINITY;
    const services = keyedServices(registry);
    this.#noteLeaving(services, now);
    this.#parts.granter.update(
      services.flatMap((shards) => this.#targetsOf(shards, now)),
      now,
    );
    this.#moves.keepOnly(new Set(services.flatMap(({ current }) => current.map(({ shard }) => shard))));
    for (const shards of services) {
      this.#releaseGivenUp(shards, now);
      this.#grantUnowned(shards, now);
      this.#startMoves(shards, now);
    }
    this.#wakeAt(this.#moves.nextDeadline(now), now);
  }

  nextDeadline(): MonotonicMillis {
    return this.#deadline;
  }

  #noteLeaving(services: readonly ServiceShards[], now: MonotonicMillis): void {
    const leaving = new Set<UpstreamId>();
    for (const { definition } of services.flatMap(({ upstreams }) => upstreams)) {
      if (definition.leaving) {
        leaving.add(definition.id);
        this.#leavingSince.set(definition.id, this.#leavingSince.get(definition.id) ?? now);
      }
    }
    for (const upstream of [...this.#leavingSince.keys()]) {
      if (!leaving.has(upstream)) {
        this.#leavingSince.delete(upstream);
      }
    }
  }

  #targetsOf(shards: ServiceShards, now: MonotonicMillis): SessionTarget[] {
    const orders = this.#ordersOf(shards, now);
    return shards.upstreams.map(({ definition, incarnation }) => ({
      upstream: definition.id,
      address: definition.address,
      incarnation,
      keyMap: keyMapOf(shards.service),
      orders: orders.get(definition.id) ?? [],
      drain: definition.leaving && this.#mustDrain(definition.id, shards, now),
    }));
  }

  #mustDrain(upstream: UpstreamId, { current }: ServiceShards, now: MonotonicMillis): boolean {
    const drainAt = (this.#leavingSince.get(upstream) ?? now) + LEAVE_MILLIS;
    this.#wakeAt(drainAt, now);
    return now >= drainAt || !current.some((record) => record.owner === upstream);
  }

  #ordersOf(shards: ServiceShards, now: MonotonicMillis): Map<UpstreamId, ShardOrder[]> {
    const orders = new Map<UpstreamId, ShardOrder[]>();
    const give = (upstream: UpstreamId | null, order: ShardOrder): void => {
      if (upstream !== null) {
        orders.set(upstream, [...(orders.get(upstream) ?? []), order]);
      }
    };
    for (const record of shards.retiring) {
      give(record.owner, revokeOrder(record, shards.service));
    }
    for (const record of shards.current) {
      const isRevoked = this.#moves.isRevoked(record, this.#parts.granter, now);
      give(record.owner, isRevoked ? revokeOrder(record, shards.service) : grantOrder(record));
      if (record.owner !== null && record.owner !== record.movingTo) {
        give(record.movingTo, warmOrder(record));
      }
    }
    return orders;
  }

  #releaseGivenUp({ current, retiring }: ServiceShards, now: MonotonicMillis): void {
    const { granter, proposals } = this.#parts;
    const due = [...retiring, ...current].filter(
      (record) =>
        record.owner !== null &&
        hasReleased(record, granter.view(record.owner)) &&
        proposals.isFree(releaseName(record), now),
    );
    if (due.length > 0) {
      const releases = due.map(({ shard, epoch }) => ({ shard, epoch }));
      proposals.propose(due.map(releaseName), { type: 'shard-release', releases });
    }
  }

  /** Under a new key map nothing is granted before every shard of the old one is given up. */
  #grantUnowned(shards: ServiceShards, now: MonotonicMillis): void {
    const { proposals, assigner } = this.#parts;
    const unowned = shards.current.filter((record) => record.owner === null);
    if (unowned.length === 0 || shards.retiring.length > 0) {
      this.#unownedSince.delete(shards.service.definition.name);
      return;
    }
    const isSettled = this.#isSettled(shards, now);
    const due = unowned.filter(
      (record) => (isSettled || record.epoch > 0) && proposals.isFree(grantName(record), now),
    );
    const assignments = assigner.assign(shards, due, this.#readyOf(shards));
    if (assignments.length > 0) {
      const grants = assignments.map(toGrant);
      proposals.propose(
        assignments.map(({ record }) => grantName(record)),
        { type: 'grant-batch', grants },
      );
    }
  }

  /** Whether every upstream that could take a grant has answered or failed to, or waiting longer isn't worth it. */
  #isSettled({ service, upstreams }: ServiceShards, now: MonotonicMillis): boolean {
    const { name } = service.definition;
    const since = this.#unownedSince.get(name) ?? now;
    this.#unownedSince.set(name, since);
    this.#wakeAt(since + SETTLE_MILLIS, now);
    const isOpen = (upstream: UpstreamRecord): boolean => {
      const view = this.#parts.granter.view(upstream.definition.id);
      return upstream.definition.leaving || view?.failing === true || isReady(upstream, view);
    };
    return now >= since + SETTLE_MILLIS || upstreams.every(isOpen);
  }

  #startMoves(shards: ServiceShards, now: MonotonicMillis): void {
    const ready = this.#readyOf(shards);
    const moves = [
      ...this.#parts.assigner.evacuate(shards, ready),
      ...this.#balancingMove(shards, ready, now),
    ];
    const due = moves.filter(({ record }) => this.#parts.proposals.isFree(moveName(record), now));
    if (due.length > 0) {
      const names = due.map(({ record }) => moveName(record));
      this.#parts.proposals.propose(names, { type: 'move-start', moves: due.map(toMove) });
    }
  }

  /** At most one at a time for each service, and only as many a minute as operators allow. */
  #balancingMove(
    shards: ServiceShards,
    ready: readonly UpstreamRecord[],
    now: MonotonicMillis,
  ): ShardAssignment[] {
    const { name, movesPerMinute } = shards.service.definition;
    const isCalm = shards.current.every((record) => record.owner !== null && record.movingTo === null);
    const notBefore = this.#nextMoveAt.get(name) ?? Number.NEGATIVE_INFINITY;
    if (movesPerMinute <= 0 || !isCalm || shards.retiring.length > 0) {
      return [];
    }
    if (now < notBefore) {
      this.#wakeAt(notBefore, now);
      return [];
    }
    const move = this.#parts.assigner.rebalance(shards, ready);
    if (move === undefined) {
      return [];
    }
    this.#nextMoveAt.set(name, now + MINUTE_MILLIS / movesPerMinute);
    return [move];
  }

  #readyOf({ upstreams }: ServiceShards): UpstreamRecord[] {
    return upstreams.filter((upstream) =>
      isReady(upstream, this.#parts.granter.view(upstream.definition.id)),
    );
  }

  #wakeAt(deadline: MonotonicMillis, now: MonotonicMillis): void {
    if (deadline > now) {
      this.#deadline = Math.min(this.#deadline, deadline);
    }
  }
}

/** Whether an upstream's session is open and it answers. */
function isReady({ incarnation, definition }: UpstreamRecord, view: SessionView | undefined): boolean {
  const isLeased = view?.phase === 'leased' && view.incarnation === incarnation;
  return isLeased && incarnation !== null && !view.failing && !definition.leaving;
}

function grantName({ shard }: ShardRecord): string {
  return `grant ${shard}`;
}

function releaseName({ shard, epoch }: ShardRecord): string {
  return `release ${shard} ${epoch}`;
}

function moveName({ shard }: ShardRecord): string {
  return `move ${shard}`;
}

function toGrant({ record, to }: ShardAssignment) {
  return {
    shard: record.shard,
    to: to.definition.id,
    incarnation: to.incarnation ?? '',
    expectedEpoch: record.epoch,
  };
}

function toMove({ record, to }: ShardAssignment) {
  return { shard: record.shard, to: to.definition.id, epoch: record.epoch };
}
