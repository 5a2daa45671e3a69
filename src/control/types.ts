/**
 * Inputs and effects of the control node, which combines Raft, registry, lease granter, placement and the handling of routers in one
 * deterministic core. The daemon and the simulator drive the same core.
 */
import type {
  Membership,
  PersistRequest,
  RaftMessage,
  RaftStatus,
  RaftTimings,
  RestoredState,
} from '../consensus/types.js';
import type { RangeTimings } from '../lease/range-timings.js';
import type { LeaseTimings, SessionAnswer, SessionRequest } from '../lease/types.js';
import type { LedgerRecord } from '../ledger/types.js';
import type { CrashSuspect, QuarantineSettings } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { GrantedKeys, HeldKeys } from '../model/held-keys.js';
import type {
  Address,
  ClusterId,
  ReplicaId,
  Revision,
  ServiceName,
  ShardId,
  UpstreamId,
  WallMillis,
  Zone,
} from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type {
  CommandResult,
  DeclarationChange,
  DeclaredDocument,
  OperatorCommand,
  ServiceRecord,
  ShardRecord,
  UpstreamRecord,
} from '../registry/types.js';
import type { FleetStatus } from './fleet-capacity/fleet-capacity.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';
import type { ConfigLeaseTimings, ControlToRouter, RouterToControl } from './messages.js';
import type { HolderCall, HolderCallId, HolderOutcome } from './ranges/holder-call.js';
import type { ServiceMeasures } from './service-measures.js';
import type { UnownedShards } from './unowned-tracker.js';

/** Identifies a router connection; assigned by the I/O layer. */
export type ConnectionId = string;

/** Identifies an operator request; assigned by the I/O layer. */
export type OperationId = string;

/** A request of an operator to a control member. */
export type OperatorRequest =
  | {
      readonly type: 'command';
      readonly requestId: string;
      readonly actor: string;
      readonly command: OperatorCommand;
      /** Whether to answer only once the change is in force on every router. */
      readonly wait: boolean;
    }
  /** A linearizable read. */
  | { readonly type: 'get-services' }
  | { readonly type: 'get-upstreams' }
  /** The shards of one service (`null`: of all), of one owner, or one shard. */
  | {
      readonly type: 'get-shards';
      readonly service: ServiceName | null;
      readonly owner?: UpstreamId;
      readonly shard?: ShardId;
    }
  | { readonly type: 'get-ledger'; readonly service: ServiceName; readonly key: string }
  /** A change of the declared document; it contains its own precondition and may be sent again. */
  | { readonly type: 'declare'; readonly actor: string; readonly change: DeclarationChange }
  /** Starts (`isOut`) or ends the evacuation of a zone, whose upstreams get nothing new. May be sent again. */
  | { readonly type: 'evacuate'; readonly actor: string; readonly zone: Zone; readonly isOut: boolean }
  /** A linearizable read of the evacuated zones. */
  | { readonly type: 'get-evacuations' }
  /** A linearizable read of requests suspected of crashing upstreams. */
  | { readonly type: 'get-suspects' }
  /** A linearizable read of the declared document. */
  | { readonly type: 'get-declaration' }
  /** A heartbeat of an upstream; `report`: the keys that it holds, if it reports them. */
  | { readonly type: 'announce'; readonly definition: UpstreamDefinition; readonly report: HeldKeys | null }
  /** Sent by an upstream that will end; `born`: start of its run, omitted if not reported. */
  | { readonly type: 'withdraw'; readonly upstream: UpstreamId; readonly born?: WallMillis }
  | { readonly type: 'get-status' }
  | { readonly type: 'add-learner'; readonly replica: ReplicaId; readonly address: Address }
  /** Adds a new replica as a learner and makes it a voter once it has caught up. */
  | { readonly type: 'add-voter'; readonly replica: ReplicaId; readonly address: Address }
  | {
      readonly type: 'replace-replica';
      readonly oldReplica: ReplicaId;
      readonly newReplica: ReplicaId;
      readonly address: Address;
    }
  | { readonly type: 'transfer-leadership'; readonly to: ReplicaId | null }
  /** Sent by a replica that stops as planned: a spare gets its vote at once. May be sent again. */
  | { readonly type: 'release-vote'; readonly replica: ReplicaId }
  | { readonly type: 'take-snapshot' };

/** The state of one upstream's session on the leader. */
export interface UpstreamHealth {
  readonly upstream: UpstreamId;
  readonly state: 'leased' | 'greeting' | 'ending' | 'unreachable';
  /** Milliseconds since the last answer; `null`: no answer yet. */
  readonly silentMillis: number | null;
  readonly shards: number;
  readonly draining: number;
}

/** An upstream with a rate limit or back-offs, as of the last reports to the leader. */
export interface ConstrainedUpstream {
  readonly upstream: UpstreamId;
  /** Maximum number of requests per second from all routers together; `null`: it reports no limit. */
  readonly perSecond: number | null;
  /** How long ago the limit was reported, in milliseconds. */
  readonly heardAgoMillis: number | null;
  /** Number of routers with a back-off of this upstream in effect. */
  readonly restingRouters: number;
}

/** The response to an `OperatorRequest`. Each request gets exactly one. */
export type OperatorResponse =
  | { readonly type: 'result'; readonly result: CommandResult; readonly inForce: boolean }
  | { readonly type: 'services'; readonly revision: Revision; readonly services: readonly ServiceRecord[] }
  | { readonly type: 'upstreams'; readonly revision: Revision; readonly upstreams: readonly UpstreamRecord[] }
  | { readonly type: 'shards'; readonly revision: Revision; readonly shards: readonly ShardRecord[] }
  | { readonly type: 'suspects'; readonly revision: Revision; readonly suspects: readonly CrashSuspect[] }
  | {
      readonly type: 'evacuations';
      readonly revision: Revision;
      readonly evacuations: readonly EvacuationRecord[];
    }
  /** `null`: no document was declared. */
  | { readonly type: 'declaration'; readonly document: DeclaredDocument | null }
  | { readonly type: 'ledger'; readonly record: LedgerRecord | null }
  | {
      readonly type: 'status';
      readonly raft: RaftStatus;
      readonly revision: Revision;
      readonly upstreams: readonly UpstreamHealth[];
      /** Leader only: measurements of each keyed service. */
      readonly services: readonly ServiceMeasures[];
      readonly routers: readonly {
        readonly router: string;
        readonly revision: Revision;
        readonly silentMillis: number;
        /** `false`: its last connection to this member ended. */
        readonly connected: boolean;
      }[];
      /** Milliseconds since this member's view of the leader last changed, including to no leader. */
      readonly leaderSinceMillis: number;
      readonly unowned: readonly UnownedShards[];
      /** Leader only: replicas that request to join. */
      readonly waitingReplicas: readonly { readonly replica: ReplicaId; readonly address: Address }[];
      /** Leader only: milliseconds since the last message of each other member. */
      readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
      readonly unownedShards: number;
      readonly movingShards: number;
      /** Number of ranges of numeric keys, and how many of them currently have no owner. */
      readonly ranges?: { readonly total: number; readonly withoutOwner: number };
      /** The evacuated zones. */
      readonly evacuations?: readonly Zone[];
      /** Leader only: upstreams with a rate limit or back-offs. */
      readonly needs?: readonly ConstrainedUpstream[];
      /** Speeds of upstreams and capacity of zones, as last sent to routers; `null` on members that don't lead. */
      readonly fleet?: FleetStatus | null;
      /** Number of requests suspected of crashing upstreams, and how many of them routers reject. */
      readonly suspects?: { readonly total: number; readonly quarantined: number };
    }
  | { readonly type: 'membership'; readonly membership: Membership; readonly repaired: boolean }
  | { readonly type: 'done' }
  /** A heartbeat was accepted; `keys`: all keys that the upstream is to hold, `null`: nothing is renewed. */
  | { readonly type: 'heartbeat-taken'; readonly keys: GrantedKeys | null }
  /** Nothing was changed. */
  | { readonly type: 'not-leader'; readonly leader: Address | null }
  | { readonly type: 'rejected'; readonly message: string }
  /** The change may or may not be made later; sending it again with the same request id returns its outcome. */
  | { readonly type: 'unknown' };

/** An input of the control core. */
export type ControlInput =
  | { readonly type: 'tick' }
  | { readonly type: 'peer-message'; readonly message: RaftMessage }
  /** A replica that isn't a member requests to join. */
  | { readonly type: 'join-request'; readonly replica: ReplicaId; readonly address: Address }
  | { readonly type: 'persisted'; readonly persistId: number }
  | { readonly type: 'router-message'; readonly connection: ConnectionId; readonly message: RouterToControl }
  | { readonly type: 'router-gone'; readonly connection: ConnectionId }
  | {
      readonly type: 'upstream-answer';
      readonly upstream: UpstreamId;
      readonly sequence: number;
      readonly answer: SessionAnswer;
    }
  | { readonly type: 'upstream-failed'; readonly upstream: UpstreamId; readonly sequence: number }
  | { readonly type: 'holder-answer'; readonly call: HolderCallId; readonly outcome: HolderOutcome }
  | { readonly type: 'identity-answer'; readonly question: QuestionId; readonly answer: IdentityAnswer }
  | { readonly type: 'operator-request'; readonly operation: OperationId; readonly request: OperatorRequest };

/** An effect that the host of the control core has to execute, in the order in which effects are returned. */
export type ControlEffect =
  | { readonly type: 'send-peer'; readonly message: RaftMessage }
  | { readonly type: 'persist'; readonly request: PersistRequest }
  | { readonly type: 'send-router'; readonly connection: ConnectionId; readonly message: ControlToRouter }
  /** Answered by `upstream-answer` or `upstream-failed` with the request's sequence. */
  | {
      readonly type: 'call-upstream';
      readonly upstream: UpstreamId;
      readonly address: Address;
      readonly request: SessionRequest;
    }
  /** Answered by `holder-answer` with the call's id. */
  | { readonly type: 'call-holder'; readonly call: HolderCall }
  /** Answered by `identity-answer` with the question's id. */
  | { readonly type: 'ask-identity'; readonly question: IdentityQuestion }
  | { readonly type: 'answer-operator'; readonly operation: OperationId; readonly response: OperatorResponse }
  | {
      readonly type: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly event: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** Settings of one control member. */
export interface ControlConfig {
  readonly cluster: ClusterId;
  readonly self: ReplicaId;
  readonly seed: number;
  readonly raft: RaftTimings;
  readonly lease: LeaseTimings;
  readonly configLease: ConfigLeaseTimings;
  /** Minimum number of log entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Bytes of log entries after which a snapshot is taken, however few the entries are; the default if omitted. */
  readonly snapshotBytes?: number;
  /**
   * The leader replaces a voter that has been silent this long once a spare learner has caught up, and accepts waiting replicas
   * as spares; 0: never.
   */
  readonly replaceAfterMillis: number;
  /** Spares become additional voters up to this number of voters; if omitted, they only replace other voters. */
  readonly maxVoters?: number;
  /** Maximum wait of a planned move for its target to load the shard; 0: no wait, the target is granted the shard cold. */
  readonly warmTimeoutMillis?: number;
  /** Timings of grants to upstreams that announce themselves; the defaults if omitted. */
  readonly ranges?: RangeTimings;
  /** Quarantine of requests that crash upstreams; the defaults if omitted. */
  readonly quarantine?: QuarantineSettings;
  /** Zone of this member; omitted if unknown. */
  readonly zone?: Zone;
  /** Known zones besides those of registered upstreams; evacuations of any other zone are refused. */
  readonly zones?: readonly Zone[];
}

/** The leader's workload for key ranges, with counters since its election. */
export interface RangeWork {
  readonly ranges: number;
  /** Number of unfinished calls to upstreams. */
  readonly openCalls: number;
  /** Number of calls begun. */
  readonly calls: number;
  /** Number of decisions about owners. */
  readonly decisions: number;
  /** Number of planned moves that began after an estimate of cost and gain, and the sums of both estimates in milliseconds of waiting. */
  readonly weighedMoves: number;
  readonly moveCostMillis: number;
  readonly moveGainMillis: number;
}

/** Work of a member's core since its start, to tell what a long step did. */
export interface CoreWork {
  /** Log entries applied to the registry. */
  readonly appliedEntries: number;
  /** Messages to routers. */
  readonly routerMessages: number;
  /** Messages to routers that contain all routing data. */
  readonly routingSnapshots: number;
  /** Spans of keys compared while moves of keys were planned. */
  readonly searchedSpans: number;
}

/** `now` is monotonic; `wall` is the timestamp of commands. */
export interface ControlCore {
  step(input: ControlInput, now: number, wall: WallMillis): ControlEffect[];
  nextDeadline(): number;
  status(): RaftStatus;
  /** `null`: this member doesn't lead. */
  rangeWork(): RangeWork | null;
  work(): CoreWork;
}

/** The state that a control member restored from disk. */
export type ControlRestoredState = RestoredState;
