/** Creates a leader's state of one service with ranges, with the carrier that its declaration names. */
import type { RangeTimings } from '../../lease/range-timings.js';
import { DEPOSED_GRANTER_MILLIS, longestHoldMillis } from '../../lease/timed-grants.js';
import { GRANT_CARRIERS, type GrantCarrier } from '../../model/grant-carrier.js';
import type { MonotonicMillis, ServiceName, UpstreamId } from '../../model/identifiers.js';
import { DEFAULT_RANGE_GRANTS, type RangeGrantSettings } from '../../model/service.js';
import type { CapacityLimit } from '../../placement/ranges/capacity-limit.js';
import type { Registry, ServiceRecord } from '../../registry/types.js';
import { CallCarrier } from './call-carrier.js';
import { HeartbeatCarrier } from './heartbeat-carrier.js';
import { HeartbeatHolders } from './heartbeat-holders.js';
import type { HolderTable } from './holder-table.js';
import { type LogRangeEvent, RangeService } from './range-service.js';

export interface LeaderService {
  readonly terms: RangeGrantSettings;
  readonly ranges: RangeService;
  /** `null` if its ranges are not granted by heartbeats. */
  readonly heartbeats: HeartbeatCarrier | null;
}

export interface LeaderServiceParts {
  readonly service: ServiceName;
  readonly terms: RangeGrantSettings;
  readonly registry: () => Registry;
  readonly timings: RangeTimings;
  /** Results of calls and heartbeats of all upstreams. */
  readonly holders: HolderTable;
  readonly log: LogRangeEvent;
  /** Load limits of constrained upstreams. */
  readonly loadLimits: () => ReadonlyMap<UpstreamId, CapacityLimit>;
}

/** Returns how the ranges of a service are granted. */
export function grantTermsOf({ definition }: ServiceRecord): RangeGrantSettings {
  return definition.rangeGrants ?? DEFAULT_RANGE_GRANTS;
}

const FACTORIES: Readonly<
  Record<GrantCarrier, (parts: LeaderServiceParts, now: MonotonicMillis) => LeaderService>
> = {
  [GRANT_CARRIERS.request]: createCallGranted,
  [GRANT_CARRIERS.heartbeat]: createHeartbeatGranted,
};

/** Starts a service. `now` is the start of this leadership, or the time at which the carrier was changed. */
export function createLeaderService(parts: LeaderServiceParts, now: MonotonicMillis): LeaderService {
  return FACTORIES[parts.terms.carrier](parts, now);
}

/**
 * Creates a service granted by calls. After a change of the carrier, upstreams may still hold keys granted in
 * responses to heartbeats.
 */
function createCallGranted(parts: LeaderServiceParts, now: MonotonicMillis): LeaderService {
  const { service, terms, registry, timings, holders, log, loadLimits } = parts;
  if (terms.hasChanged) {
    const end = now + DEPOSED_GRANTER_MILLIS + longestHoldMillis(timings);
    for (const { definition } of registry().upstreams().values()) {
      if (definition.service === service) {
        holders.extendHold(definition.id, end);
      }
    }
  }
  const ranges = new RangeService(
    {
      service,
      registry,
      log,
      loadLimits,
      evidence: holders,
      heartbeatMillis: timings.heartbeatMillis,
      createCarrier: (carrierParts, _wanted, startedAt) =>
        new CallCarrier(carrierParts, holders, timings, startedAt),
    },
    now,
  );
  return { terms, ranges, heartbeats: null };
}

/**
 * Creates a service granted by heartbeats. After a change of the carrier, an unanswered call may be accepted late,
 * and its keys are then held.
 */
function createHeartbeatGranted(parts: LeaderServiceParts, now: MonotonicMillis): LeaderService {
  const { service, terms, registry, timings, log, loadLimits } = parts;
  const lastCallTakenAt = now + DEPOSED_GRANTER_MILLIS + timings.lateMillis;
  const callGrantsUntil = terms.hasChanged
    ? lastCallTakenAt + longestHoldMillis(timings)
    : Number.NEGATIVE_INFINITY;
  const holders = new HeartbeatHolders(timings, now, callGrantsUntil);
  const created: { carrier: HeartbeatCarrier | null } = { carrier: null };
  const ranges = new RangeService(
    {
      service,
      registry,
      log,
      loadLimits,
      evidence: holders,
      heartbeatMillis: timings.heartbeatMillis,
      createCarrier: (carrierParts, wanted) => {
        created.carrier = new HeartbeatCarrier({ ...carrierParts, holders, timings, wanted });
        return created.carrier;
      },
    },
    now,
  );
  return { terms, ranges, heartbeats: created.carrier };
}
