/** Messages between routers and control members, and from replicas that join, carried by frames of `src/wire/`. */
import type { ClaimantId, ClaimResult, StoredAnswer } from '../ledger/types.js';
import type { ClearedSuspect, UpstreamCrash } from '../model/crash-suspect.js';
import type { FleetReport, FleetVersion, UpstreamSpeed, ZoneRoom } from '../model/fleet-view.js';
import type {
  Address,
  ClusterId,
  Incarnation,
  MonotonicMillis,
  ReplicaId,
  Revision,
  RouterId,
  ServiceName,
  ShardId,
  WallMillis,
  Zone,
} from '../model/identifiers.js';
import type { RouterTurn } from '../model/router-turn.js';
import type { HeardUpstream, IssuedPermits } from '../model/upstream-notice.js';
import type { RoutingDelta, RoutingSnapshot } from '../registry/types.js';

/** From a replica that is no member yet to the members; repeated until it is one. */
export interface JoinRequest {
  readonly type: 'join-request';
  readonly replica: ReplicaId;
  readonly address: Address;
}

export { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../model/configuration-lease.js';

/** Refreshes the configuration lease and fetches what changed. */
export interface SyncRequest {
  readonly type: 'sync-request';
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  /** Router's clock when it sent this; the lease counts from here. */
  readonly stamp: MonotonicMillis;
  /** Last revision held; 0: none, send a snapshot. */
  readonly have: Revision;
}
export interface SyncResponse {
  readonly type: 'sync-response';
  readonly stamp: MonotonicMillis;
  /** Set when a quorum confirmed, after the request arrived, that nothing later than `revision` was acknowledged. */
  readonly confirmed: boolean;
  readonly revision: Revision;
  readonly snapshot: RoutingSnapshot | null;
  readonly delta: RoutingDelta | null;
  readonly leader: Address | null;
  /** Internal addresses of all voters, for a router whose settings name others. */
  readonly members: readonly Address[];
  /** Its places among the routers; `null`: not known. */
  readonly turn: RouterTurn | null;
}
/**
 * What changed since the revision that a router asked with, at once. It is committed, but nobody says that it is the latest: the
 * response to the request follows.
 */
export interface SyncNews {
  readonly type: 'sync-news';
  readonly delta: RoutingDelta;
}
/** Says that there is something to fetch. Only a hint. */
export interface ChangeNotice {
  readonly type: 'change-notice';
  readonly revision: Revision;
}
/**
 * Work that a router saw done since its last report. Sent to the leader; one that is lost isn't repeated. It names
 * a bounded number of shards: light ones stand for others of their kind, so only sums over reports are meaningful.
 */
export interface LoadReport {
  readonly type: 'load-report';
  readonly intervalMillis: number;
  readonly shards: readonly {
    readonly shard: ShardId;
    readonly workMillis: number;
    /** Requests that the work is of. */
    readonly requests: number;
  }[];
  /** Work at upstreams without keys, and demand for them; absent from an older router, and from one without such upstreams. */
  readonly fleet?: FleetReport;
}
/** Answers a `LoadReport` that has a `FleetReport`: what changed since the version that it names. Never sent to others. */
export interface FleetNews {
  readonly type: 'fleet-news';
  readonly version: FleetVersion;
  /** Whether this is all there is, and what was known before is to be forgotten. */
  readonly isWhole: boolean;
  /** Speed 1 for one that is no longer known to differ. */
  readonly speeds: readonly UpstreamSpeed[];
  readonly zones: readonly ZoneRoom[];
}
/**
 * Requests under which upstreams ended, and suspects that succeeded since. Sent to the leader, and again until the
 * configuration shows that it was taken.
 */
export interface CrashReport {
  readonly type: 'crash-report';
  readonly crashes: readonly UpstreamCrash[];
  readonly cleared: readonly ClearedSuspect[];
}
/**
 * What a router heard upstreams say of themselves, and how many permits it wants for requests that wait at those with a limit. Sent to the
 * leader, and again as long as it holds.
 */
export interface UpstreamReport {
  readonly type: 'upstream-report';
  /** Router's clock when it sent this; permits count from here. */
  readonly stamp: MonotonicMillis;
  readonly upstreams: readonly HeardUpstream[];
}
/** Answers an `UpstreamReport`, at once or when there is a permit. What was asked for and isn't named waits. */
export interface UpstreamPermits {
  readonly type: 'upstream-permits';
  readonly stamp: MonotonicMillis;
  /** How long the report had been here when this was sent. */
  readonly waitedMillis: number;
  readonly leader: Address | null;
  /** Empty from a member that doesn't lead. */
  readonly upstreams: readonly IssuedPermits[];
}
/** Sent to the leader; idempotent for one claimant. */
export interface ClaimRequest {
  readonly type: 'claim-request';
  readonly claimant: ClaimantId;
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly issuedAt: WallMillis;
}

/** Answers a `ClaimRequest`. */
export interface ClaimResponse {
  readonly type: 'claim-response';
  readonly claimant: ClaimantId;
  /** `null`: not the leader, or no quorum; nothing is known of the claim. */
  readonly result: ClaimResult | null;
  readonly leader: Address | null;
}

/** Tells the leader how a claimed request ended. */
export interface SettleRequest {
  readonly type: 'settle-request';
  readonly claimant: ClaimantId;
  readonly service: ServiceName;
  readonly key: string;
  readonly outcome: 'ran' | 'not-run' | 'unknown';
  readonly answer: StoredAnswer | null;
}

/** Answers a `SettleRequest`; `settled` `false`: ask again, or ask `leader`. */
export interface SettleResponse {
  readonly type: 'settle-response';
  readonly claimant: ClaimantId;
  readonly settled: boolean;
  readonly leader: Address | null;
}

/** What routers send to control members. */
export type RouterToControl =
  | SyncRequest
  | ClaimRequest
  | SettleRequest
  | LoadReport
  | CrashReport
  | UpstreamReport;

/** What control members send to routers. */
export type ControlToRouter =
  | SyncResponse
  | SyncNews
  | ChangeNotice
  | ClaimResponse
  | SettleResponse
  | UpstreamPermits
  | FleetNews;

/** First frame of a connection, both ways. */
export interface Greeting {
  readonly type: 'greeting';
  readonly cluster: ClusterId;
  readonly kind: 'control' | 'router';
  readonly name: string;
  /** Where the sender is. */
  readonly zone: Zone;
}
