/** Bodies of the operators' API as the command line reads them. */

import type { OperatorResponse } from '../control/types.js';
import type { LedgerRecord } from '../ledger/types.js';
import type { Revision } from '../model/identifiers.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';

export interface ServicesBody {
  readonly revision: Revision;
  readonly services: readonly ServiceRecord[];
}
export interface UpstreamsBody {
  readonly revision: Revision;
  readonly upstreams: readonly UpstreamRecord[];
}
export interface ShardsBody {
  readonly revision: Revision;
  readonly shards: readonly ShardRecord[];
}
export type LedgerBody = LedgerRecord;
export type StatusBody = Omit<Extract<OperatorResponse, { type: 'status' }>, 'type'>;
export type MembershipBody = Omit<Extract<OperatorResponse, { type: 'membership' }>, 'type'>;
export interface ChangeBody {
  readonly revision: Revision;
  readonly inForce: boolean;
  readonly requestId: string;
}
