/** `POST /v1/shards/move`. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { moveBodySchema } from '../api-schemas.js';
import { propose } from '../propose.js';
import { checkBody, readJson } from '../request-body.js';

async function moveShard(context: AdminContext, services: AdminServices): Promise<void> {
  const body = checkBody(moveBodySchema, await readJson(context, services.bodyLimitBytes));
  const command = { type: 'shard-move', ...body } as const;
  await propose(context, services, { command, subject: body.shard, precondition: 'body' });
}

/** Adds the routes that change ownership. */
export function addShardCommands(router: Router<AdminState>, services: AdminServices): void {
  router.post('/v1/shards/move', (context) => moveShard(context, services));
}
