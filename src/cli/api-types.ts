/** Response bodies of the operators' API. */

import type { OperatorResponse } from '../control/types.js';
import type { LedgerRecord } from '../ledger/types.js';
import type { CrashSuspect } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, Zone } from '../model/identifiers.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';

/** Response to a list of services. */
export interface ServicesBody {
  readonly revision: Revision;
  readonly services: readonly ServiceRecord[];
}

/** Response to a list of upstreams. */
export interface UpstreamsBody {
  readonly revision: Revision;
  readonly upstreams: readonly UpstreamRecord[];
}

/** Response to a list of shards. */
export interface ShardsBody {
  readonly revision: Revision;
  readonly shards: readonly ShardRecord[];
}

/** Response to a list of requests during which upstreams crashed. */
export interface SuspectsBody {
  readonly revision: Revision;
  readonly suspects: readonly CrashSuspect[];
}

/** Response to a list of evacuated zones. */
export interface EvacuationsBody {
  readonly revision: Revision;
  readonly evacuations: readonly EvacuationRecord[];
}

/** Response to evacuating or restoring a zone. */
export interface EvacuationBody {
  readonly zone: Zone;
  readonly isEvacuated: boolean;
  readonly revision: Revision;
}

/** Response to a lookup in the ledger. */
export type LedgerBody = LedgerRecord;

/** Response to a status query. */
export type StatusBody = Omit<Extract<OperatorResponse, { type: 'status' }>, 'type'>;

/** Response to a change of the control cluster. */
export type MembershipBody = Omit<Extract<OperatorResponse, { type: 'membership' }>, 'type'>;

/** Response to an accepted change. */
export interface ChangeBody {
  readonly revision: Revision;
  readonly inForce: boolean;
  readonly requestId: string;
}
