/** Validates service definitions. The result contains only the known fields, in a fixed order. */
import {
  type KeyspaceDefinition,
  type PlacementWeights,
  type PolicyRule,
  PRIORITY_CLASSES,
  type ServiceDefinition,
} from '../../model/service.js';
import {
  checkBoolean,
  checkChoice,
  checkDistinct,
  checkInteger,
  checkList,
  checkName,
  checkNonEmptyText,
  checkNumber,
  checkObject,
  checkText,
  fail,
} from './field-checks.js';

const MINUTE_MILLIS = 60_000;
/** Inclusive upper bounds of the numbers and lengths in a service definition. */
export const SERVICE_LIMITS = {
  deadlineMillis: 60 * MINUTE_MILLIS,
  slotsPerUpstream: 10_000,
  queueLimit: 1_000_000,
  holdLimitMillis: 10 * MINUTE_MILLIS,
  wholeAnswerBytes: 64 * 1024 * 1024,
  retentionMillis: 30 * 24 * 60 * MINUTE_MILLIS,
  placementWeight: 1_000_000,
  movesPerMinute: 1_000_000,
  keyspaces: 1_000,
  matchLength: 512,
  shards: 200_000,
  policyRules: 64,
  expressionLength: 4_096,
} as const;

const KEYSPACE_KINDS = ['exact', 'prefix'] as const;
const POLICY_ACTIONS = ['weigh', 'refuse', 'hold'] as const;

/** Validates a definition; throws an `InvalidDefinitionError` with the path of the first invalid field. */
export function validateService(input: unknown): ServiceDefinition {
  const fields = checkObject('definition', input);
  const keyed = checkBoolean('keyed', fields.keyed);
  const repeatable = checkBoolean('repeatable', fields.repeatable);
  const definition: ServiceDefinition = {
    name: checkName('name', fields.name),
    keyed,
    repeatable,
    priority: checkChoice('priority', fields.priority, PRIORITY_CLASSES),
    deadlineMillis: checkInteger('deadlineMillis', fields.deadlineMillis, 1, SERVICE_LIMITS.deadlineMillis),
    slotsPerUpstream: checkInteger(
      'slotsPerUpstream',
      fields.slotsPerUpstream,
      1,
      SERVICE_LIMITS.slotsPerUpstream,
    ),
    retryBudget: checkNumber('retryBudget', fields.retryBudget, 0, 1),
    queueLimit: checkInteger('queueLimit', fields.queueLimit, 0, SERVICE_LIMITS.queueLimit),
    holdLimitMillis: checkInteger(
      'holdLimitMillis',
      fields.holdLimitMillis,
      0,
      SERVICE_LIMITS.holdLimitMillis,
    ),
    coalesce: checkBoolean('coalesce', fields.coalesce),
    wholeAnswerBytes: checkInteger(
      'wholeAnswerBytes',
      fields.wholeAnswerBytes,
      0,
      SERVICE_LIMITS.wholeAnswerBytes,
    ),
    retentionMillis: checkInteger(
      'retentionMillis',
      fields.retentionMillis,
      1,
      SERVICE_LIMITS.retentionMillis,
    ),
    placement: validateWeights(fields.placement),
    movesPerMinute: checkNumber('movesPerMinute', fields.movesPerMinute, 0, SERVICE_LIMITS.movesPerMinute),
    keyspaces: validateKeyspaces(fields.keyspaces, keyed),
    policy: validatePolicy(fields.policy),
  };
  checkFieldCombinations(definition);
  return definition;
}

/** Checks rules that involve more than one field. */
function checkFieldCombinations(definition: ServiceDefinition): void {
  if (definition.coalesce && !definition.repeatable) {
    fail('coalesce', 'only a repeatable service may share attempts');
  }
  if (!definition.repeatable && definition.retentionMillis < definition.deadlineMillis) {
    fail('retentionMillis', 'must be at least deadlineMillis, or a claim is forgotten while it runs');
  }
}

function validateWeights(input: unknown): PlacementWeights {
  const fields = checkObject('placement', input);
  const weight = (name: keyof PlacementWeights): number =>
    checkNumber(`placement.${name}`, fields[name], 0, SERVICE_LIMITS.placementWeight);
  return {
    unavailability: weight('unavailability'),
    imbalance: weight('imbalance'),
    churn: weight('churn'),
  };
}

function validateKeyspaces(input: unknown, keyed: boolean): KeyspaceDefinition[] {
  const keyspaces = checkList('keyspaces', input, SERVICE_LIMITS.keyspaces).map(validateKeyspace);
  if (keyed && keyspaces.length === 0) {
    fail('keyspaces', 'a keyed service needs at least one');
  }
  if (!keyed && keyspaces.length > 0) {
    fail('keyspaces', 'must be empty for a service that is not keyed');
  }
  const names = keyspaces.map((keyspace) => keyspace.name);
  checkDistinct('keyspaces', names, 'name');
  const matches = keyspaces.map((keyspace) => `${keyspace.kind} ${keyspace.match}`);
  checkDistinct('keyspaces', matches, 'kind and match');
  const total = keyspaces.reduce((sum, keyspace) => sum + keyspace.shards, 0);
  if (total > SERVICE_LIMITS.shards) {
    fail('keyspaces', `must have at most ${SERVICE_LIMITS.shards} shards together`);
  }
  return keyspaces;
}

function validateKeyspace(input: unknown, position: number): KeyspaceDefinition {
  const place = `keyspaces[${position}]`;
  const fields = checkObject(place, input);
  const kind = checkChoice(`${place}.kind`, fields.kind, KEYSPACE_KINDS);
  const shards = checkInteger(`${place}.shards`, fields.shards, 1, SERVICE_LIMITS.shards);
  if (kind === 'exact' && shards !== 1) {
    fail(`${place}.shards`, 'must be 1 for an exact match');
  }
  return {
    name: checkName(`${place}.name`, fields.name),
    kind,
    match: checkText(`${place}.match`, fields.match, SERVICE_LIMITS.matchLength),
    shards,
  };
}

function validatePolicy(input: unknown): PolicyRule[] {
  const rules = checkList('policy', input, SERVICE_LIMITS.policyRules).map(validateRule);
  const names = rules.map((rule) => rule.name);
  checkDistinct('policy', names, 'name');
  return rules;
}

/**
 * Checks the structure only. Expressions are compiled before a change is proposed, not here: replicas with different versions of
 * the expression library must still compute the same result.
 */
function validateRule(input: unknown, position: number): PolicyRule {
  const place = `policy[${position}]`;
  const fields = checkObject(place, input);
  const action = checkChoice(`${place}.action`, fields.action, POLICY_ACTIONS);
  const expression = (name: string): string =>
    checkNonEmptyText(`${place}.${name}`, fields[name], SERVICE_LIMITS.expressionLength);
  const base = { name: checkName(`${place}.name`, fields.name), when: expression('when'), action };
  const allowed = { weigh: 'weight', refuse: 'retryAfterSeconds', hold: 'holdMillis' }[action];
  for (const name of ['weight', 'retryAfterSeconds', 'holdMillis']) {
    if (name !== allowed && fields[name] !== undefined) {
      fail(`${place}.${name}`, `doesn't belong to the action ${action}`);
    }
  }
  if (fields[allowed] !== undefined) {
    return { ...base, [allowed]: expression(allowed) };
  }
  return action === 'refuse' ? base : fail(`${place}.${allowed}`, `is required for the action ${action}`);
}
