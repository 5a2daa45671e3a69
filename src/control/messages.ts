/** Messages between routers and control members, and from joining replicas, in the frames of `src/wire/`. */
import type { ClaimantId, ClaimResult, StoredAnswer } from '../ledger/types.js';
import type { ClearedSuspect, UpstreamCrash } from '../model/crash-suspect.js';
import type { FleetReport, FleetViewVersion, UpstreamSpeed, ZoneCapacity } from '../model/fleet-view.js';
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
import type { RelayPeer, RelayReport } from '../model/relay.js';
import type { RouterTimeSlots } from '../model/router-time-slots.js';
import type { IssuedPermits, ReportedUpstream } from '../model/upstream-notice.js';
import type { RoutingDelta, RoutingSnapshot } from '../registry/types.js';

/** Sent to the members by a replica that isn't a member, and repeated until it is one. */
export interface JoinRequest {
  readonly type: 'join-request';
  readonly replica: ReplicaId;
  readonly address: Address;
}

export { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../model/configuration-lease.js';

/** Renews the configuration lease and fetches the changes since `have`. */
export interface SyncRequest {
  readonly type: 'sync-request';
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  /** Send time by the router's clock; the lease starts at this time. */
  readonly stamp: MonotonicMillis;
  /** Last revision that the router holds; 0: none, a snapshot is needed. */
  readonly have: Revision;
}
export interface SyncResponse {
  readonly type: 'sync-response';
  readonly stamp: MonotonicMillis;
  /** Whether a quorum confirmed, after the request arrived, that nothing later than `revision` was acknowledged. */
  readonly confirmed: boolean;
  readonly revision: Revision;
  readonly snapshot: RoutingSnapshot | null;
  readonly delta: RoutingDelta | null;
  readonly leader: Address | null;
  /** Internal addresses of all voters, for a router whose settings list other addresses. */
  readonly members: readonly Address[];
  /** The router's time slots in the use of cold upstreams; `null`: unknown. */
  readonly turn: RouterTimeSlots | null;
}
/**
 * The changes since the last revision that the router holds, sent immediately. They are committed, but not confirmed to be the
 * latest ones; the `SyncResponse` to a request follows separately.
 */
export interface SyncUpdate {
  readonly type: 'sync-news';
  readonly delta: RoutingDelta;
}
/** A hint that there are changes to fetch. */
export interface ChangeNotice {
  readonly type: 'change-notice';
  readonly revision: Revision;
}
/**
 * Work that upstreams did through a router since its last report. Sent to the leader; a lost report isn't repeated. The number of
 * shards in it is bounded: light shards represent others of their kind, so only sums over reports are meaningful.
 */
export interface LoadReport {
  readonly type: 'load-report';
  readonly intervalMillis: number;
  readonly shards: readonly {
    readonly shard: ShardId;
    readonly workMillis: number;
    /** Number of requests behind `workMillis`. */
    readonly requests: number;
  }[];
  /** Work at upstreams without keys, and demand for them; absent if the router is older or has no such upstreams. */
  readonly fleet?: FleetReport;
  /** Absent if the router is older or doesn't carry connections of others. */
  readonly relay?: RelayReport;
}
/** The routers through which the receiver may reach upstreams, in its order of preference. Sent by the leader when they change. */
export interface RelayPeers {
  readonly type: 'relay-peers';
  readonly peers: readonly RelayPeer[];
}
/** Response to a `LoadReport` with a `FleetReport`: the changes since the version in that report. Sent only to its sender. */
export interface FleetUpdate {
  readonly type: 'fleet-news';
  readonly version: FleetViewVersion;
  /** Whether this is the complete view, which replaces any earlier one. */
  readonly isWhole: boolean;
  /** Speed 1 for an upstream that is no longer known to differ. */
  readonly speeds: readonly UpstreamSpeed[];
  readonly zones: readonly ZoneCapacity[];
}
/**
 * Requests during which upstreams crashed, and suspects that succeeded since. Sent to the leader, and repeated until the
 * configuration contains it.
 */
export interface CrashReport {
  readonly type: 'crash-report';
  readonly crashes: readonly UpstreamCrash[];
  readonly cleared: readonly ClearedSuspect[];
}
/**
 * Notices that a router received from upstreams, and the number of permits that it needs for requests waiting for upstreams with a
 * limit. Sent to the leader, and repeated while it applies.
 */
export interface UpstreamReport {
  readonly type: 'upstream-report';
  /** Send time by the router's clock; permits are valid from this time. */
  readonly stamp: MonotonicMillis;
  readonly upstreams: readonly ReportedUpstream[];
}
/** Response to an `UpstreamReport`, immediately or once a permit is available. Requests for permits that it doesn't list stay pending. */
export interface UpstreamPermits {
  readonly type: 'upstream-permits';
  readonly stamp: MonotonicMillis;
  /** Time between the arrival of the report and the sending of this response. */
  readonly waitedMillis: number;
  readonly leader: Address | null;
  /** Empty if the sender isn't the leader. */
  readonly upstreams: readonly IssuedPermits[];
}
/** Sent to the leader; repeating it for one claimant has no further effect. */
export interface ClaimRequest {
  readonly type: 'claim-request';
  readonly claimant: ClaimantId;
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly issuedAt: WallMillis;
}

/** Response to a `ClaimRequest`. */
export interface ClaimResponse {
  readonly type: 'claim-response';
  readonly claimant: ClaimantId;
  /** `null`: the sender isn't the leader or has no quorum; the result is unknown. */
  readonly result: ClaimResult | null;
  readonly leader: Address | null;
}

/** Reports the outcome of a claimed request to the leader. */
export interface SettleRequest {
  readonly type: 'settle-request';
  readonly claimant: ClaimantId;
  readonly service: ServiceName;
  readonly key: string;
  readonly outcome: 'ran' | 'not-run' | 'unknown';
  readonly answer: StoredAnswer | null;
}

/** Response to a `SettleRequest`; if `settled` is `false`, the router retries, at `leader` if given. */
export interface SettleResponse {
  readonly type: 'settle-response';
  readonly claimant: ClaimantId;
  readonly settled: boolean;
  readonly leader: Address | null;
}

/** Messages from routers to control members. */
export type RouterToControl =
  | SyncRequest
  | ClaimRequest
  | SettleRequest
  | LoadReport
  | CrashReport
  | UpstreamReport;

/** Messages from control members to routers. */
export type ControlToRouter =
  | SyncResponse
  | SyncUpdate
  | ChangeNotice
  | ClaimResponse
  | SettleResponse
  | UpstreamPermits
  | FleetUpdate
  | RelayPeers;

/** First frame of a connection, in both directions. */
export interface Greeting {
  readonly type: 'greeting';
  readonly cluster: ClusterId;
  readonly kind: 'control' | 'router';
  readonly name: string;
  /** Zone of the sender. */
  readonly zone: Zone;
}
