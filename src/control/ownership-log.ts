/** Log records of changes of ownership: one for each upstream, one for all shards of a batch. */
import type { RegistryChange } from '../registry/types.js';
import type { ControlEffect } from './types.js';

type LogEffect = Extract<ControlEffect, { readonly type: 'log' }>;
type UpstreamChange = Extract<RegistryChange, { readonly type: 'upstream' }>;
type ShardChange = Extract<RegistryChange, { readonly type: 'shard' }>;

/** What a batch of changes is logged as. */
export function ownershipLog(changes: readonly RegistryChange[]): LogEffect[] {
  const upstreams = changes.filter((change) => change.type === 'upstream');
  const shards = changes.filter((change) => change.type === 'shard');
  return [...upstreams.map(upstreamRecord), ...(shards.length > 0 ? [shardsRecord(shards)] : [])];
}

function upstreamRecord({ id, record }: UpstreamChange): LogEffect {
  const { incarnation = null, definition } = record ?? {};
  const fields = { upstream: id, incarnation, leaving: definition?.leaving ?? null };
  return { type: 'log', level: 'info', event: 'upstream-changed', fields };
}

function shardsRecord(shards: readonly ShardChange[]): LogEffect {
  const owned = shards.filter(({ record }) => record?.owner != null).length;
  const fields = { owned, unowned: shards.length - owned };
  return { type: 'log', level: 'info', event: 'shards-changed', fields };
}
