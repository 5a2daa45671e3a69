/**
 * Inputs and effects of the control node: Raft, registry, lease granter, placement and the router-facing side in one
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
import type { CrashSuspect, QuarantineTerms } from '../model/crash-suspect.js';
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
import type { FleetStatus } from './fleet-room/fleet-room.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';
import type { ConfigLeaseTimings, ControlToRouter, RouterToControl } from './messages.js';
import type { HolderCall, HolderCallId, HolderOutcome } from './ranges/holder-call.js';
import type { ServiceMeasures } from './service-measures.js';
import type { UnownedShards } from './unowned-clock.js';

/** Names one connection of a router, or one operator request, as the shell numbers them. */
export type ConnectionId = string;

/** Names one operator request, as the shell numbers them. */
export type OperationId = string;

/** What operators ask of a control member. */
export type OperatorRequest =
  | {
      readonly type: 'command';
      readonly requestId: string;
      readonly actor: string;
      readonly command: OperatorCommand;
      /** Answer only when the change is in force on every router. */
      readonly wait: boolean;
    }
  /** A linearizable read. */
  | { readonly type: 'get-services' }
  | { readonly type: 'get-upstreams' }
  /** Shards of one service (`null`: of all), of one owner, or one shard. */
  | {
      readonly type: 'get-shards';
      readonly service: ServiceName | null;
      readonly owner?: UpstreamId;
      readonly shard?: ShardId;
    }
  | { readonly type: 'get-ledger'; readonly service: ServiceName; readonly key: string }
  /** A change of the declared document; it carries its own precondition and may be sent again. */
  | { readonly type: 'declare'; readonly actor: string; readonly change: DeclarationChange }
  /** Whether the upstreams of a zone get nothing new from now on, or may again. May be sent again. */
  | { readonly type: 'evacuate'; readonly actor: string; readonly zone: Zone; readonly isOut: boolean }
  /** A linearizable read of the zones out of use. */
  | { readonly type: 'get-evacuations' }
  /** A linearizable read of requests under which upstreams ended. */
  | { readonly type: 'get-suspects' }
  /** A linearizable read of the declared document. */
  | { readonly type: 'get-declaration' }
  /** A heartbeat of an upstream; `report`: which keys it holds, if it says so. */
  | { readonly type: 'announce'; readonly definition: UpstreamDefinition; readonly report: HeldKeys | null }
  /** `born`: start of the run that will end; left out if it doesn't say. */
  | { readonly type: 'withdraw'; readonly upstream: UpstreamId; readonly born?: WallMillis }
  | { readonly type: 'get-status' }
  | { readonly type: 'add-learner'; readonly replica: ReplicaId; readonly address: Address }
  /** Takes a new replica in as a learner and lets it vote once it holds everything. */
  | { readonly type: 'add-voter'; readonly replica: ReplicaId; readonly address: Address }
  | {
      readonly type: 'replace-replica';
      readonly oldReplica: ReplicaId;
      readonly newReplica: ReplicaId;
      readonly address: Address;
    }
  | { readonly type: 'transfer-leadership'; readonly to: ReplicaId | null }
  | { readonly type: 'take-snapshot' };

/** What the leader knows of one upstream's session. */
export interface UpstreamHealth {
  readonly upstream: UpstreamId;
  readonly state: 'leased' | 'greeting' | 'ending' | 'unreachable';
  /** Milliseconds since the last answer; `null`: none yet. */
  readonly silentMillis: number | null;
  readonly shards: number;
  readonly draining: number;
}

/** An upstream that says that it is in need, as the leader heard last. */
export interface NeedyUpstream {
  readonly upstream: UpstreamId;
  /** Requests a second that it takes from all routers together; `null`: it names no limit. */
  readonly perSecond: number | null;
  /** How long ago the limit was heard, in milliseconds. */
  readonly heardAgoMillis: number | null;
  /** Routers that it asked for rest which isn't over. */
  readonly restingRouters: number;
}

/** How an `OperatorRequest` ended. Each request gets exactly one. */
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
  /** `null`: nothing was declared as one document. */
  | { readonly type: 'declaration'; readonly document: DeclaredDocument | null }
  | { readonly type: 'ledger'; readonly record: LedgerRecord | null }
  | {
      readonly type: 'status';
      readonly raft: RaftStatus;
      readonly revision: Revision;
      readonly upstreams: readonly UpstreamHealth[];
      /** Leader only: what is measured of each keyed service. */
      readonly services: readonly ServiceMeasures[];
      readonly routers: readonly {
        readonly router: string;
        readonly revision: Revision;
        readonly silentMillis: number;
        /** `false`: its last connection to this member ended. */
        readonly connected: boolean;
      }[];
      /** Milliseconds since this member last learned who leads, or that nobody does. */
      readonly leaderSinceMillis: number;
      readonly unowned: readonly UnownedShards[];
      /** Leader only: replicas that ask to be taken in. */
      readonly waitingReplicas: readonly { readonly replica: ReplicaId; readonly address: Address }[];
      /** Leader only: milliseconds since each other member was heard. */
      readonly memberSilentMillis: Readonly<Record<ReplicaId, number>>;
      readonly unownedShards: number;
      readonly movingShards: number;
      /** Ranges of numeric keys, and those that have no owner at this moment. */
      readonly ranges?: { readonly total: number; readonly withoutOwner: number };
      /** Zones out of use. */
      readonly evacuations?: readonly Zone[];
      /** Leader only: upstreams that say that they are in need. */
      readonly needs?: readonly NeedyUpstream[];
      /** Speeds of upstreams and room of zones, as routers were told; `null` on members that don't lead. */
      readonly fleet?: FleetStatus | null;
      /** Requests under which upstreams ended, and those of them that routers refuse. */
      readonly suspects?: { readonly total: number; readonly quarantined: number };
    }
  | { readonly type: 'membership'; readonly membership: Membership; readonly repaired: boolean }
  | { readonly type: 'done' }
  /** A heartbeat was taken; `keys`: all that the upstream is to hold, `null`: nothing is renewed. */
  | { readonly type: 'heartbeat-taken'; readonly keys: GrantedKeys | null }
  /** Nothing was changed. */
  | { readonly type: 'not-leader'; readonly leader: Address | null }
  | { readonly type: 'rejected'; readonly message: string }
  /** The change may or may not be made later; a resend with the same request id tells. */
  | { readonly type: 'unknown' };

/** What a control core is told. */
export type ControlInput =
  | { readonly type: 'tick' }
  | { readonly type: 'peer-message'; readonly message: RaftMessage }
  /** A replica that is no member asks to be taken in. */
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

/** What the host of a control core has to carry out, in this order. */
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
  /** Log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /**
   * Replace a voter by itself once it was silent this long and a spare learner is caught up, and take waiting replicas in
   * as spares; 0: never.
   */
  readonly replaceAfterMillis: number;
  /** Spares get a vote of their own up to this many voters; left out: only in the place of another. */
  readonly mostVoters?: number;
  /** Longest wait of a planned move for its target to load the shard; 0: no wait, the target gets it cold. */
  readonly warmTimeoutMillis?: number;
  /** Grants to upstreams that announce themselves; the defaults if left out. */
  readonly ranges?: RangeTimings;
  /** Requests under which upstreams end; the defaults if left out. */
  readonly quarantine?: QuarantineTerms;
  /** Zone of this member; left out: not known. */
  readonly zone?: Zone;
  /** Zones that there are beside those of known upstreams; orders for any other one are refused. */
  readonly zones?: readonly Zone[];
}

/** What a leader has to keep up of key ranges, and what it did for that since it was elected. */
export interface RangeWork {
  readonly ranges: number;
  /** Calls to upstreams that haven't ended. */
  readonly openCalls: number;
  /** Calls that began. */
  readonly calls: number;
  /** Times at which owners were decided. */
  readonly decisions: number;
  /** Planned moves that were weighed and began, and the milliseconds of waiting that they were weighed to cost and gain. */
  readonly weighedMoves: number;
  readonly moveCostMillis: number;
  readonly moveGainMillis: number;
}

/** `now` is monotonic; `wall` is stamped on commands. */
export interface ControlCore {
  step(input: ControlInput, now: number, wall: WallMillis): ControlEffect[];
  nextDeadline(): number;
  status(): RaftStatus;
  /** `null`: this member doesn't lead. */
  rangeWork(): RangeWork | null;
}

/** What a control member found on its disk. */
export type ControlRestoredState = RestoredState;
