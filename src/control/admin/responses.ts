/** Converts responses of the control core to HTTP responses. */
import type { Revision } from '../../model/identifiers.js';
import type { CommandResult } from '../../registry/types.js';
import type { OperatorResponse } from '../types.js';
import type { AdminContext } from './admin-context.js';
import { AdminError } from './admin-error.js';
import { formatEtag } from './preconditions.js';

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_PRECONDITION_FAILED = 412;

/** In place of the request id of a change that is idempotent as it stands, so that it needs none. */
export const RESENT_AS_IT_WAS = '';

/** Responses that report a failure. */
type Failure = Extract<OperatorResponse, { type: 'not-leader' | 'rejected' | 'unknown' }>;

function failureOf(response: OperatorResponse): Failure | undefined {
  const { type } = response;
  return type === 'not-leader' || type === 'rejected' || type === 'unknown' ? response : undefined;
}

function toAdminError(failure: Failure, requestId: string | undefined): AdminError {
  switch (failure.type) {
    case 'not-leader': {
      const where = failure.leader === null ? 'no leader is known' : `the leader is ${failure.leader}`;
      const message = `this member isn't the leader; ${where}; nothing was changed`;
      return new AdminError('not-leader', message, { leader: failure.leader });
    }
    case 'rejected':
      return new AdminError('rejected', failure.message);
    case 'unknown':
      return requestId === undefined
        ? new AdminError('unavailable', 'the read was not confirmed in time')
        : outcomeUnknown(requestId);
  }
}

function outcomeUnknown(requestId: string): AdminError {
  return requestId === RESENT_AS_IT_WAS
    ? new AdminError('outcome-unknown', 'the change may or may not be made; send it again as it was')
    : new AdminError(
        'outcome-unknown',
        'the change may or may not be made; resend with the same request id',
        {
          requestId,
        },
      );
}

/** Returns the response if it has the given type. Throws `AdminError` otherwise. */
export function expectResponse<Type extends OperatorResponse['type']>(
  response: OperatorResponse,
  type: Type,
  requestId?: string,
): Extract<OperatorResponse, { type: Type }> {
  const failure = failureOf(response);
  if (failure !== undefined) {
    throw toAdminError(failure, requestId);
  }
  if (response.type !== type) {
    throw new AdminError('internal', `expected ${type} from the control core, got ${response.type}`);
  }
  return response as Extract<OperatorResponse, { type: Type }>;
}

/** Where the precondition of a change was given. A conflict has status 412 for a header, 409 for a field of the body. */
export type PreconditionPlace = 'header' | 'body';

/** Returns the revision at which a change was accepted. Throws `AdminError` if it was not accepted. */
export function acceptedRevision(result: CommandResult, place: PreconditionPlace): Revision {
  switch (result.type) {
    case 'accepted':
      return result.revision;
    case 'conflict': {
      const now = result.current === 0 ? 'it does not exist' : `its revision is ${result.current}`;
      const status = place === 'header' ? HTTP_PRECONDITION_FAILED : undefined;
      const details = { currentRevision: result.current };
      throw new AdminError('conflict', `someone else changed it: now ${now}`, details, { status });
    }
    case 'invalid':
      throw new AdminError('invalid-definition', result.message);
    case 'not-found':
      throw new AdminError('not-found', 'there is no such thing');
    case 'claim':
      throw new AdminError('internal', 'a claim is no answer to an operator');
  }
}

/** Body of the response to an accepted change. */
export interface AcceptedBody {
  readonly revision: Revision;
  /** Whether every router either applies the change or has stopped serving. */
  readonly inForce: boolean;
  readonly requestId: string;
}

/** Responds to an accepted change: 200 if it is in force on all routers, 202 otherwise. */
export function answerAccepted(context: AdminContext, body: AcceptedBody): void {
  context.status = body.inForce ? HTTP_OK : HTTP_ACCEPTED;
  context.set('ETag', formatEtag(body.revision));
  context.body = body;
}

/** Responds to a read, with its revision as ETag. */
export function answerRead(context: AdminContext, revision: Revision, body: unknown): void {
  context.set('ETag', formatEtag(revision));
  context.body = body;
}
