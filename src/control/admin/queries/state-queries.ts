/** `GET /v1/shards`, `/v1/ledger/:service/:key` and `/v1/status`. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { answerRead, expectResponse } from '../responses.js';

/** Returns an optional query parameter. Throws `AdminError` if it is repeated. */
function readQueryParameter(context: AdminContext, name: string): string | undefined {
  const value = context.query[name];
  if (Array.isArray(value)) {
    throw new AdminError('invalid-request', `${name} must stand once`);
  }
  return value;
}

async function listShards(context: AdminContext, services: AdminServices): Promise<void> {
  const owner = readQueryParameter(context, 'owner');
  const shard = readQueryParameter(context, 'shard');
  const request = {
    type: 'get-shards',
    service: readQueryParameter(context, 'service') ?? null,
    ...(owner === undefined ? {} : { owner }),
    ...(shard === undefined ? {} : { shard }),
  } as const;
  const { revision, shards } = expectResponse(await services.operate(request), 'shards');
  answerRead(context, revision, { revision, shards });
}

async function getLedgerRecord(context: AdminContext, services: AdminServices): Promise<void> {
  const { service = '', key = '' } = context.params;
  const response = expectResponse(await services.operate({ type: 'get-ledger', service, key }), 'ledger');
  if (response.record === null) {
    const message = `the ledger has no request ${JSON.stringify(key)} of service ${JSON.stringify(service)}`;
    throw new AdminError('not-found', message);
  }
  answerRead(context, response.record.revision, response.record);
}

async function getStatus(context: AdminContext, services: AdminServices): Promise<void> {
  const { type: _, ...status } = expectResponse(await services.operate({ type: 'get-status' }), 'status');
  context.body = status;
}

/** Adds the routes that read the system's state. */
export function addStateQueries(router: Router<AdminState>, services: AdminServices): void {
  router.get('/v1/shards', (context) => listShards(context, services));
  router.get('/v1/ledger/:service/:key', (context) => getLedgerRecord(context, services));
  router.get('/v1/status', (context) => getStatus(context, services));
}
