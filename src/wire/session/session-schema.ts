/** Schemas of the session protocol's JSON messages, which are validated on receipt over HTTP. */
import { z } from 'zod';
import type { SessionAnswer, SessionRequest } from '../../lease/types.js';

const name = z.string().min(1).max(512);
const revision = z.int().min(0);
const shardId = z.string().min(1).max(1024);

const shardOrder = z.discriminatedUnion('type', [
  z.object({ type: z.literal('grant'), shard: shardId, epoch: revision, revision }),
  z.object({ type: z.literal('revoke'), shard: shardId, revision }),
  z.object({ type: z.literal('warm'), shard: shardId, revision }),
]);

const keyMap = z.object({
  service: name,
  generation: revision,
  keyspaces: z.array(
    z.object({
      name,
      kind: z.enum(['exact', 'prefix']),
      match: z.string(),
      shards: z.int().min(1),
    }),
  ),
});

/** Request of the control leader. */
export const sessionRequestSchema: z.ZodType<SessionRequest> = z.object({
  cluster: name,
  leader: name,
  term: revision,
  sequence: revision,
  upstream: name,
  incarnation: name.nullable(),
  validUntil: z.number().nullable(),
  keyMap: keyMap.nullable(),
  orders: z.array(shardOrder),
  complete: z.boolean(),
  drain: z.boolean(),
});

/** Response of an upstream. */
export const sessionAnswerSchema: z.ZodType<SessionAnswer> = z.object({
  upstream: name,
  incarnation: name,
  stamp: z.number(),
  term: revision,
  sequence: revision,
  held: z.array(z.object({ shard: shardId, epoch: revision })),
  draining: z.array(z.object({ shard: shardId, remaining: z.int().min(0) })),
  released: z.array(z.object({ shard: shardId, revision })),
  warmed: z.array(shardId),
  inFlight: z.int().min(0),
  leaving: z.boolean().optional(),
  refused: z.enum(['stale-term', 'stale-sequence', 'other-incarnation', 'other-cluster']).nullable(),
});
