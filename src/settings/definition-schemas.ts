/** Schemas of operators' declarations: services with their keyspaces and policies, and upstreams. */
import { z } from 'zod';
import {
  type KeyspaceDefinition,
  type PolicyRule,
  PRIORITY_CLASSES,
  type ServiceDefinition,
  type UpstreamDefinition,
} from '../model/service.js';
import { addressSchema } from './addresses.js';
import { positiveDurationSchema, sizeSchema } from './units.js';

/** Defaults of a service, in the units of the model. */
export const SERVICE_DEFAULTS = {
  deadlineMillis: 2000,
  slotsPerUpstream: 2,
  retryBudget: 0.1,
  queueLimit: 256,
  holdLimitMillis: 1000,
  wholeAnswerBytes: 64 * 1024,
  retentionMillis: 3_600_000,
  movesPerMinute: 12,
  shards: 64,
} as const;

const MAX_SHARDS = 65_536;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,62})$/;

/** Name of a service, keyspace, upstream or zone. */
export const nameSchema = z
  .string({ error: 'expected a name' })
  .regex(
    NAME_PATTERN,
    'must be 1 to 63 lower-case letters, digits or hyphens and start with a letter or digit',
  );

const wholeNumberSchema = z.int({ error: 'expected a whole number' });
const countSchema = wholeNumberSchema.min(1, 'must be 1 or more');
const weightSchema = z.number({ error: 'expected a number' }).min(0, 'must be 0 or more');
const expressionSchema = z
  .union([z.string(), z.number()], { error: 'expected a CEL expression' })
  .transform(String);

/** `{name, exact: KEY}` or `{name, prefix: TEXT, shards: N}`. */
export const keyspaceSchema = z
  .strictObject({
    name: nameSchema,
    exact: z.string().optional(),
    prefix: z.string().optional(),
    shards: countSchema.max(MAX_SHARDS, `must be ${MAX_SHARDS} or less`).optional(),
  })
  .transform((keyspace, context): KeyspaceDefinition => {
    const { name, exact, prefix, shards } = keyspace;
    if ((exact === undefined) === (prefix === undefined)) {
      context.addIssue({ code: 'custom', message: 'needs either exact or prefix' });
      return z.NEVER;
    }
    if (exact !== undefined && shards !== undefined && shards !== 1) {
      context.addIssue({ code: 'custom', path: ['shards'], message: 'must be 1 for an exact match' });
      return z.NEVER;
    }
    return exact === undefined
      ? { name, kind: 'prefix', match: prefix ?? '', shards: shards ?? SERVICE_DEFAULTS.shards }
      : { name, kind: 'exact', match: exact, shards: 1 };
  });

/** One rule of a policy. The policy compiler checks the expressions. */
export const policyRuleSchema = z
  .strictObject({
    name: nameSchema,
    when: expressionSchema,
    action: z.enum(['weigh', 'refuse', 'hold'], { error: 'expected weigh, refuse or hold' }),
    weight: expressionSchema.optional(),
    retryAfterSeconds: expressionSchema.optional(),
    holdMillis: expressionSchema.optional(),
  })
  .superRefine((rule, context) => {
    const actionOfField = { weight: 'weigh', retryAfterSeconds: 'refuse', holdMillis: 'hold' } as const;
    for (const [field, action] of Object.entries(actionOfField)) {
      if (rule[field as keyof typeof actionOfField] !== undefined && rule.action !== action) {
        context.addIssue({ code: 'custom', path: [field], message: `belongs to action ${action} only` });
      }
    }
    if (rule.action === 'weigh' && rule.weight === undefined) {
      context.addIssue({ code: 'custom', path: ['weight'], message: 'is missing (action weigh needs it)' });
    }
  })
  .transform((rule): PolicyRule => rule);

/** The policy of one service in files and the operators' API: a map with the list `policy`. */
export const policyDocumentSchema = z
  .strictObject({ policy: z.array(policyRuleSchema, { error: 'expected a list of rules' }) })
  .superRefine(({ policy }, context) =>
    checkUnique(
      policy.map((rule) => rule.name),
      ['policy'],
      context,
    ),
  );

const placementSchema = z.strictObject({
  unavailability: weightSchema.default(1),
  imbalance: weightSchema.default(1),
  churn: weightSchema.default(1),
});

/** Fields of a service as operators write them. */
export const serviceFields = {
  name: nameSchema,
  keyed: z.boolean({ error: 'expected true or false' }).optional(),
  repeatable: z.boolean({ error: 'is required: true if running a request twice is harmless, else false' }),
  priority: z.enum(PRIORITY_CLASSES, { error: `expected one of ${PRIORITY_CLASSES.join(', ')}` }).optional(),
  deadline: positiveDurationSchema.optional(),
  slotsPerUpstream: countSchema.optional(),
  retryBudget: z.number({ error: 'expected a share from 0 to 1' }).min(0).max(1).optional(),
  queueLimit: wholeNumberSchema.min(0, 'must be 0 or more').optional(),
  holdLimit: positiveDurationSchema.optional(),
  coalesce: z.boolean({ error: 'expected true or false' }).optional(),
  wholeAnswer: sizeSchema.optional(),
  retention: positiveDurationSchema.optional(),
  placement: placementSchema.optional(),
  movesPerMinute: wholeNumberSchema.min(0, 'must be 0 or more').optional(),
  keyspaces: z.array(keyspaceSchema).optional(),
  policy: z.array(policyRuleSchema).optional(),
} as const;

const serviceObject = z.strictObject(serviceFields);
type ServiceFields = z.output<typeof serviceObject>;

const EQUAL_PLACEMENT = { unavailability: 1, imbalance: 1, churn: 1 };
const WHOLE_KEYSPACE: KeyspaceDefinition = {
  name: 'all',
  kind: 'prefix',
  match: '',
  shards: SERVICE_DEFAULTS.shards,
};

function keyspacesOf(fields: ServiceFields, keyed: boolean): readonly KeyspaceDefinition[] {
  if (!keyed) {
    return [];
  }
  return fields.keyspaces ?? [WHOLE_KEYSPACE];
}

/** Fills in defaults. A service with keyspaces is keyed unless `keyed` is set. */
export function completeService(fields: ServiceFields): ServiceDefinition {
  const keyed = fields.keyed ?? (fields.keyspaces?.length ?? 0) > 0;
  return {
    name: fields.name,
    keyed,
    repeatable: fields.repeatable,
    priority: fields.priority ?? (fields.repeatable ? 'interactive' : 'critical'),
    deadlineMillis: fields.deadline ?? SERVICE_DEFAULTS.deadlineMillis,
    slotsPerUpstream: fields.slotsPerUpstream ?? SERVICE_DEFAULTS.slotsPerUpstream,
    retryBudget: fields.retryBudget ?? SERVICE_DEFAULTS.retryBudget,
    queueLimit: fields.queueLimit ?? SERVICE_DEFAULTS.queueLimit,
    holdLimitMillis: fields.holdLimit ?? SERVICE_DEFAULTS.holdLimitMillis,
    coalesce: fields.coalesce ?? false,
    wholeAnswerBytes: fields.wholeAnswer ?? SERVICE_DEFAULTS.wholeAnswerBytes,
    retentionMillis: fields.retention ?? SERVICE_DEFAULTS.retentionMillis,
    placement: fields.placement ?? EQUAL_PLACEMENT,
    movesPerMinute: fields.movesPerMinute ?? SERVICE_DEFAULTS.movesPerMinute,
    keyspaces: keyspacesOf(fields, keyed),
    policy: fields.policy ?? [],
  };
}

/** Checks rules that involve more than one field of a service. */
export function checkServiceFields(fields: ServiceFields, context: z.RefinementCtx): void {
  const keyspaces = fields.keyspaces ?? [];
  if (fields.keyed === false && keyspaces.length > 0) {
    context.addIssue({
      code: 'custom',
      path: ['keyspaces'],
      message: 'a service with keyed: false has none',
    });
  }
  if (fields.keyed === true && fields.keyspaces?.length === 0) {
    context.addIssue({ code: 'custom', path: ['keyspaces'], message: 'a keyed service needs one or more' });
  }
  if (fields.coalesce === true && !fields.repeatable) {
    const message = 'needs repeatable: true (one attempt may answer many requests)';
    context.addIssue({ code: 'custom', path: ['coalesce'], message });
  }
  checkUnique(
    keyspaces.map((keyspace) => keyspace.name),
    ['keyspaces'],
    context,
  );
  checkUnique(
    (fields.policy ?? []).map((rule) => rule.name),
    ['policy'],
    context,
  );
}

/** Reports each duplicate name in a list. */
export function checkUnique(
  names: readonly string[],
  path: readonly string[],
  context: z.RefinementCtx,
): void {
  names.forEach((name, index) => {
    if (names.indexOf(name) < index) {
      const message = `${JSON.stringify(name)} stands twice`;
      context.addIssue({ code: 'custom', path: [...path, index, 'name'], message });
    }
  });
}

/** A service document without its `kind`. */
export const serviceSchema = serviceObject.superRefine(checkServiceFields).transform(completeService);

/** Fields of an upstream as operators write them. */
export const upstreamFields = {
  id: nameSchema,
  service: nameSchema,
  address: addressSchema,
  zone: nameSchema,
  mayHold: z.array(nameSchema).optional(),
  leaving: z.boolean({ error: 'expected true or false' }).optional(),
} as const;

const upstreamObject = z.strictObject(upstreamFields);

/** Fills in defaults. */
export function completeUpstream(fields: z.output<typeof upstreamObject>): UpstreamDefinition {
  return { ...fields, mayHold: fields.mayHold ?? [], leaving: fields.leaving ?? false };
}

/** An upstream document without its `kind`. */
export const upstreamSchema = upstreamObject.transform(completeUpstream);
