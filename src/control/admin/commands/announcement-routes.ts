/** `POST /v1/upstreams/:id/heartbeat` and `/withdraw`: announcements of upstreams. */
import type { Router } from '@koa/router';
import { z } from 'zod';
import { deepJson } from '../../../registry/index.js';
import { addressSchema } from '../../../settings/addresses.js';
import { formatAddress } from '../../../wire/address.js';
import type { OperatorResponse } from '../../types.js';
import type { AdminContext, AdminServices, AdminState } from '../admin-context.js';
import { redirectToLeader } from '../leader-redirect.js';
import { checkBody, readJson } from '../request-body.js';
import { acceptedRevision, expectResponse } from '../responses.js';
import { heldKeysFields, heldKeysOf } from './held-keys-schema.js';

const OK = 200;
const MAX_WARMUP_MILLIS = 3_600_000;
/** Logged characters of an invalid body; enough for a heartbeat with some 60 rows of keys. */
const MAX_LOGGED_CHARACTERS = 1500;

/** Start time of a run by the clock of the upstream, in whole milliseconds. */
const bornSchema = z.int({ error: 'expected a whole number' }).min(0, 'must be 0 or more');

/** What a header can carry unchanged: every call to an upstream names it in one. */
const HEADER_VALUE = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

const idSchema = z.object({
  id: z
    .string()
    .regex(
      HEADER_VALUE,
      'must not begin or end with a blank, or hold control characters or characters beyond U+00FF',
    ),
});

const withdrawalSchema = z.looseObject({ born: bornSchema.optional() });

const heartbeatSchema = z.looseObject({
  service: z.string({ error: 'expected a name' }).min(1, 'must not be empty'),
  address: addressSchema,
  zone: z.string({ error: 'expected a name' }),
  slots: z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more'),
  state: z.enum(['ready', 'draining'], { error: 'expected ready or draining' }),
  warmupMillis: z.number({ error: 'expected a number' }).min(0).max(MAX_WARMUP_MILLIS).default(0),
  born: bornSchema.optional(),
  ...heldKeysFields,
});

async function handleHeartbeat(context: AdminContext, services: AdminServices): Promise<void> {
  context.state.isAnnouncement = true;
  const { id } = checkAnnouncement(context, idSchema, { ...context.params });
  const body = checkAnnouncement(context, heartbeatSchema, await readJson(context, services.bodyLimitBytes));
  const { service, address, zone, slots, warmupMillis, state, born } = body;
  const announced = { slots, warmupMillis, ...(born !== undefined && { born }) };
  const leaving = state === 'draining';
  const definition = { id, service, address, zone, mayHold: [], leaving, announced };
  const response = await operateAndRespond(context, services, {
    type: 'announce',
    definition,
    report: heldKeysOf(body),
  });
  if (context.status === OK) {
    context.body = { heartbeatAddress: localAddressOf(context), ...grantsOf(response) };
  }
}

/** Returns the keys granted to the upstream: rows of first key, last key, fence, and the handover text or ''. */
function grantsOf(response: OperatorResponse): object {
  if (response.type !== 'heartbeat-taken' || response.keys === null) {
    return {};
  }
  const { spans, holdMillis } = response.keys;
  return {
    holds: spans.map(({ from, to, fence, handover }) => [from, to, fence, handover ?? '']),
    holdMillis,
  };
}

async function handleWithdrawal(context: AdminContext, services: AdminServices): Promise<void> {
  context.state.isAnnouncement = true;
  const { id = '' } = context.params;
  const received = await readJson(context, services.bodyLimitBytes);
  const { born } = checkAnnouncement(context, withdrawalSchema, received);
  const request = { type: 'withdraw', upstream: id, ...(born !== undefined && { born }) } as const;
  await operateAndRespond(context, services, request);
}

/** Same as `checkBody`, but stores the start of an invalid body for the log. */
function checkAnnouncement<Output>(
  context: AdminContext,
  schema: z.ZodType<Output>,
  received: unknown,
): Output {
  try {
    return checkBody(schema, received);
  } catch (thrown) {
    context.state.unusable = deepJson(received).slice(0, MAX_LOGGED_CHARACTERS);
    throw thrown;
  }
}

async function operateAndRespond(
  context: AdminContext,
  services: AdminServices,
  request: Parameters<AdminServices['operate']>[0],
): Promise<OperatorResponse> {
  const response = await services.operate(request);
  context.state.audit = { action: request.type, subject: subjectOf(request), requestId: '' };
  if (redirectToLeader(context, response)) {
    context.state.isRoutine = true;
    return response;
  }
  context.state.isRoutine = response.type === 'heartbeat-taken';
  if (response.type !== 'heartbeat-taken') {
    acceptedRevision(expectResponse(response, 'result').result, 'header');
  }
  context.body = {};
  return response;
}

/** Returns the address of this member; the leader includes it in responses, so that later heartbeats need no redirect. */
function localAddressOf({ req }: AdminContext): string {
  const { localAddress = '', localPort = 0 } = req.socket;
  return formatAddress({ host: localAddress, port: localPort });
}

function subjectOf(request: Parameters<AdminServices['operate']>[0]): string {
  switch (request.type) {
    case 'announce':
      return request.definition.id;
    case 'withdraw':
      return request.upstream;
    default:
      return '';
  }
}

/** Adds the routes for announcements of upstreams. */
export function addAnnouncementRoutes(router: Router<AdminState>, services: AdminServices): void {
  router.post('/v1/upstreams/:id/heartbeat', (context) => handleHeartbeat(context, services));
  router.post('/v1/upstreams/:id/withdraw', (context) => handleWithdrawal(context, services));
}
