/** `POST /v1/control/...`: changes to the membership of the control cluster. */
import type { Router } from '@koa/router';
import type { OperatorRequest } from '../../types.js';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import {
  addLearnerBodySchema,
  emptyBodySchema,
  replaceBodySchema,
  transferBodySchema,
} from '../api-schemas.js';
import { beginAudit } from '../propose.js';
import { checkBody, readJson } from '../request-body.js';
import { expectResponse } from '../responses.js';

const HTTP_ACCEPTED = 202;

/** Responds with 200 if the cluster is at full strength, 202 while the new replica catches up. */
async function changeMembers(
  context: AdminContext,
  services: AdminServices,
  request: OperatorRequest,
  subject: string,
): Promise<void> {
  const requestId = beginAudit(context, request.type, subject);
  const response = expectResponse(await services.operate(request), 'membership', requestId);
  const { membership, repaired } = response;
  if (!repaired) {
    context.status = HTTP_ACCEPTED;
  }
  context.body = { membership, repaired };
}

async function addLearner(context: AdminContext, services: AdminServices): Promise<void> {
  const body = checkBody(addLearnerBodySchema, await readJson(context, services.bodyLimitBytes));
  await changeMembers(context, services, { type: 'add-learner', ...body }, body.replica);
}

async function addVoter(context: AdminContext, services: AdminServices): Promise<void> {
  const body = checkBody(addLearnerBodySchema, await readJson(context, services.bodyLimitBytes));
  await changeMembers(context, services, { type: 'add-voter', ...body }, body.replica);
}

async function replaceReplica(context: AdminContext, services: AdminServices): Promise<void> {
  const body = checkBody(replaceBodySchema, await readJson(context, services.bodyLimitBytes));
  const subject = `${body.oldReplica} by ${body.newReplica}`;
  await changeMembers(context, services, { type: 'replace-replica', ...body }, subject);
}

async function transferLeadership(context: AdminContext, services: AdminServices): Promise<void> {
  const { to } = checkBody(transferBodySchema, await readJson(context, services.bodyLimitBytes));
  const requestId = beginAudit(context, 'transfer-leadership', to ?? 'any');
  expectResponse(await services.operate({ type: 'transfer-leadership', to }), 'done', requestId);
  context.body = { done: true };
}

async function takeSnapshot(context: AdminContext, services: AdminServices): Promise<void> {
  checkBody(emptyBodySchema, await readJson(context, services.bodyLimitBytes));
  const requestId = beginAudit(context, 'take-snapshot', 'control');
  expectResponse(await services.operate({ type: 'take-snapshot' }), 'done', requestId);
  context.body = { done: true };
}

/** Adds the routes that change the control cluster. */
export function addMemberCommands(router: Router<AdminState>, services: AdminServices): void {
  router.post('/v1/control/add-learner', (context) => addLearner(context, services));
  router.post('/v1/control/add', (context) => addVoter(context, services));
  router.post('/v1/control/replace', (context) => replaceReplica(context, services));
  router.post('/v1/control/transfer', (context) => transferLeadership(context, services));
  router.post('/v1/control/snapshot', (context) => takeSnapshot(context, services));
}
