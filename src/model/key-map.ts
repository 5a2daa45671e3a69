/** Maps keys to shards. Routers and the fence of each upstream use the same rule. */
import xxhash from 'xxhash-wasm';
import type { KeyMap } from '../lease/types.js';
import { formatShardId, type ShardId } from './identifiers.js';
import type { KeyspaceDefinition } from './service.js';

const hasher = await xxhash();

/** Returns the keyspace of `key`: an exact match first, then the longest prefix. */
export function keyspaceOfKey(
  keyspaces: readonly KeyspaceDefinition[],
  key: string,
): KeyspaceDefinition | undefined {
  let best: KeyspaceDefinition | undefined;
  for (const keyspace of keyspaces) {
    if (keyspace.kind === 'exact' && keyspace.match === key) {
      return keyspace;
    }
    const longer = best === undefined || keyspace.match.length > best.match.length;
    if (keyspace.kind === 'prefix' && key.startsWith(keyspace.match) && longer) {
      best = keyspace;
    }
  }
  return best;
}

/** Returns the shard of `key`: xxhash64 modulo the number of shards; `undefined` if no keyspace matches. */
export function shardOfKey(keyMap: KeyMap, key: string): ShardId | undefined {
  const keyspace = keyspaceOfKey(keyMap.keyspaces, key);
  if (keyspace === undefined) {
    return undefined;
  }
  const number = Number(hasher.h64(key) % BigInt(keyspace.shards));
  return formatShardId({
    service: keyMap.service,
    keyspace: keyspace.name,
    generation: keyMap.generation,
    number,
  });
}

/** Lists all shards of a key map. */
export function shardsOfKeyMap(keyMap: KeyMap): ShardId[] {
  const { service, generation } = keyMap;
  return keyMap.keyspaces.flatMap((keyspace) =>
    Array.from({ length: keyspace.shards }, (_, number) =>
      formatShardId({ service, keyspace: keyspace.name, generation, number }),
    ),
  );
}
