/** `PUT` and `DELETE /v1/upstreams/:id`, and `POST /v1/upstreams/:id/drain`. */
import type { Router } from '@koa/router';
import type { UpstreamRecord } from '../../../registry/types.js';
import { type AdminContext, type AdminServices, type AdminState, actorOf } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { drainBodySchema, upstreamBodySchema } from '../api-schemas.js';
import { readExpected, readWait } from '../preconditions.js';
import { beginAudit, propose } from '../propose.js';
import { checkBody, readJson } from '../request-body.js';
import { acceptedRevision, answerAccepted, expectResponse } from '../responses.js';
import { withPathName } from './service-commands.js';

/** Changes that others make meanwhile are read again this many times. */
const DRAIN_ATTEMPTS = 5;

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

async function findUpstream(services: AdminServices, id: string): Promise<UpstreamRecord> {
  const response = expectResponse(await services.operate({ type: 'get-upstreams' }), 'upstreams');
  const record = response.upstreams.find((candidate) => candidate.definition.id === id);
  if (record === undefined) {
    throw new AdminError('not-found', `there is no upstream ${JSON.stringify(id)}`);
  }
  return record;
}

/**
 * Reads the upstream and applies it with `leaving` changed. Each attempt has a request id of its own, made from the
 * operator's, so that a resend goes through the same attempts and finds their first outcomes.
 */
async function drainUpstream(context: AdminContext, services: AdminServices): Promise<void> {
  const { id = '' } = context.params;
  const { leaving } = checkBody(drainBodySchema, await readJson(context, services.bodyLimitBytes));
  const requestId = beginAudit(context, leaving ? 'upstream-drain' : 'upstream-undrain', id);
  const wait = readWait(context);
  for (let attempt = 1; ; attempt += 1) {
    const record = await findUpstream(services, id);
    const request = {
      type: 'command',
      requestId: `${requestId}#${attempt}`,
      actor: actorOf(context),
      command: {
        type: 'upstream-apply',
        definition: { ...record.definition, leaving },
        expected: record.revision,
      },
      wait,
    } as const;
    const response = expectResponse(await services.operate(request), 'result', requestId);
    if (response.result.type !== 'conflict' || attempt === DRAIN_ATTEMPTS) {
      const revision = acceptedRevision(response.result, 'body');
      answerAccepted(context, { revision, inForce: response.inForce, requestId });
      return;
    }
  }
}

/** Adds the routes that change upstreams. */
export function addUpstreamCommands(router: Router<AdminState>, services: AdminServices): void {
  router.put('/v1/upstreams/:id', (context) => applyUpstream(context, services));
  router.delete('/v1/upstreams/:id', (context) => removeUpstream(context, services));
  router.post('/v1/upstreams/:id/drain', (context) => drainUpstream(context, services));
}
