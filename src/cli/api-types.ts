/** Bodies of the operators' API as the command line reads them. */

import type { OperatorResponse } from '../control/types.js';
import type { LedgerRecord } from '../ledger/types.js';
import type { CrashSuspect } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, Zone } from '../model/identifiers.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';

/** Answer to a list of services. */
export interface ServicesBody {
  readonly revision: Revision;
  readonly services: readonly ServiceRecord[];
}

/** Answer to a list of upstreams. */
export interface UpstreamsBody {
  readonly revision: Revision;
  readonly upstreams: readonly UpstreamRecord[];
}

/** Answer to a list of shards. */
export interface ShardsBody {
  readonly revision: Revision;
  readonly shards: readonly ShardRecord[];
}

/** Answer to a list of requests under which upstreams ended. */
export interface SuspectsBody {
  readonly revision: Revision;
  readonly suspects: readonly CrashSuspect[];
}

/** Answer to a list of zones out of use. */
export interface EvacuationsBody {
  readonly revision: Revision;
  readonly evacuations: readonly EvacuationRecord[];
}

/** Answer to an order to take a zone out of use, or to use it again. */
export interface EvacuationBody {
  readonly zone: Zone;
  readonly isEvacuated: boolean;
  readonly revision: Revision;
}

/** Answer to a look into the ledger. */
export type LedgerBody = LedgerRecord;

/** Answer to a read of the status. */
export type StatusBody = Omit<Extract<OperatorResponse, { type: 'status' }>, 'type'>;

/** Answer to a change of the control cluster. */
export type MembershipBody = Omit<Extract<OperatorResponse, { type: 'membership' }>, 'type'>;

/** Answer to a change that was accepted. */
export interface ChangeBody {
  readonly revision: Revision;
  readonly inForce: boolean;
  readonly requestId: string;
}
