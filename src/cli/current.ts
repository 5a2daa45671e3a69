/** Reads current declarations and shard records. */

import type { AdminErrorCode } from '../control/admin/index.js';
import type { ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';
import type { ShardsBody } from './api-types.js';
import { ControlAnswerError } from './cli-error.js';
import type { ControlClient } from './control-client.js';

const NOT_FOUND: AdminErrorCode = 'not-found';

async function readOrNull<Record>(client: ControlClient, path: string): Promise<Record | null> {
  try {
    return await client.read<Record>(path);
  } catch (thrown) {
    if (thrown instanceof ControlAnswerError && thrown.adminCode === NOT_FOUND) {
      return null;
    }
    throw thrown;
  }
}

/** Returns the path of a service in the operators' API. */
export function servicePath(name: string): string {
  return `/v1/services/${encodeURIComponent(name)}`;
}

/** Returns the path of an upstream in the operators' API. */
export function upstreamPath(id: string): string {
  return `/v1/upstreams/${encodeURIComponent(id)}`;
}

/** Reads a service; `null` if it doesn't exist. */
export function readService(client: ControlClient, name: string): Promise<ServiceRecord | null> {
  return readOrNull(client, servicePath(name));
}

/** Reads an upstream; `null` if it doesn't exist. */
export function readUpstream(client: ControlClient, id: string): Promise<UpstreamRecord | null> {
  return readOrNull(client, upstreamPath(id));
}

/** Reads the shards that an upstream owns, as committed by a quorum, without reading the whole list. */
export async function readOwnedShards(
  client: ControlClient,
  upstream: string,
): Promise<readonly ShardRecord[]> {
  const body = await client.read<ShardsBody>(`/v1/shards?owner=${encodeURIComponent(upstream)}`);
  return body.shards;
}

/** Reads one shard; `null` if it never had an owner. */
export async function readShard(client: ControlClient, shard: string): Promise<ShardRecord | null> {
  const body = await client.read<ShardsBody>(`/v1/shards?shard=${encodeURIComponent(shard)}`);
  return body.shards[0] ?? null;
}
