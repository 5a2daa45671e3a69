/**
 * Messages between the control leader, which grants ownership of shards, and an upstream, which holds it.
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

/** A grant that the log holds. */
export interface ShardGrant {
  readonly shard: ShardId;
  /** Revision of the entry that made this grant. */
  readonly epoch: Epoch;
}

/** An order about one shard; `revision` is that of the log entry it follows from. */
export type ShardOrder =
  | { readonly type: 'grant'; readonly shard: ShardId; readonly epoch: Epoch; readonly revision: Revision }
  /** Stop new work on the shard, finish what runs, then count it as given up. */
  | { readonly type: 'revoke'; readonly shard: ShardId; readonly revision: Revision }
  /** Load the shard's state; no request may be served yet. */
  | { readonly type: 'warm'; readonly shard: ShardId; readonly revision: Revision };

/** The map of a service's keys to shards under which grants are made. */
export interface KeyMap {
  readonly service: ServiceName;
  readonly generation: Revision;
  readonly keyspaces: readonly KeyspaceDefinition[];
}

/** What the leader sends. */
export interface SessionRequest {
  readonly cluster: ClusterId;
  readonly leader: ReplicaId;
  readonly term: Term;
  /** Grows with each request of one leader to one upstream; older ones are ignored. */
  readonly sequence: number;
  readonly upstream: UpstreamId;
  /** Incarnation that the orders and the lease are for; `null` in a first greeting, which only asks. */
  readonly incarnation: Incarnation | null;
  /** End of the lease on the upstream's own monotonic clock; `null` renews nothing. */
  readonly validUntil: MonotonicMillis | null;
  readonly keyMap: KeyMap | null;
  readonly orders: readonly ShardOrder[];
  /** Set when `orders` names every grant and revoke of this upstream; all others it holds are void. */
  readonly complete: boolean;
  /** The upstream is leaving: it takes no new work of any kind. */
  readonly drain: boolean;
}

/**
 * What the upstream answers. Of `held`, `released` and `warmed` it names only shards that the request's orders name: a
 * server of many shards would else repeat all of them with each renewal. Nothing is lost by that: what a server holds
 * changes only by orders, an order is repeated until an answer to it shows that it was followed, and revokes and orders
 * to warm go with each request for as long as they are in force.
 */
export interface SessionAnswer {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** The upstream's monotonic clock when it answered. */
  readonly stamp: MonotonicMillis;
  readonly term: Term;
  readonly sequence: number;
  /** Which of the shards named are held, with the epochs. */
  readonly held: readonly ShardGrant[];
  /** All revoked shards with work left. */
  readonly draining: readonly { readonly shard: ShardId; readonly remaining: number }[];
  /** Which of the shards named were revoked and given up for good, with the revision of the revoke. */
  readonly released: readonly { readonly shard: ShardId; readonly revision: Revision }[];
  /** Which of the shards named are warm. */
  readonly warmed: readonly ShardId[];
  readonly inFlight: number;
  /** The server is about to stop and asks that its shards be moved away. */
  readonly leaving?: boolean;
  /** Why the request was refused, if it was: stale term, another incarnation, another cluster. */
  readonly refused: 'stale-term' | 'stale-sequence' | 'other-incarnation' | 'other-cluster' | null;
}

/** Times of leases; the same on granters and holders. */
export interface LeaseTimings {
  readonly leaseMillis: number;
  readonly renewMillis: number;
  /** Largest relative error between two clocks' rates, e.g. 0.005. */
  readonly clockRateError: number;
}

/** Defaults: docs/design/leases.md says how they divide the 3 s between loss and new owner. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMillis: 1500,
  renewMillis: 400,
  clockRateError: 0.005,
};

/** What a request shows to the fence. */
export interface FenceCredentials {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly incarnation: Incarnation;
  readonly key: string;
}

/** Why the fence turned a request away; each means that it did not run. */
export type FenceRefusal =
  | 'lease-over'
  | 'not-owner'
  | 'stale-epoch'
  | 'wrong-shard'
  | 'other-incarnation'
  | 'draining'
  | 'overloaded';
