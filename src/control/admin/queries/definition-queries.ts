/** `GET /v1/services`, `/v1/services/:name`, `/v1/upstreams` and `/v1/upstreams/:id`: linearizable reads. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { answerRead, expectResponse } from '../responses.js';

function notFound(kind: string, name: string): AdminError {
  return new AdminError('not-found', `there is no ${kind} ${JSON.stringify(name)}`);
}

async function readServices(services: AdminServices) {
  return expectResponse(await services.operate({ type: 'get-services' }), 'services');
}

async function readUpstreams(services: AdminServices) {
  return expectResponse(await services.operate({ type: 'get-upstreams' }), 'upstreams');
}

async function listServices(context: AdminContext, services: AdminServices): Promise<void> {
  const { revision, services: records } = await readServices(services);
  answerRead(context, revision, { revision, services: records });
}

async function getService(context: AdminContext, services: AdminServices): Promise<void> {
  const { name = '' } = context.params;
  const { services: records } = await readServices(services);
  const record = records.find((candidate) => candidate.definition.name === name);
  if (record === undefined) {
    throw notFound('service', name);
  }
  answerRead(context, record.revision, record);
}

async function listUpstreams(context: AdminContext, services: AdminServices): Promise<void> {
  const { revision, upstreams } = await readUpstreams(services);
  answerRead(context, revision, { revision, upstreams });
}

async function getUpstream(context: AdminContext, services: AdminServices): Promise<void> {
  const { id = '' } = context.params;
  const { upstreams } = await readUpstreams(services);
  const record = upstreams.find((candidate) => candidate.definition.id === id);
  if (record === undefined) {
    throw notFound('upstream', id);
  }
  answerRead(context, record.revision, record);
}

/** Adds the routes that read the definitions of services and upstreams. */
export function addDefinitionQueries(router: Router<AdminState>, services: AdminServices): void {
  router.get('/v1/services', (context) => listServices(context, services));
  router.get('/v1/services/:name', (context) => getService(context, services));
  router.get('/v1/upstreams', (context) => listUpstreams(context, services));
  router.get('/v1/upstreams/:id', (context) => getUpstream(context, services));
}
