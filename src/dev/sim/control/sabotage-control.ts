/** Sabotages of control members, applied where the simulated I/O layer exchanges inputs and effects with the core. */
import type { PersistRequest } from '../../../consensus/types.js';
import type { ControlToRouter, SyncResponse } from '../../../control/messages.js';
import type { OperatorRequest, OperatorResponse } from '../../../control/types.js';
import type { RangeTimings } from '../../../lease/range-timings.js';
import type { SessionRequest } from '../../../lease/types.js';
import { DEFAULT_QUARANTINE_SETTINGS, type QuarantineSettings } from '../../../model/crash-suspect.js';
import { readParts } from '../../../registry/snapshot-codec.js';
import { encodePart } from '../../../registry/snapshot-encoder.js';
import type { SnapshotPart } from '../../../registry/snapshot-parts.js';
import type { RoutingDelta, UpstreamRecord } from '../../../registry/types.js';
import { SIM_RANGE_TIMINGS } from '../ranges/sim-range-server.js';
import type { SabotageName } from '../sabotages.js';
import type { SimControl } from './sim-control.js';

type Active = SabotageName | null;

/** Added to leases by `grant-before-lease-end`. */
const LEASE_EXTRA_MILLIS = 3000;

export function sabotageQuarantine(sabotage: Active): QuarantineSettings {
  const crashes = sabotage === 'one-crash-quarantines' ? 1 : DEFAULT_QUARANTINE_SETTINGS.crashes;
  return { ...DEFAULT_QUARANTINE_SETTINGS, crashes };
}

export function sabotageRangeTimings(sabotage: Active): RangeTimings {
  return sabotage === 'late-grants-uncounted' ? { ...SIM_RANGE_TIMINGS, lateMillis: 0 } : SIM_RANGE_TIMINGS;
}

export function sabotageSessionRequest(request: SessionRequest, sabotage: Active): SessionRequest {
  if (sabotage !== 'grant-before-lease-end' || request.validUntil === null) {
    return request;
  }
  return { ...request, validUntil: request.validUntil + LEASE_EXTRA_MILLIS };
}

export function sabotageOperatorRequest(request: OperatorRequest, sabotage: Active): OperatorRequest {
  if (request.type === 'declare' && sabotage === 'retired-ranges-dropped') {
    const { retiresRanges: _dropped, ...change } = request.change;
    return { ...request, change };
  }
  if (request.type !== 'command') {
    return request;
  }
  if (sabotage === 'compare-and-set-ignored') {
    return { ...request, command: { ...request.command, expected: null } };
  }
  return request;
}

export function sabotagePersist(request: PersistRequest, sabotage: Active): PersistRequest {
  if (sabotage === 'vote-not-kept') {
    const { hardState: _dropped, ...rest } = request;
    return rest;
  }
  const { snapshot } = request;
  const lost = sabotage === null ? undefined : OMITTED_SNAPSHOT_PARTS[sabotage];
  if (snapshot === undefined || lost === undefined) {
    return request;
  }
  return { ...request, snapshot: { ...snapshot, data: withoutPart(snapshot.data, lost) } };
}

/** Parts of the registry's snapshots that sabotages omit. */
const OMITTED_SNAPSHOT_PARTS: Partial<Record<SabotageName, SnapshotPart['part']>> = {
  'dedup-lost-in-snapshot': 'dedup',
  'ledger-lost-in-snapshot': 'records',
  'retired-ranges-lost-in-snapshot': 'retired-ranges',
};

function withoutPart(data: Uint8Array, lost: SnapshotPart['part']): Uint8Array {
  const kept = [...readParts(data)].filter(({ part }) => part !== lost);
  return Buffer.concat(kept.map(encodePart));
}

export function sabotageRouterMessage(message: ControlToRouter, control: SimControl): ControlToRouter {
  if (control.sabotage === 'evacuations-untold') {
    return withoutEvacuations(message);
  }
  if (message.type === 'sync-news' && control.sabotage === 'drain-ignored') {
    return { ...message, delta: withoutLeavingIn(message.delta) };
  }
  if (message.type !== 'sync-response') {
    return message;
  }
  switch (control.sabotage) {
    case 'sync-without-quorum':
      return { ...message, confirmed: true };
    case 'drain-ignored':
      return withoutLeaving(message);
    default:
      return message;
  }
}

function withoutEvacuations(message: ControlToRouter): ControlToRouter {
  if (message.type === 'sync-news') {
    return { ...message, delta: withoutEvacuationsIn(message.delta) };
  }
  if (message.type !== 'sync-response') {
    return message;
  }
  const { snapshot, delta } = message;
  return {
    ...message,
    snapshot: snapshot && { ...snapshot, evacuations: [] },
    delta: delta && withoutEvacuationsIn(delta),
  };
}

function withoutEvacuationsIn(delta: RoutingDelta): RoutingDelta {
  return { ...delta, changes: delta.changes.filter(({ type }) => type !== 'evacuation') };
}

function withoutLeaving(response: SyncResponse): SyncResponse {
  const { snapshot, delta } = response;
  return {
    ...response,
    snapshot: snapshot && { ...snapshot, upstreams: snapshot.upstreams.map(withoutLeavingFlag) },
    delta: delta && withoutLeavingIn(delta),
  };
}

function withoutLeavingIn(delta: RoutingDelta): RoutingDelta {
  const changes = delta.changes.map((change) =>
    change.type === 'upstream' && change.record !== null
      ? { ...change, record: withoutLeavingFlag(change.record) }
      : change,
  );
  return { ...delta, changes };
}

function withoutLeavingFlag(record: UpstreamRecord): UpstreamRecord {
  return { ...record, definition: { ...record.definition, leaving: false } };
}

/** Replaces responses under `wait-cut-short` and `revision-by-count`; the latter numbers changes by the count that a run has accepted. */
export function sabotageOperatorResponse(response: OperatorResponse, control: SimControl): OperatorResponse {
  if (control.sabotage === 'wait-cut-short' && response.type === 'result') {
    return { ...response, inForce: response.result.type === 'accepted' };
  }
  if (control.sabotage !== 'revision-by-count' || response.type !== 'result') {
    return response;
  }
  if (response.result.type !== 'accepted') {
    return response;
  }
  control.acceptedChanges += 1;
  return { ...response, result: { type: 'accepted', revision: control.acceptedChanges } };
}
