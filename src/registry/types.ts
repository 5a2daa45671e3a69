/** Types of the replicated state machine: declarations, shard and range owners, the ledger, the dedup table, and their commands. */
import type { ClaimCommand, ClaimResult, LedgerRecord, SettleCommand } from '../ledger/types.js';
import type {
  ClearedSuspect,
  CrashSuspect,
  QuarantineSettings,
  RequestFingerprint,
  UpstreamCrash,
} from '../model/crash-suspect.js';
import type { DeclarationRecord, RouteRecord } from '../model/declaration.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type {
  Epoch,
  Incarnation,
  Revision,
  ServiceName,
  ShardId,
  UpstreamId,
  WallMillis,
  Zone,
} from '../model/identifiers.js';
import type { KeyRange } from '../model/key-range.js';
import type {
  PolicyRule,
  RangeGrantSettings,
  ServiceDefinition,
  UpstreamDefinition,
} from '../model/service.js';

/** A declared service. */
export interface ServiceRecord {
  readonly definition: ServiceDefinition;
  /** Revision of the last change to the service. */
  readonly revision: Revision;
  /** Revision at which the keyspaces last changed; part of the ids of its shards. */
  readonly generation: Revision;
}

/** A declared upstream and its session. */
export interface UpstreamRecord {
  readonly definition: UpstreamDefinition;
  /** Revision of the last change to the definition; opening or ending a session doesn't change it. */
  readonly revision: Revision;
  /** Incarnation that holds the session; `null` before the first session and after its lease has ended. */
  readonly incarnation: Incarnation | null;
}

/** The state of a shard. A shard without a record is unowned and has never been granted. */
export interface ShardRecord {
  readonly shard: ShardId;
  readonly owner: UpstreamId | null;
  readonly incarnation: Incarnation | null;
  readonly epoch: Epoch;
  /** Target of the planned move in progress: the owner releases the shard, then it is granted to this upstream. */
  readonly movingTo: UpstreamId | null;
  readonly revision: Revision;
}

/** Ranges of a removed service, or of one whose keys are no longer owned, which upstreams may still hold. */
export interface RetiredRanges {
  readonly service: ServiceName;
  /** Revision at which the service was removed. */
  readonly revision: Revision;
  /** How the ranges were granted. */
  readonly grants: RangeGrantSettings;
  /** Sorted; as they were when the service was removed, but for owners that have restarted since. */
  readonly ranges: readonly KeyRange[];
}

/** Changes requested by operators. `expected` is the revision of the object that the operator last read; 0: it must not exist; `null`: any. */
export type OperatorCommand =
  | {
      readonly type: 'service-apply';
      readonly definition: ServiceDefinition;
      readonly expected: Revision | null;
    }
  | { readonly type: 'service-delete'; readonly service: ServiceName; readonly expected: Revision | null }
  /** Changes only the policy of a service. */
  | {
      readonly type: 'policy-apply';
      readonly service: ServiceName;
      readonly policy: readonly PolicyRule[];
      readonly expected: Revision | null;
    }
  | {
      readonly type: 'upstream-apply';
      readonly definition: UpstreamDefinition;
      readonly expected: Revision | null;
    }
  /** Changes only whether an upstream is leaving (drained by the operator). */
  | {
      readonly type: 'upstream-drain';
      readonly upstream: UpstreamId;
      readonly leaving: boolean;
      readonly expected: Revision | null;
    }
  | { readonly type: 'upstream-remove'; readonly upstream: UpstreamId; readonly expected: Revision | null }
  | {
      readonly type: 'shard-move';
      readonly shard: ShardId;
      readonly to: UpstreamId;
      readonly expected: Revision | null;
    }
  /** Releases a quarantined request (one during which upstreams crashed). */
  | {
      readonly type: 'quarantine-release';
      readonly fingerprint: RequestFingerprint;
      readonly expected: Revision | null;
    };

/**
 * Starts or ends the evacuation of a zone, during which its upstreams get no new work. A command whose effect is already in place
 * changes nothing, so each can be resent.
 */
export type EvacuationCommand =
  | { readonly type: 'evacuation-start'; readonly zone: Zone }
  | { readonly type: 'evacuation-end'; readonly zone: Zone };

/** A change of the declared document as it was sent; items are validated when the change is applied. */
export interface DeclarationChange {
  readonly type: 'declaration-apply';
  /** Version of the document after the change. */
  readonly version: number;
  /** Version that the change is based on; 0: no document exists yet. */
  readonly expected: number;
  /** `whole`: items that aren't listed are removed. `partial`: items are added or replaced by name. */
  readonly extent: 'whole' | 'partial';
  readonly routes: readonly unknown[];
  readonly services: readonly unknown[];
  /** `null`: unchanged in a partial change, the defaults in a whole one. */
  readonly limits: unknown;
  readonly removedRoutes: readonly string[];
  readonly removedServices: readonly string[];
  /**
   * Whether the ranges of services that the change removes are retired. Entries written by earlier releases lack the field: they
   * dropped such ranges, and members that replay them have to reach the same state.
   */
  readonly retiresRanges?: boolean;
}

/** Reports by routers about requests during which upstreams crashed, and the expiry of such records. The leader sets the terms. */
export type CrashCommand =
  | {
      readonly type: 'crashes-note';
      readonly crashes: readonly UpstreamCrash[];
      readonly terms: QuarantineSettings;
    }
  | { readonly type: 'suspects-clear'; readonly cleared: readonly ClearedSuspect[] }
  | { readonly type: 'suspects-expire'; readonly terms: QuarantineSettings };

/** Commands derived from the announcements of upstreams. */
export type AnnouncementCommand =
  /** An upstream is running, or reports that it is shutting down. */
  | { readonly type: 'upstream-announce'; readonly definition: UpstreamDefinition }
  /** The upstream will end. Its id is accepted again only from a run with a later `born`. `born` is left out if the run doesn't report it. */
  | { readonly type: 'upstream-withdraw'; readonly upstream: UpstreamId; readonly born?: WallMillis };

/** A new owner for a span of keys of one service. It applies only if the span lies within a single range whose fence is `expectedFence`. */
export interface RangeUpdate {
  readonly from: number;
  readonly to: number;
  readonly expectedFence: Epoch;
  readonly owner: UpstreamId | null;
  readonly former: UpstreamId | null;
}

/** Changes made by the leader. Each contains its preconditions, so a stale one changes nothing. */
export type LeaderCommand =
  /** A new incarnation started: the session and all grants of the previous one are void (its lease ended, or it reported its own end). */
  | {
      readonly type: 'session-open';
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly previous: Incarnation | null;
    }
  /** The lease of this incarnation has ended; its shards become unowned. */
  | { readonly type: 'session-end'; readonly upstream: UpstreamId; readonly incarnation: Incarnation }
  /** Grants several shards; each grant applies only if the shard is unowned and at `expectedEpoch`. */
  | {
      readonly type: 'grant-batch';
      readonly grants: readonly {
        readonly shard: ShardId;
        readonly to: UpstreamId;
        readonly incarnation: Incarnation;
        readonly expectedEpoch: Epoch;
      }[];
    }
  | {
      readonly type: 'move-start';
      readonly moves: readonly { readonly shard: ShardId; readonly to: UpstreamId; readonly epoch: Epoch }[];
    }
  /** The owner at `epoch` has released the shard permanently. */
  | {
      readonly type: 'shard-release';
      readonly releases: readonly { readonly shard: ShardId; readonly epoch: Epoch }[];
    }
  | { readonly type: 'move-cancel'; readonly shard: ShardId; readonly epoch: Epoch }
  | {
      readonly type: 'range-update';
      readonly service: ServiceName;
      readonly updates: readonly RangeUpdate[];
    }
  /** No upstream can hold the ranges of `service` any more that were retired at `retiredAt`. */
  | { readonly type: 'ranges-forget'; readonly service: ServiceName; readonly retiredAt: Revision }
  /** Removes announced upstreams that have ended permanently. */
  | { readonly type: 'upstream-forget'; readonly upstreams: readonly UpstreamId[] };

/** Every command that a log entry can hold. */
export type Command =
  | OperatorCommand
  | EvacuationCommand
  | DeclarationChange
  | AnnouncementCommand
  | LeaderCommand
  | CrashCommand
  | ClaimCommand
  | SettleCommand;

/** The content of a log entry of kind `command`, as JSON. */
export interface CommandEnvelope {
  /** Request id set by the operator, for the dedup table; `null` for commands of the system itself. */
  readonly requestId: string | null;
  /** Originator of the command, for the audit log. */
  readonly actor: string;
  /** The leader's wall clock when it proposed the entry. */
  readonly at: WallMillis;
  readonly command: Command;
}

/** The result of a command, identical on every replica. */
export type CommandResult =
  | { readonly type: 'accepted'; readonly revision: Revision }
  /** The compare-and-set failed; `current` is the current revision (0: the object doesn't exist). */
  | { readonly type: 'conflict'; readonly current: Revision }
  | { readonly type: 'invalid'; readonly message: string }
  | { readonly type: 'not-found' }
  | { readonly type: 'claim'; readonly result: ClaimResult };

/** The new record of an object that changed, for routers and the leader's own tasks; `null`: it was removed. */
export type RegistryChange =
  | { readonly type: 'service'; readonly name: ServiceName; readonly record: ServiceRecord | null }
  | { readonly type: 'upstream'; readonly id: UpstreamId; readonly record: UpstreamRecord | null }
  | { readonly type: 'shard'; readonly shard: ShardId; readonly record: ShardRecord | null }
  | { readonly type: 'route'; readonly name: string; readonly record: RouteRecord | null }
  | { readonly type: 'declaration'; readonly record: DeclarationRecord | null }
  /** The range that starts at `from`; `null`: no range starts there any more. */
  | {
      readonly type: 'range';
      readonly service: ServiceName;
      readonly from: number;
      readonly record: KeyRange | null;
    }
  | {
      readonly type: 'suspect';
      readonly fingerprint: RequestFingerprint;
      readonly record: CrashSuspect | null;
    }
  | { readonly type: 'evacuation'; readonly zone: Zone; readonly record: EvacuationRecord | null };

/** The declared document as it was sent. */
export interface DeclaredDocument {
  readonly version: number;
  readonly routes: readonly unknown[];
  readonly services: readonly unknown[];
  readonly limits: unknown;
}

/** All registry data that a router needs; sent as a whole or as a delta. */
export interface RoutingSnapshot {
  readonly revision: Revision;
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly shards: readonly ShardRecord[];
  readonly routes: readonly RouteRecord[];
  /** `null`: no document has been declared. */
  readonly declaration: DeclarationRecord | null;
  readonly ranges: readonly KeyRange[];
  /** Requests during which upstreams crashed; left out: none. */
  readonly suspects?: readonly CrashSuspect[];
  /** Zones under evacuation; left out: none. */
  readonly evacuations?: readonly EvacuationRecord[];
}

/** Changes that turn the routing data of revision `from` into those of `to`. */
export interface RoutingDelta {
  readonly from: Revision;
  readonly to: Revision;
  readonly changes: readonly RegistryChange[];
}

/** Writes one snapshot in slices. */
export interface RegistrySnapshotEncoder {
  /** Revision of the state being written. */
  readonly revision: Revision;
  /** Writes the next slice. Returns the whole snapshot after the last slice, `null` before. */
  step(): Uint8Array | null;
}

/** What an entry did. */
export interface AppliedEntry {
  readonly result: CommandResult;
  readonly changes: readonly RegistryChange[];
  /** Why the entry was given up, which no entry should cause; its changes up to there stand on every replica. */
  readonly fault?: Error;
}

/** The state machine. It is deterministic: the same entries give the same state and results on every replica. */
export interface Registry {
  /** Revision of the last entry applied. */
  readonly revision: Revision;
  /** Applies an entry; throws for no content of it. */
  apply(index: Revision, envelope: CommandEnvelope): AppliedEntry;
  /** Entries that carry no command still advance the revision. */
  advance(index: Revision): void;
  /** Number of records of all kinds. */
  readonly recordCount: number;
  /** Returns a snapshot of the whole state, written in one go. */
  encode(): Uint8Array;
  /** Starts a snapshot of the current state that is written in slices; the state may change meanwhile. */
  beginEncode(): RegistrySnapshotEncoder;
  services(): ReadonlyMap<ServiceName, ServiceRecord>;
  upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord>;
  shards(): ReadonlyMap<ShardId, ShardRecord>;
  /** Shards that this upstream owns, including retired ones. */
  shardsOwnedBy(upstream: UpstreamId): ReadonlySet<ShardId>;
  /** Shards with a planned move to this upstream. */
  shardsMovingTo(upstream: UpstreamId): ReadonlySet<ShardId>;
  /** Shards of the service's current generation without an owner, including shards that were never granted. */
  unownedShards(service: ServiceName): ReadonlySet<ShardId>;
  /** Shards of older generations that still have an owner. While any exists, no shard of the service is granted. */
  retiredOwnedShards(service: ServiceName): ReadonlySet<ShardId>;
  ledgerRecord(service: ServiceName, key: string): LedgerRecord | undefined;
  /** Sorted ranges of a service with numeric keys; empty for any other service. */
  ranges(service: ServiceName): readonly KeyRange[];
  /** Whether a command with this request id was applied, whose result a resent one gets. */
  wasApplied(requestId: string): boolean;
  /** Services for which `ranges` returns any. */
  rangedServices(): Iterable<ServiceName>;
  /** Ranges of removed services that upstreams may still hold, by service. */
  retiredRanges(): ReadonlyMap<ServiceName, RetiredRanges>;
  /** Requests during which upstreams crashed. */
  suspects(): readonly CrashSuspect[];
  /** Number of suspects, without copying them. */
  readonly suspectCount: number;
  suspect(fingerprint: RequestFingerprint): CrashSuspect | undefined;
  /** Zones under evacuation. */
  evacuations(): readonly EvacuationRecord[];
  /** Whether an upstream must get no new work: it is leaving, or its zone is under evacuation. */
  isLeaving(definition: UpstreamDefinition): boolean;
  /** Whether this run of an upstream announced itself and has ended permanently. `born` is left out if the run doesn't report it. */
  isDeparted(upstream: UpstreamId, born?: WallMillis): boolean;
  /** `null`: no document has been declared. */
  declaredDocument(): DeclaredDocument | null;
  routingSnapshot(): RoutingSnapshot;
  /** Changes after `from`, or `undefined` if some of them are no longer kept. */
  routingDelta(from: Revision): RoutingDelta | undefined;
}
