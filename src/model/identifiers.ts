/** Identifiers and units shared by all layers. Times are in milliseconds unless the name has another unit. */

/** Identifies a control cluster; created once by `ternmount control init`. */
export type ClusterId = string;
/** Identifies a replica of the log. Created with its data folder and never reused. */
export type ReplicaId = string;
/** Identifies an upstream server to operators. */
export type UpstreamId = string;
/** Identifies one run of a process; a restarted process has a new one. */
export type Incarnation = string;
/** Name of a router process, from its settings. */
export type RouterId = string;
/** Name of a declared service. */
export type ServiceName = string;
/** Availability zone of a process. */
export type Zone = string;
/** `service/keyspace@generation/number`; see `formatShardId`. */
export type ShardId = string;
/** Index of a log entry. Revisions only increase, not necessarily by one per change. */
export type Revision = number;
/** Fencing epoch of one grant of one shard: the revision of the entry that granted it. */
export type Epoch = number;
/** Raft term. */
export type Term = number;
/** Milliseconds on the monotonic clock of one process. Not comparable between processes. */
export type MonotonicMillis = number;
/** Milliseconds since the Unix epoch. */
export type WallMillis = number;
/** `host:port`, where host is an IP address. */
export type Address = string;

/** Components of a shard's name. */
export interface ShardParts {
  readonly service: ServiceName;
  readonly keyspace: string;
  /** Revision at which the service's key map last changed. */
  readonly generation: Revision;
  readonly number: number;
}

/** Formats a shard's name. */
export function formatShardId(parts: ShardParts): ShardId {
  return `${parts.service}/${parts.keyspace}@${parts.generation}/${parts.number}`;
}

const SHARD_ID_PATTERN = /^([^/@]+)\/([^/@]+)@(\d+)\/(\d+)$/;

/** Parses a shard's name; returns `undefined` if it is malformed. */
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
