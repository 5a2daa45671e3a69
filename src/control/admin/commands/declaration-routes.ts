/**
 * `PUT`, `PATCH` and `GET /v1/declaration`: the declared document, in whole or in part. `If-Match` holds the version that a
 * change is based on, 0 for the first; an accepted change can be resent to any member.
 */
import type { Router } from '@koa/router';
import { z } from 'zod';
import { deepJson } from '../../../registry/index.js';
import type { DeclarationChange } from '../../../registry/types.js';
import { type AdminContext, type AdminServices, type AdminState, actorOf } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { redirectToLeader } from '../leader-redirect.js';
import { checkBody, readJson } from '../request-body.js';
import { acceptedRevision, expectResponse, RESENT_AS_IT_WAS } from '../responses.js';

const DOCUMENT_LIMIT_BYTES = 32 * 1024 * 1024;
const IF_MATCH_PATTERN = /^"?(\d{1,15})"?$/;

const itemsSchema = z.array(z.unknown(), { error: 'expected a list' }).default([]);
const namesSchema = z.array(z.string({ error: 'expected a name' }), { error: 'expected a list' }).default([]);
const versionSchema = z.int({ error: 'expected a whole number' });

const wholeSchema = z.looseObject({
  version: versionSchema,
  routes: itemsSchema,
  services: itemsSchema,
  limits: z.unknown().optional(),
});

const partialSchema = z.looseObject({
  version: versionSchema,
  set: z
    .looseObject({ routes: itemsSchema, services: itemsSchema, limits: z.unknown().optional() })
    .default({ routes: [], services: [] }),
  remove: z.looseObject({ routes: namesSchema, services: namesSchema }).default({ routes: [], services: [] }),
});

function readIfMatch(context: AdminContext): number {
  const match = IF_MATCH_PATTERN.exec(context.get('If-Match'));
  if (match === null) {
    throw new AdminError(
      'invalid-request',
      'If-Match must be the version that the change builds on, 0 for the first',
    );
  }
  return Number(match[1]);
}

async function applyWhole(context: AdminContext, services: AdminServices): Promise<void> {
  const expected = readIfMatch(context);
  const body = checkBody(wholeSchema, await readJson(context, DOCUMENT_LIMIT_BYTES));
  await applyChange(context, services, {
    type: 'declaration-apply',
    version: body.version,
    expected,
    extent: 'whole',
    routes: body.routes,
    services: body.services,
    limits: body.limits ?? null,
    removedRoutes: [],
    removedServices: [],
    retiresRanges: true,
  });
}

async function applyPartial(context: AdminContext, services: AdminServices): Promise<void> {
  const expected = readIfMatch(context);
  const { version, set, remove } = checkBody(partialSchema, await readJson(context, DOCUMENT_LIMIT_BYTES));
  await applyChange(context, services, {
    type: 'declaration-apply',
    version,
    expected,
    extent: 'partial',
    routes: set.routes,
    services: set.services,
    limits: set.limits ?? null,
    removedRoutes: remove.routes,
    removedServices: remove.services,
    retiresRanges: true,
  });
}

async function applyChange(
  context: AdminContext,
  services: AdminServices,
  change: DeclarationChange,
): Promise<void> {
  const subject = `version ${change.version} on ${change.expected}`;
  context.state.audit = { action: 'declare', subject, requestId: '', readAt: performance.now() };
  const response = await services.operate({ type: 'declare', actor: actorOf(context), change });
  if (redirectToLeader(context, response)) {
    return;
  }
  const { result } = expectResponse(response, 'result', RESENT_AS_IT_WAS);
  const revision = acceptedRevision(result, 'header');
  context.body = { version: change.version, revision };
}

async function readDocument(context: AdminContext, services: AdminServices): Promise<void> {
  const response = await services.operate({ type: 'get-declaration' });
  if (redirectToLeader(context, response)) {
    return;
  }
  const { document } = expectResponse(response, 'declaration');
  if (document === null) {
    throw new AdminError('not-found', 'nothing was declared as one document');
  }
  const { limits, ...rest } = document;
  context.type = 'json';
  // Earlier releases accepted documents that are nested deeper than the stack allows.
  context.body = deepJson(limits === null ? rest : document);
}

/** Adds the routes that change and read the declared document. */
export function addDeclarationRoutes(router: Router<AdminState>, services: AdminServices): void {
  router.put('/v1/declaration', (context) => applyWhole(context, services));
  router.patch('/v1/declaration', (context) => applyPartial(context, services));
  router.get('/v1/declaration', (context) => readDocument(context, services));
}
