/**
 * Messages between the control leader, which grants ownership of shards, and an upstream, which holds the grants.
 * They travel as JSON over HTTP: `POST /ternmount/v1/session` on the upstream (docs/UPSTREAM-PROTOCOL.md).
 */
import type {
  ClusterId,
  Epoch,
  Incarnation,
  MonotonicMillis,
  ReplicaId,
  Revision,
  ServiceName,
  ShardId,
  Term,
  UpstreamId,
} from '../model/identifiers.js';
import type { KeyspaceDefinition } from '../model/service.js';

/** A grant recorded in the log. */
export interface ShardGrant {
  readonly shard: ShardId;
  /** Revision of the log entry that made this grant. */
  readonly epoch: Epoch;
}

/** An order about one shard; `revision` is that of the log entry that caused it. */
export type ShardOrder =
  | { readonly type: 'grant'; readonly shard: ShardId; readonly epoch: Epoch; readonly revision: Revision }
  /** Reject new work on the shard, finish running requests, then release the shard. */
  | { readonly type: 'revoke'; readonly shard: ShardId; readonly revision: Revision }
  /** Load the shard's state; requests must not be served yet. */
  | { readonly type: 'warm'; readonly shard: ShardId; readonly revision: Revision };

/** The map of a service's keys to shards under which grants are made. */
export interface KeyMap {
  readonly service: ServiceName;
  readonly generation: Revision;
  readonly keyspaces: readonly KeyspaceDefinition[];
}

/** Message from the leader. */
export interface SessionRequest {
  readonly cluster: ClusterId;
  readonly leader: ReplicaId;
  readonly term: Term;
  /** Grows with each request of one leader to one upstream; requests with an older number are ignored. */
  readonly sequence: number;
  readonly upstream: UpstreamId;
  /** Incarnation that the orders and the lease apply to; `null` in a first greeting, which only queries the upstream. */
  readonly incarnation: Incarnation | null;
  /** End of the lease on the upstream's own monotonic clock; `null` if the lease isn't renewed. */
  readonly validUntil: MonotonicMillis | null;
  readonly keyMap: KeyMap | null;
  readonly orders: readonly ShardOrder[];
  /** Whether `orders` lists every grant and revoke of this upstream; all other grants that it holds are void. */
  readonly complete: boolean;
  /** Whether the upstream is draining: it accepts no new work of any kind. */
  readonly drain: boolean;
}

/**
 * Answer of an upstream. `held`, `released` and `warmed` contain only shards that the request's orders name: otherwise, a
 * server with many shards would repeat all of them with each renewal. No information is lost, because the shards that a
 * server holds change only by orders, an order is repeated until an answer acknowledges it, and revokes and orders to warm
 * are part of each request as long as they are in force.
 */
export interface SessionAnswer {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** The upstream's monotonic clock at the time of the answer. */
  readonly stamp: MonotonicMillis;
  readonly term: Term;
  readonly sequence: number;
  /** Held shards among those named, with their epochs. */
  readonly held: readonly ShardGrant[];
  /** All revoked shards with running requests. */
  readonly draining: readonly { readonly shard: ShardId; readonly remaining: number }[];
  /** Revoked and released shards among those named, with the revision of the revoke. */
  readonly released: readonly { readonly shard: ShardId; readonly revision: Revision }[];
  /** Warm shards among those named. */
  readonly warmed: readonly ShardId[];
  readonly inFlight: number;
  /** Whether the server is about to stop and requests that its shards be moved away. */
  readonly leaving?: boolean;
  /** Reason for which the request was rejected; `null` if it was accepted. */
  readonly refused: 'stale-term' | 'stale-sequence' | 'other-incarnation' | 'other-cluster' | null;
}

/** Timings of leases; identical for granters and holders. */
export interface LeaseTimings {
  readonly leaseMillis: number;
  readonly renewMillis: number;
  /** Largest relative error between two clocks' rates, e.g. 0.005. */
  readonly clockRateError: number;
}

/** Defaults; docs/design/leases.md describes how they divide the 3 s between the loss of an owner and the new owner. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMillis: 1500,
  renewMillis: 400,
  clockRateError: 0.005,
};

/** Credentials of a request, which the fence checks. */
export interface FenceCredentials {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly incarnation: Incarnation;
  readonly key: string;
}

/** Reason for which the fence rejected a request; with each of them, the request did not run. */
export type FenceRefusal =
  | 'lease-over'
  | 'not-owner'
  | 'stale-epoch'
  | 'wrong-shard'
  | 'other-incarnation'
  | 'draining'
  | 'overloaded';
