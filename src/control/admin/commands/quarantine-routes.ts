/** `GET /v1/suspects` and `DELETE /v1/suspects/:fingerprint`: requests during which upstreams terminated. */
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

async function releaseSuspect(context: AdminContext, services: AdminServices): Promise<void> {
  const { fingerprint = '' } = context.params;
  const command = { type: 'quarantine-release', fingerprint, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: fingerprint, precondition: 'header' });
}

/** Adds the routes that list suspects and release them from quarantine. */
export function addQuarantineRoutes(router: Router<AdminState>, services: AdminServices): void {
  router.get('/v1/suspects', (context) => listSuspects(context, services));
  router.delete('/v1/suspects/:fingerprint', (context) => releaseSuspect(context, services));
}
