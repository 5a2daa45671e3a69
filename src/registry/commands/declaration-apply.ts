/** Changes the declared document, as a whole or in part. A change is atomic. */
import { createHash } from 'node:crypto';
import {
  type CallerLimits,
  DEFAULT_CALLER_LIMITS,
  type DeclaredService,
  type RouteDefinition,
} from '../../model/declaration.js';
import { DEFAULT_GRANT_CARRIER } from '../../model/grant-carrier.js';
import type { ServiceName } from '../../model/identifiers.js';
import { RANGE_KEYSPACE } from '../../model/key-range.js';
import {
  DEFAULT_RANGE_GRANTS,
  type RangeGrantSettings,
  type ServiceDefinition,
} from '../../model/service.js';
import { canonicalJson } from '../canonical-json.js';
import type { RegistryState, Transaction } from '../registry-state.js';
import type { CommandResult, DeclarationChange } from '../types.js';
import { fail } from '../validation/field-checks.js';
import {
  validateDeclaredService,
  validateLimits,
  validateRoute,
} from '../validation/validate-declaration.js';
import { accepted, conflict } from './results.js';

/** An item as it was sent and its parsed definition. */
interface Item<Definition> {
  readonly source: unknown;
  readonly definition: Definition;
}

/** The document that results from a change. */
interface Draft {
  readonly routes: ReadonlyMap<string, Item<RouteDefinition>>;
  readonly services: ReadonlyMap<string, Item<DeclaredService>>;
  readonly limits: CallerLimits;
  readonly limitsSource: unknown;
}

export function applyDeclaration(transaction: Transaction, change: DeclarationChange): CommandResult {
  const { declared } = transaction.state;
  const fingerprint = fingerprintOf(change);
  if (declared.wasApplied(change.version, fingerprint)) {
    return accepted(transaction);
  }
  const current = declared.record.version;
  if (change.expected !== current) {
    return conflict(current);
  }
  if (!Number.isSafeInteger(change.version) || change.version <= current) {
    fail('version', `must be a whole number above ${current}`);
  }
  const draft = draftOf(transaction, change);
  checkReferences(draft);
  store(transaction, draft, change);
  declared.recordVersion(change.version, fingerprint);
  return accepted(transaction);
}

/** Hashes what was sent, including its precondition: a resent change is identical, whichever release takes it. */
function fingerprintOf({ retiresRanges: _added, ...sent }: DeclarationChange): string {
  return createHash('sha256').update(canonicalJson(sent)).digest('base64');
}

function draftOf(transaction: Transaction, change: DeclarationChange): Draft {
  const { declared } = transaction.state;
  const isWhole = change.extent === 'whole';
  const routes = new Map<string, Item<RouteDefinition>>();
  const services = new Map<string, Item<DeclaredService>>();
  if (!isWhole) {
    for (const [name, { definition }] of declared.routes) {
      routes.set(name, { source: declared.routeSources.get(name), definition });
    }
    for (const [name, source] of declared.serviceSources) {
      services.set(name, { source, definition: validateDeclaredService('services', source) });
    }
  }
  removeNamed('remove.routes', routes, change.removedRoutes);
  removeNamed('remove.services', services, change.removedServices);
  addItems('routes', routes, change.routes, validateRoute);
  addItems('services', services, change.services, validateDeclaredService);
  return { routes, services, ...limitsOf(transaction, change) };
}

function limitsOf(
  transaction: Transaction,
  change: DeclarationChange,
): Pick<Draft, 'limits' | 'limitsSource'> {
  const { declared } = transaction.state;
  if (change.limits !== null) {
    return { limits: validateLimits(change.limits), limitsSource: change.limits };
  }
  const isWhole = change.extent === 'whole';
  return isWhole
    ? { limits: DEFAULT_CALLER_LIMITS, limitsSource: null }
    : { limits: declared.record.limits, limitsSource: declared.limitsSource };
}

/** Removes items by name; unknown names are ignored, as they may already have been removed. */
function removeNamed<Value>(place: string, items: Map<string, Value>, names: readonly string[]): void {
  names.forEach((name, position) => {
    if (typeof name !== 'string') {
      fail(`${place}[${position}]`, 'must be a name');
    }
    items.delete(name);
  });
}

function addItems<Definition extends { readonly name: string }>(
  place: string,
  items: Map<string, Item<Definition>>,
  sources: readonly unknown[],
  validate: (place: string, source: unknown) => Definition,
): void {
  const added = new Set<string>();
  sources.forEach((source, position) => {
    const definition = validate(`${place}[${position}]`, source);
    if (added.has(definition.name)) {
      fail(`${place}[${position}].name`, `${definition.name} stands twice`);
    }
    added.add(definition.name);
    items.set(definition.name, { source, definition });
  });
}

function checkReferences({ routes, services }: Draft): void {
  const places = new Map<string, string>();
  for (const { definition } of routes.values()) {
    const { name, host, prefix, split } = definition;
    const other = places.get(`${host} ${prefix}`);
    if (other !== undefined) {
      fail(`routes ${name}`, `has the same host and prefix as ${other}`);
    }
    places.set(`${host} ${prefix}`, name);
    for (const { service } of split) {
      if (!services.has(service)) {
        fail(`routes ${name}`, `there is no service ${service}`);
      }
    }
  }
}

function store(transaction: Transaction, draft: Draft, change: DeclarationChange): void {
  const { declared } = transaction.state;
  const { version, retiresRanges = false } = change;
  storeRoutes(transaction, draft);
  storeServices(transaction, draft, retiresRanges);
  declared.limitsSource = draft.limitsSource;
  transaction.putDeclaration({ version, limits: draft.limits, revision: transaction.revision });
}

function storeRoutes(transaction: Transaction, { routes }: Draft): void {
  const { declared } = transaction.state;
  for (const name of [...declared.routes.keys()]) {
    if (!routes.has(name)) {
      declared.routeSources.delete(name);
      transaction.putRoute(name, null);
    }
  }
  for (const [name, { source, definition }] of routes) {
    declared.routeSources.set(name, source);
    if (!isSame(declared.routes.get(name)?.definition, definition)) {
      transaction.putRoute(name, { definition, revision: transaction.revision });
    }
  }
}

function storeServices(transaction: Transaction, { services }: Draft, retiresRanges: boolean): void {
  const { state, revision } = transaction;
  const { declared } = state;
  for (const name of [...declared.serviceSources.keys()]) {
    if (!services.has(name)) {
      const grants = grantsBefore(state, name);
      declared.serviceSources.delete(name);
      transaction.putService(name, null);
      removeRanges(transaction, name, retiresRanges ? grants : null);
    }
  }
  for (const [name, { source, definition }] of services) {
    const grants = grantsBefore(state, name);
    declared.serviceSources.set(name, source);
    const serviceDefinition = serviceOf(definition, grants);
    if (!isSame(state.services.get(name)?.definition, serviceDefinition)) {
      transaction.putService(name, { definition: serviceDefinition, revision, generation: 0 });
    }
    if (definition.keyed) {
      transaction.noteAll(state.ranges.addService(name, revision));
    } else {
      removeRanges(transaction, name, retiresRanges ? grants : null);
    }
  }
}

/** Removes the ranges of a service, and retires those that upstreams may still hold if `grants` says how they were granted. */
function removeRanges(transaction: Transaction, name: ServiceName, grants: RangeGrantSettings | null): void {
  const { state, revision } = transaction;
  const changes =
    grants === null ? state.ranges.removeService(name) : state.ranges.retireService(name, grants, revision);
  transaction.noteAll(changes);
}

/** How the keys were granted that upstreams of the service may hold; `null` if none hold any. */
function grantsBefore({ services, ranges }: RegistryState, name: ServiceName): RangeGrantSettings | null {
  const definition = services.get(name)?.definition;
  if (definition?.keyed === true) {
    return definition.rangeGrants ?? DEFAULT_RANGE_GRANTS;
  }
  return ranges.retired.get(name)?.grants ?? null;
}

function isSame(one: unknown, other: unknown): boolean {
  return JSON.stringify(one) === JSON.stringify(other);
}

/** Deadline of a request whose route has no shorter timeout. */
const MAX_DEADLINE_MILLIS = 3_600_000;
/** Fields of a declared service that the document doesn't contain; routes define how single requests are handled. */
const FIXED_SERVICE_FIELDS = {
  repeatable: true,
  priority: 'interactive',
  deadlineMillis: MAX_DEADLINE_MILLIS,
  slotsPerUpstream: 2,
  retryBudget: 0.15,
  savedRetries: 2,
  queueLimit: 512,
  holdLimitMillis: 1500,
  coalesce: false,
  wholeAnswerBytes: 256 * 1024,
  retentionMillis: 0,
  placement: { unavailability: 1, imbalance: 1, churn: 1 },
  movesPerMinute: 60,
  policy: [],
} as const;

function serviceOf(declared: DeclaredService, before: RangeGrantSettings | null): ServiceDefinition {
  const { name, keyed, connections, healthPath } = declared;
  const keyspaces = keyed ? [{ name: RANGE_KEYSPACE, kind: 'range', match: '', shards: 0 } as const] : [];
  const rangeGrants = rangeGrantsOf(declared, before);
  const definition = {
    name,
    keyed,
    ...FIXED_SERVICE_FIELDS,
    keyspaces,
    connectionsPerUpstream: connections,
    healthPath,
  };
  return {
    ...definition,
    ...(rangeGrants !== undefined && { rangeGrants }),
    ...(declared.warmup !== null && { warmup: declared.warmup }),
    ...(declared.unwarmedKeyMillis !== null && { unwarmedKeyMillis: declared.unwarmedKeyMillis }),
  };
}

/** `hasChanged` stays true after the first change of carrier, because a later leader can't determine how long ago it was. */
function rangeGrantsOf(
  { grantedBy }: DeclaredService,
  before: RangeGrantSettings | null,
): RangeGrantSettings | undefined {
  if (grantedBy === null) {
    return undefined;
  }
  const { carrier, hasChanged: hadChanged } = before ?? { carrier: grantedBy, hasChanged: false };
  const hasChanged = carrier !== grantedBy || hadChanged;
  const isDefault = grantedBy === DEFAULT_GRANT_CARRIER && !hasChanged;
  return isDefault ? undefined : { carrier: grantedBy, hasChanged };
}
