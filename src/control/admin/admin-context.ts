/** State that the middlewares of the operator API share with its routes. */
import type { RouterContext } from '@koa/router';
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { PolicyRule } from '../../model/service.js';
import type { Operator } from '../../security/operator-tokens.js';
import type { OperatorRequest, OperatorResponse } from '../types.js';

/** Fields of the audit record of a change that its route fills in. */
export interface AuditFacts {
  /** Kind of change, e.g. `service-apply`. */
  readonly action: string;
  /** Object of the change, e.g. the name of the service. */
  readonly subject: string;
  readonly requestId: string;
  /** When the request had been read completely and was passed to the control core; absent if not measured. */
  readonly readAt?: MonotonicMillis;
}

/** State of one HTTP request. */
export interface AdminState {
  operator?: Operator;
  audit?: AuditFacts;
  /** Routine request of a program, such as a heartbeat without changes; not audited while it succeeds. */
  isRoutine?: boolean;
  /** Announcement of an upstream. Rejected ones go to the rate-limited log instead of the audit log. */
  isAnnouncement?: boolean;
  /** Start of an invalid body, kept for the log since its sender keeps no copy. */
  unusable?: string;
  /** Address of the leader in the redirect response. */
  redirectedTo?: string;
}

/** Context of a route. */
export type AdminContext = RouterContext<AdminState>;

/** Dependencies of the routes. */
export interface AdminServices {
  /** Passes a request to the control core. Throws nothing but `AdminError`; other failures are responses. */
  readonly operate: (request: OperatorRequest) => Promise<OperatorResponse>;
  /** Returns the faults of a policy program, one line each; empty if it is valid. */
  readonly checkPolicy: (policy: readonly PolicyRule[]) => readonly string[];
  readonly bodyLimitBytes: number;
}

/** Returns the name of the operator who sent a request, for the log. */
export function actorOf(context: AdminContext): string {
  return context.state.operator?.name ?? 'anonymous';
}
