/** Identifiers and units that every layer shares. Times are milliseconds unless a name says otherwise. */

/** Names one control cluster; made once by `ternmount control init`. */
export type ClusterId = string;
/** Names one replica of the log. Made with its data folder and never reused. */
export type ReplicaId = string;
/** Names one upstream server as operators know it. */
export type UpstreamId = string;
/** Names one run of a process; a restarted process has a new one. */
export type Incarnation = string;
/** Names one router process as its settings say. */
export type RouterId = string;
/** Names a service that operators declared. */
export type ServiceName = string;
/** Availability zone of a process. */
export type Zone = string;
/** `service/keyspace@generation/number`; see `formatShardId`. */
export type ShardId = string;
/** Index of a log entry. Revisions only grow; they are not a count of changes. */
export type Revision = number;
/** Fencing epoch of one grant of one shard: the revision of the entry that granted it. */
export type Epoch = number;
/** Raft term. */
export type Term = number;
/** Milliseconds on some process's own monotonic clock. Never compared between processes. */
export type MonotonicMillis = number;
/** Milliseconds since the Unix epoch. */
export type WallMillis = number;
/** `host:port`, host an IP number. */
export type Address = string;

/** The parts of a shard's name. */
export interface ShardParts {
  readonly service: ServiceName;
  readonly keyspace: string;
  /** Revision at which the service's key map last changed. */
  readonly generation: Revision;
  readonly number: number;
}

/** Writes a shard's name. */
export function formatShardId(parts: ShardParts): ShardId {
  return `${parts.service}/${parts.keyspace}@${parts.generation}/${parts.number}`;
}

const SHARD_ID_PATTERN = /^([^/@]+)\/([^/@]+)@(\d+)\/(\d+)$/;

/** Reads a shard's name; `undefined` if it isn't one. */
export function parseShardId(shardId: ShardId): ShardParts | undefined {
  const match = SHARD_ID_PATTERN.exec(shardId);
  if (!match) {
    return undefined;
  }
  const [, service, keyspace, generation, number] = match as unknown as [
    string,
    string,
    string,
    string,
    string,
  ];
  return { service, keyspace, generation: Number(generation), number: Number(number) };
}
