/** Log records of ownership changes: one for each upstream, and one for all shards of a batch. */
import type { DeclarationRecord } from '../model/declaration.js';
import type { RegistryChange } from '../registry/types.js';
import type { ControlEffect } from './types.js';

type LogEffect = Extract<ControlEffect, { readonly type: 'log' }>;
type UpstreamChange = Extract<RegistryChange, { readonly type: 'upstream' }>;
type RangeChange = Extract<RegistryChange, { readonly type: 'range' }>;
type SuspectChange = Extract<RegistryChange, { readonly type: 'suspect' }>;
type EvacuationChange = Extract<RegistryChange, { readonly type: 'evacuation' }>;
type ShardChange = Extract<RegistryChange, { readonly type: 'shard' }>;

/** Returns the log records of a batch of changes. */
export function ownershipLog(changes: readonly RegistryChange[]): LogEffect[] {
  const upstreams = changes.filter((change) => change.type === 'upstream');
  const shards = changes.filter((change) => change.type === 'shard');
  const ranges = changes.filter((change) => change.type === 'range');
  const suspects = changes.filter((change) => change.type === 'suspect');
  const evacuations = changes.filter((change) => change.type === 'evacuation');
  const declarations = changes.filter((change) => change.type === 'declaration');
  return [
    ...upstreams.map(upstreamRecord),
    ...(shards.length > 0 ? [shardsRecord(shards)] : []),
    ...ranges.flatMap(rangeRecord),
    ...suspects.map(suspectRecord),
    ...evacuations.map(evacuationRecord),
    ...declarations.map(({ record }) => declarationRecord(record, changes)),
  ];
}

function upstreamRecord({ id, record }: UpstreamChange): LogEffect {
  const { incarnation = null, definition } = record ?? {};
  const fields = { upstream: id, incarnation, leaving: definition?.leaving ?? null };
  return { type: 'log', level: 'info', event: 'upstream-changed', fields };
}

function rangeRecord({ record }: RangeChange): LogEffect[] {
  if (record === null) {
    return [];
  }
  const { service, from, to, owner, fence, former } = record;
  const fields = { service, from, to, owner, fence, former };
  return [{ type: 'log', level: 'info', event: 'range-changed', fields }];
}

/** A removed suspect has succeeded, was released, or has expired; `suspects-succeeded` and `operator-change` distinguish these. */
function suspectRecord({ fingerprint, record }: SuspectChange): LogEffect {
  if (record === null) {
    return { type: 'log', level: 'info', event: 'suspect-released', fields: { fingerprint } };
  }
  const { service, crashes, runs, quarantinedAt, trialBy, until } = record;
  const isQuarantined = quarantinedAt !== null;
  const fields = { fingerprint, service, crashes, runs, quarantinedAt, trialBy, until };
  const event = isQuarantined ? 'request-quarantined' : 'request-suspected';
  return { type: 'log', level: isQuarantined ? 'warn' : 'info', event, fields };
}

function evacuationRecord({ zone, record }: EvacuationChange): LogEffect {
  const fields = { zone, isEvacuated: record !== null, revision: record?.revision ?? null };
  return { type: 'log', level: 'warn', event: 'zone-evacuation-changed', fields };
}

function declarationRecord(record: DeclarationRecord | null, changes: readonly RegistryChange[]): LogEffect {
  const routes = changes.filter(({ type }) => type === 'route').length;
  const fields = { version: record?.version ?? 0, revision: record?.revision ?? 0, changedRoutes: routes };
  return { type: 'log', level: 'info', event: 'declaration-changed', fields };
}

function shardsRecord(shards: readonly ShardChange[]): LogEffect {
  const owned = shards.filter(({ record }) => record?.owner != null).length;
  const fields = { owned, unowned: shards.length - owned };
  return { type: 'log', level: 'info', event: 'shards-changed', fields };
}
