/** `PUT` and `DELETE /v1/upstreams/:id`, and `POST /v1/upstreams/:id/drain`. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { drainBodySchema, upstreamBodySchema } from '../api-schemas.js';
import { readExpected } from '../preconditions.js';
import { propose } from '../propose.js';
import { checkBody, readJson } from '../request-body.js';
import { withPathName } from './service-commands.js';

async function applyUpstream(context: AdminContext, services: AdminServices): Promise<void> {
  const { id = '' } = context.params;
  const body = withPathName(await readJson(context, services.bodyLimitBytes), 'id', id);
  const definition = checkBody(upstreamBodySchema, body);
  const command = { type: 'upstream-apply', definition, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: id, precondition: 'header' });
}

async function removeUpstream(context: AdminContext, services: AdminServices): Promise<void> {
  const { id = '' } = context.params;
  const command = { type: 'upstream-remove', upstream: id, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: id, precondition: 'header' });
}

async function drainUpstream(context: AdminContext, services: AdminServices): Promise<void> {
  const { id = '' } = context.params;
  const { leaving } = checkBody(drainBodySchema, await readJson(context, services.bodyLimitBytes));
  const expected = readExpected(context);
  const command = { type: 'upstream-drain', upstream: id, leaving, expected } as const;
  await propose(context, services, { command, subject: id, precondition: 'header' });
}

/** Adds the routes that change upstreams. */
export function addUpstreamCommands(router: Router<AdminState>, services: AdminServices): void {
  router.put('/v1/upstreams/:id', (context) => applyUpstream(context, services));
  router.delete('/v1/upstreams/:id', (context) => removeUpstream(context, services));
  router.post('/v1/upstreams/:id/drain', (context) => drainUpstream(context, services));
}
