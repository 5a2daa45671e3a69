/** Schemas of the JSON bodies of the operator API. Fields are those of the model: times in ms, sizes in bytes. */
import { z } from 'zod';
import { type KeyspaceDefinition, PRIORITY_CLASSES, type ServiceDefinition } from '../../model/service.js';
import { reachableAddressSchema } from '../../settings/common-schemas.js';
import {
  checkServiceFields,
  completeService,
  completeUpstream,
  nameSchema,
  policyDocumentSchema,
  policyRuleSchema,
  serviceFields,
  upstreamFields,
} from '../../settings/definition-schemas.js';

const MAXIMUM_MILLIS = 366 * 86_400_000;
const MAXIMUM_ANSWER_BYTES = 1024 ** 3;

const millisSchema = z
  .number({ error: 'expected a number of milliseconds' })
  .gt(0, 'must be above 0')
  .max(MAXIMUM_MILLIS, `must be ${MAXIMUM_MILLIS} or less`);
const bytesSchema = z
  .int({ error: 'expected a whole number of bytes' })
  .min(0, 'must be 0 or more')
  .max(MAXIMUM_ANSWER_BYTES, `must be ${MAXIMUM_ANSWER_BYTES} or less`);

const keyspaceSchema = z
  .strictObject({
    name: nameSchema,
    kind: z.enum(['exact', 'prefix'], { error: 'expected exact or prefix' }),
    match: z.string({ error: 'expected text' }),
    shards: z
      .int({ error: 'expected a whole number' })
      .min(1, 'must be 1 or more')
      .max(65_536, 'must be 65536 or less'),
  })
  .refine((keyspace) => keyspace.kind === 'prefix' || keyspace.shards === 1, {
    path: ['shards'],
    error: 'must be 1 for an exact match',
  })
  .transform((keyspace): KeyspaceDefinition => keyspace);

const serviceBody = z.strictObject({
  name: serviceFields.name,
  keyed: serviceFields.keyed,
  repeatable: serviceFields.repeatable,
  priority: z.enum(PRIORITY_CLASSES, { error: `expected one of ${PRIORITY_CLASSES.join(', ')}` }).optional(),
  deadlineMillis: millisSchema.optional(),
  slotsPerUpstream: serviceFields.slotsPerUpstream,
  retryBudget: serviceFields.retryBudget,
  queueLimit: serviceFields.queueLimit,
  holdLimitMillis: millisSchema.optional(),
  coalesce: serviceFields.coalesce,
  wholeAnswerBytes: bytesSchema.optional(),
  retentionMillis: millisSchema.optional(),
  placement: serviceFields.placement,
  movesPerMinute: serviceFields.movesPerMinute,
  keyspaces: z.array(keyspaceSchema).optional(),
  policy: z.array(policyRuleSchema).optional(),
});

/** Body of `PUT /v1/services/:name`. Omitted fields take the defaults of a service file. */
export const serviceBodySchema = serviceBody
  .transform(({ deadlineMillis, holdLimitMillis, wholeAnswerBytes, retentionMillis, ...fields }) => ({
    ...fields,
    deadline: deadlineMillis,
    holdLimit: holdLimitMillis,
    wholeAnswer: wholeAnswerBytes,
    retention: retentionMillis,
  }))
  .superRefine(checkServiceFields)
  .transform((fields): ServiceDefinition => completeService(fields));

/** Body of `PUT /v1/services/:name/policy`. */
export const policyBodySchema = policyDocumentSchema;

/** Body of `PUT /v1/upstreams/:id`. */
export const upstreamBodySchema = z.strictObject(upstreamFields).transform(completeUpstream);

/** Body of `POST /v1/upstreams/:id/drain`. */
export const drainBodySchema = z.strictObject({
  /** `false` cancels an earlier drain. */
  leaving: z.boolean({ error: 'expected true or false' }).default(true),
});

/** Body of `POST /v1/shards/move`. */
export const moveBodySchema = z.strictObject({
  shard: z.string({ error: 'expected the id of a shard' }).min(1),
  to: nameSchema,
  expected: z.int({ error: 'expected a revision' }).min(0).nullable().default(null),
});

const replicaSchema = z
  .string({ error: 'expected the id of a replica' })
  .min(1, 'must not be empty')
  .max(128);

/** Body of `POST /v1/control/add-learner` and `POST /v1/control/add`. */
export const addLearnerBodySchema = z.strictObject({
  replica: replicaSchema,
  address: reachableAddressSchema,
});

/** Body of `POST /v1/control/replace`. */
export const replaceBodySchema = z
  .strictObject({ oldReplica: replicaSchema, newReplica: replicaSchema, address: reachableAddressSchema })
  .refine((body) => body.oldReplica !== body.newReplica, {
    path: ['newReplica'],
    error: 'must differ from oldReplica: a replica id is never used again',
  });

/** Body of `POST /v1/control/transfer`. */
export const transferBodySchema = z.strictObject({ to: replicaSchema.nullable().default(null) });

/** Body of a request without parameters. */
export const emptyBodySchema = z.strictObject({});
