/** `PUT` and `DELETE /v1/services/:name`, and `PUT /v1/services/:name/policy`. */
import type { Router } from '@koa/router';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { AdminError } from '../admin-error.js';
import { policyBodySchema, serviceBodySchema } from '../api-schemas.js';
import { readExpected } from '../preconditions.js';
import { propose } from '../propose.js';
import { checkBody, readJson } from '../request-body.js';

/** Adds the name in the path to the body. A name in the body is optional and must equal the one in the path. */
export function withPathName(body: unknown, field: 'name' | 'id', name: string): unknown {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return body;
  }
  const nameInBody = (body as Record<string, unknown>)[field];
  if (nameInBody !== undefined && nameInBody !== name) {
    const message = `${field}: ${JSON.stringify(nameInBody)} differs from ${JSON.stringify(name)} in the path`;
    throw new AdminError('invalid-request', message, { path: field });
  }
  return { ...body, [field]: name };
}

function assertNoPolicyProblems(problems: readonly string[]): void {
  const [first] = problems;
  if (first !== undefined) {
    throw new AdminError('invalid-policy', first, { problems });
  }
}

async function applyService(context: AdminContext, services: AdminServices): Promise<void> {
  const { name = '' } = context.params;
  const body = withPathName(await readJson(context, services.bodyLimitBytes), 'name', name);
  const definition = checkBody(serviceBodySchema, body);
  assertNoPolicyProblems(services.checkPolicy(definition.policy));
  const command = { type: 'service-apply', definition, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: name, precondition: 'header' });
}

async function applyPolicy(context: AdminContext, services: AdminServices): Promise<void> {
  const { name = '' } = context.params;
  const { policy } = checkBody(policyBodySchema, await readJson(context, services.bodyLimitBytes));
  assertNoPolicyProblems(services.checkPolicy(policy));
  const command = { type: 'policy-apply', service: name, policy, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: name, precondition: 'header' });
}

async function deleteService(context: AdminContext, services: AdminServices): Promise<void> {
  const { name = '' } = context.params;
  const command = { type: 'service-delete', service: name, expected: readExpected(context) } as const;
  await propose(context, services, { command, subject: name, precondition: 'header' });
}

/** Adds the routes that change services. */
export function addServiceCommands(router: Router<AdminState>, services: AdminServices): void {
  router.put('/v1/services/:name', (context) => applyService(context, services));
  router.put('/v1/services/:name/policy', (context) => applyPolicy(context, services));
  router.delete('/v1/services/:name', (context) => deleteService(context, services));
}
