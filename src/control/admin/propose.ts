/** Proposes a change of an operator and responds with its outcome. */
import type { OperatorCommand } from '../../registry/types.js';
import { type AdminContext, type AdminServices, actorOf } from './admin-context.js';
import { readRequestId, readWait } from './preconditions.js';
import { acceptedRevision, answerAccepted, expectResponse, type PreconditionPlace } from './responses.js';

/** A change to propose. */
export interface Proposal {
  readonly command: OperatorCommand;
  /** Object of the change, for the audit log. */
  readonly subject: string;
  readonly precondition: PreconditionPlace;
}

/** Stores the fields of the audit record in the state of the request, and returns the request id. */
export function beginAudit(context: AdminContext, action: string, subject: string): string {
  const requestId = readRequestId(context);
  context.state.audit = { action, subject, requestId, readAt: performance.now() };
  return requestId;
}

/** Proposes a change and responds with its revision. Throws `AdminError`. */
export async function propose(
  context: AdminContext,
  services: AdminServices,
  proposal: Proposal,
): Promise<void> {
  const { command, subject, precondition } = proposal;
  const requestId = beginAudit(context, command.type, subject);
  const wait = readWait(context);
  const request = { type: 'command', requestId, actor: actorOf(context), command, wait } as const;
  const response = expectResponse(await services.operate(request), 'result', requestId);
  const revision = acceptedRevision(response.result, precondition);
  answerAccepted(context, { revision, inForce: response.inForce, requestId });
}
