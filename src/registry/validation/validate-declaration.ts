/** Validates the items of a declared document. Unknown fields have no effect; they are kept only in the document as it was sent. */
import {
  type CallerLimits,
  DEFAULT_CALLER_LIMITS,
  type DeclaredService,
  type RouteDefinition,
  type SplitPart,
} from '../../model/declaration.js';
import { DEFAULT_GRANT_CARRIER, GRANT_CARRIERS, type GrantCarrier } from '../../model/grant-carrier.js';
import type { WarmupLimit } from '../../model/service.js';
import { ownEntry } from '../../text/own-entry.js';
import {
  checkBoolean,
  checkChoice,
  checkList,
  checkName,
  checkNonEmptyText,
  checkNumber,
  checkObject,
  fail,
} from './field-checks.js';

const MAX_NAME_LENGTH = 200;
const MAX_PATH_LENGTH = 2000;
const MAX_TIMEOUT_MILLIS = 3_600_000;
const MAX_ATTEMPTS = 100;
const DEFAULT_ATTEMPTS = 2;
const DEFAULT_PRIORITY = 1;
const DEFAULT_CONNECTIONS = 100;
const DEFAULT_HEALTH_PATH = '/health';
const MAX_LIMIT = 2 ** 40;
const MAX_WARMUP_SECONDS = 3600;
const MILLIS_PER_SECOND = 1000;
/** Whether a request may safely run more than once, by route type; a `download` is a read with a large response. */
const REPEATABLE_BY_TYPE: Readonly<Record<string, boolean>> = { safe: true, unsafe: false, download: true };

/** Names that earlier releases took for types of routes, since every object has them. */
const INHERITED_NAMES: ReadonlySet<unknown> = new Set([
  'constructor',
  'hasOwnProperty',
  'isPrototypeOf',
  'propertyIsEnumerable',
  'toLocaleString',
  'toString',
  'valueOf',
  '__defineGetter__',
  '__defineSetter__',
  '__lookupGetter__',
  '__lookupSetter__',
  '__proto__',
]);

/** Validates a route; throws an `InvalidDefinitionError` with the path of the invalid field. */
export function validateRoute(place: string, input: unknown): RouteDefinition {
  const fields = checkObject(place, input);
  const name = checkNonEmptyText(`${place}.name`, fields.name, MAX_NAME_LENGTH);
  return {
    name,
    host: checkNonEmptyText(`${place}.host`, fields.host, MAX_NAME_LENGTH).toLowerCase(),
    prefix: checkPrefix(`${place}.prefix`, fields.prefix),
    repeatable: checkRouteType(`${place}.type`, fields.type),
    timeoutMillis: checkNumber(`${place}.timeoutMillis`, fields.timeoutMillis, 1, MAX_TIMEOUT_MILLIS),
    targetMillis: optionalNumber(
      `${place}.targetMillis`,
      fields.targetMillis,
      Number(fields.timeoutMillis),
      MAX_TIMEOUT_MILLIS,
    ),
    maxAttempts: optionalNumber(`${place}.attempts`, fields.attempts, DEFAULT_ATTEMPTS, MAX_ATTEMPTS),
    priority: optionalNumber(`${place}.priority`, fields.priority, DEFAULT_PRIORITY, MAX_LIMIT, 0),
    split: checkSplit(place, fields),
  };
}

/** Validates a service; throws an `InvalidDefinitionError` with the path of the invalid field. */
export function validateDeclaredService(place: string, input: unknown): DeclaredService {
  const fields = checkObject(place, input);
  const { healthPath = DEFAULT_HEALTH_PATH } = fields;
  const keyed = checkBoolean(`${place}.keyed`, fields.keyed ?? false);
  const grantedBy = checkCarrier(`${place}.grantedBy`, fields.grantedBy ?? DEFAULT_GRANT_CARRIER);
  return {
    name: checkName(`${place}.name`, fields.name),
    healthPath: checkNonEmptyText(`${place}.healthPath`, healthPath, MAX_PATH_LENGTH),
    connections: optionalNumber(`${place}.connections`, fields.connections, DEFAULT_CONNECTIONS, MAX_LIMIT),
    keyed,
    grantedBy: keyed ? grantedBy : null,
    warmup: checkWarmup(place, fields),
    unwarmedKeyMillis: keyed ? checkUnwarmedKeySeconds(`${place}.warmSeconds`, fields.warmSeconds) : null,
  };
}

/** 0 means that unwarmed keys aren't slow, the same as leaving the field out. */
function checkUnwarmedKeySeconds(place: string, value: unknown): number | null {
  const seconds = optionalNumber(place, value, 0, MAX_WARMUP_SECONDS, 0);
  return seconds === 0 ? null : seconds * MILLIS_PER_SECOND;
}

/** Warmup needs both fields: a request rate and how long it applies. Without either of them there is no warmup. */
function checkWarmup(place: string, fields: Readonly<Record<string, unknown>>): WarmupLimit | null {
  const { warmupPerSecond, warmupSeconds } = fields;
  const isLeftOut = (value: unknown): boolean => value === undefined || value === null;
  if (isLeftOut(warmupPerSecond) || isLeftOut(warmupSeconds)) {
    return null;
  }
  const perSecond = checkNumber(`${place}.warmupPerSecond`, warmupPerSecond, 0, MAX_LIMIT);
  const seconds = checkNumber(`${place}.warmupSeconds`, warmupSeconds, 0, MAX_WARMUP_SECONDS);
  const isNone = perSecond === 0 || seconds === 0;
  return isNone ? null : { perSecond, millis: seconds * MILLIS_PER_SECOND };
}

/** Validates limits and fills in defaults; throws an `InvalidDefinitionError` with the path of the invalid field. */
export function validateLimits(input: unknown): CallerLimits {
  const fields = checkObject('limits', input);
  const limit = (name: keyof CallerLimits): number =>
    optionalNumber(`limits.${name}`, fields[name], DEFAULT_CALLER_LIMITS[name], MAX_LIMIT);
  return {
    headerBytes: limit('headerBytes'),
    bodyBytes: limit('bodyBytes'),
    headerMillis: limit('headerMillis'),
    idleMillis: limit('idleMillis'),
  };
}

/** An unknown carrier is rejected even if the service isn't keyed, because a later release may give the value a meaning. */
function checkCarrier(place: string, value: unknown): GrantCarrier {
  return checkChoice(place, value, Object.values(GRANT_CARRIERS));
}

function checkPrefix(place: string, value: unknown): string {
  const prefix = checkNonEmptyText(place, value, MAX_PATH_LENGTH);
  const isDelimited = prefix.startsWith('/') && prefix.endsWith('/');
  return isDelimited ? prefix : fail(place, 'must begin and end with a slash');
}

/** Checks the type of a route that is sent; entries of earlier releases may hold inherited names beside. */
export function checkSentRouteType(place: string, value: unknown): boolean {
  const repeatable = typeof value === 'string' ? ownEntry(REPEATABLE_BY_TYPE, value) : undefined;
  return repeatable ?? fail(place, 'must be safe, unsafe or download');
}

/** A type that earlier releases accepted by mistake stays accepted, so that the changes after it do; its requests run at most once. */
function checkRouteType(place: string, value: unknown): boolean {
  return INHERITED_NAMES.has(value) ? false : checkSentRouteType(place, value);
}

function optionalNumber(place: string, value: unknown, fallback: number, max: number, min = 1): number {
  return value === undefined || value === null ? fallback : checkNumber(place, value, min, max);
}

function checkSplit(place: string, fields: Readonly<Record<string, unknown>>): SplitPart[] {
  if (fields.split === undefined || fields.split === null) {
    return [{ service: checkName(`${place}.service`, fields.service), weight: 1 }];
  }
  const parts = checkList(`${place}.split`, fields.split, MAX_ATTEMPTS).map((item, position) =>
    checkSplitPart(`${place}.split[${position}]`, item),
  );
  const isEmpty = parts.every(({ weight }) => weight === 0);
  return isEmpty ? fail(`${place}.split`, 'needs a weight above 0') : parts;
}

function checkSplitPart(place: string, input: unknown): SplitPart {
  const fields = checkObject(place, input);
  return {
    service: checkName(`${place}.service`, fields.service),
    weight: checkNumber(`${place}.weight`, fields.weight, 0, MAX_LIMIT),
  };
}
