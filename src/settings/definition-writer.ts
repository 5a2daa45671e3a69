/** Converts declarations to documents in the format that `definition-documents.ts` reads. */
import type {
  KeyspaceDefinition,
  PolicyRule,
  ServiceDefinition,
  UpstreamDefinition,
} from '../model/service.js';

/** A plain value of a YAML document. */
export type DocumentValue =
  | string
  | number
  | boolean
  | readonly DocumentValue[]
  | { readonly [key: string]: DocumentValue };
export type DocumentMap = Readonly<Record<string, DocumentValue>>;

const DURATION_UNITS: readonly (readonly [string, number])[] = [
  ['d', 86_400_000],
  ['h', 3_600_000],
  ['m', 60_000],
  ['s', 1000],
];
const SIZE_UNITS: readonly (readonly [string, number])[] = [
  ['GiB', 1024 ** 3],
  ['MiB', 1024 ** 2],
  ['KiB', 1024],
];

function formatQuantity(
  value: number,
  units: readonly (readonly [string, number])[],
  smallest: string,
): string {
  const unit = units.find(([, size]) => value >= size && value % size === 0);
  return unit === undefined ? `${value}${smallest}` : `${value / unit[1]}${unit[0]}`;
}

/** Formats a duration: `2000` becomes `2s`. */
export function formatDuration(millis: number): string {
  return formatQuantity(millis, DURATION_UNITS, 'ms');
}

/** Formats a size: `65536` becomes `64KiB`. */
export function formatSize(bytes: number): string {
  return formatQuantity(bytes, SIZE_UNITS, 'B');
}

function keyspaceDocument(keyspace: KeyspaceDefinition): DocumentMap {
  const { name, kind, match, shards } = keyspace;
  return kind === 'exact' ? { name, exact: match } : { name, prefix: match, shards };
}

function ruleDocument(rule: PolicyRule): DocumentMap {
  const { name, when, action, weight, retryAfterSeconds, holdMillis } = rule;
  return {
    name,
    when,
    action,
    ...(weight === undefined ? {} : { weight }),
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
    ...(holdMillis === undefined ? {} : { holdMillis }),
  };
}

/** Returns a service as a document with all its fields. */
export function serviceDocument(service: ServiceDefinition): DocumentMap {
  return {
    kind: 'service',
    name: service.name,
    keyed: service.keyed,
    repeatable: service.repeatable,
    priority: service.priority,
    deadline: formatDuration(service.deadlineMillis),
    slotsPerUpstream: service.slotsPerUpstream,
    retryBudget: service.retryBudget,
    queueLimit: service.queueLimit,
    holdLimit: formatDuration(service.holdLimitMillis),
    coalesce: service.coalesce,
    wholeAnswer: formatSize(service.wholeAnswerBytes),
    retention: formatDuration(service.retentionMillis),
    placement: { ...service.placement },
    movesPerMinute: service.movesPerMinute,
    keyspaces: service.keyspaces.map(keyspaceDocument),
    policy: service.policy.map(ruleDocument),
  };
}

/** Returns an upstream as a document with all its fields. */
export function upstreamDocument(upstream: UpstreamDefinition): DocumentMap {
  const { id, service, address, zone, mayHold, leaving } = upstream;
  return { kind: 'upstream', id, service, address, zone, mayHold: [...mayHold], leaving };
}
