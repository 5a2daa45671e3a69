/** `GET /v1/suspects` and `DELETE /v1/suspects/:fingerprint`: requests under which upstreams ended. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { readExpected } from '../preconditions.js';
import { propose } from '../propose.js';
import { answerRead, expectResponse } from '../responses.js';

async function listSuspects(context: AdminContext, services: AdminServices): Promise<void> {
  const response = expectResponse(await services.operate({ type: 'get-suspects' }), 'suspects');
  const { revision, suspects } = response;
  answerRead(context, revision, { revision, suspects });
}

async function release(context: AdminContext, services: AdminServices): Promise<void> {
  const { fingerprint = '' } = context.params;
  const command = { type: 'quarantine-release', fingerprint, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: fingerprint, precondition: 'header' });
}

/** Adds the routes that show suspects and let them pass again. */
export function addQuarantineRoutes(router: Router<AdminState>, services: AdminServices): void {
  router.get('/v1/suspects', (context) => listSuspects(context, services));
  router.delete('/v1/suspects/:fingerprint', (context) => release(context, services));
}
