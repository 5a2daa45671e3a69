/**
 * `GET /v1/evacuations`, `PUT` and `DELETE /v1/evacuations/:zone`: zones whose upstreams get no new requests. Both changes are
 * idempotent and can be resent to any member.
 */
import type { Router } from '@koa/router';
import { type AdminContext, type AdminServices, type AdminState, actorOf } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { redirectToLeader } from '../leader-redirect.js';
import { acceptedRevision, answerRead, expectResponse, RESENT_AS_IT_WAS } from '../responses.js';

async function setEvacuation(context: AdminContext, services: AdminServices, isOut: boolean): Promise<void> {
  const { zone = '' } = context.params;
  context.state.audit = { action: isOut ? 'evacuate' : 'end-evacuation', subject: zone, requestId: '' };
  const request = { type: 'evacuate', actor: actorOf(context), zone, isOut } as const;
  const response = await services.operate(request);
  if (redirectToLeader(context, response)) {
    return;
  }
  const { result } = expectResponse(response, 'result', RESENT_AS_IT_WAS);
  if (result.type === 'not-found') {
    throw new AdminError('not-found', `zone: there is no zone ${JSON.stringify(zone)}`);
  }
  context.body = { zone, isEvacuated: isOut, revision: acceptedRevision(result, 'header') };
}

async function listEvacuations(context: AdminContext, services: AdminServices): Promise<void> {
  const response = await services.operate({ type: 'get-evacuations' });
  const { revision, evacuations } = expectResponse(response, 'evacuations');
  answerRead(context, revision, { revision, evacuations });
}

/** Adds the routes that start, end and list evacuations of zones. */
export function addEvacuationRoutes(router: Router<AdminState>, services: AdminServices): void {
  router.get('/v1/evacuations', (context) => listEvacuations(context, services));
  router.put('/v1/evacuations/:zone', (context) => setEvacuation(context, services, true));
  router.delete('/v1/evacuations/:zone', (context) => setEvacuation(context, services, false));
}
