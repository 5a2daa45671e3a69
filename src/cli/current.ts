/** Reads one declaration as it is now. */

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

/** Path of a service in the operators' API. */
export function servicePath(name: string): string {
  return `/v1/services/${encodeURIComponent(name)}`;
}

/** Path of an upstream in the operators' API. */
export function upstreamPath(id: string): string {
  return `/v1/upstreams/${encodeURIComponent(id)}`;
}

/** A service; `null` if there is none. */
export function readService(client: ControlClient, name: string): Promise<ServiceRecord | null> {
  return readOrNull(client, servicePath(name));
}

/** An upstream; `null` if there is none. */
export function readUpstream(client: ControlClient, id: string): Promise<UpstreamRecord | null> {
  return readOrNull(client, upstreamPath(id));
}

/** Shards that an upstream owns, as a quorum has it; the whole list isn't read. */
export async function readOwned(client: ControlClient, upstream: string): Promise<readonly ShardRecord[]> {
  const body = await client.read<ShardsBody>(`/v1/shards?owner=${encodeURIComponent(upstream)}`);
  return body.shards;
}

/** One shard; `null` if it never had an owner. */
export async function readShard(client: ControlClient, shard: string): Promise<ShardRecord | null> {
  const body = await client.read<ShardsBody>(`/v1/shards?shard=${encodeURIComponent(shard)}`);
  return body.shards[0] ?? null;
}
