/** The replicated state machine: what operators declared, who owns each shard, the ledger and the dedup table. */
import type { ClaimCommand, ClaimResult, LedgerRecord, SettleCommand } from '../ledger/types.js';
import type {
  ClearedSuspect,
  CrashSuspect,
  QuarantineTerms,
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
import type { PolicyRule, ServiceDefinition, UpstreamDefinition } from '../model/service.js';

/** A declared service. */
export interface ServiceRecord {
  readonly definition: ServiceDefinition;
  /** Revision of the last change to it. */
  readonly revision: Revision;
  /** Revision at which keyspaces last changed; part of the names of its shards. */
  readonly generation: Revision;
}

/** A declared upstream and its session. */
export interface UpstreamRecord {
  readonly definition: UpstreamDefinition;
  /** Revision of the last change to the definition; sessions don't change it. */
  readonly revision: Revision;
  /** Incarnation which holds the session; `null` before the first and after its lease ended. */
  readonly incarnation: Incarnation | null;
}

/** Where a shard stands. Absent records mean `unowned`, never granted. */
export interface ShardRecord {
  readonly shard: ShardId;
  readonly owner: UpstreamId | null;
  readonly incarnation: Incarnation | null;
  readonly epoch: Epoch;
  /** Planned move under way: the owner gives up, then `target` is granted. */
  readonly movingTo: UpstreamId | null;
  readonly revision: Revision;
}

/** Changes asked for by operators. `expected` is the revision of the thing as the operator saw it; 0: must not exist; `null`: any. */
export type OperatorCommand =
  | {
      readonly type: 'service-apply';
      readonly definition: ServiceDefinition;
      readonly expected: Revision | null;
    }
  | { readonly type: 'service-delete'; readonly service: ServiceName; readonly expected: Revision | null }
  /** Changes the policy of a service and nothing else of it. */
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
  /** Changes whether an upstream is leaving and nothing else of it. */
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
  /** Lets a request pass again under which upstreams ended. */
  | {
      readonly type: 'quarantine-release';
      readonly fingerprint: RequestFingerprint;
      readonly expected: Revision | null;
    };

/**
 * Operators' orders that the upstreams of a zone get nothing new, and that they may again. One that stands already changes nothing, so
 * each may be sent again.
 */
export type EvacuationCommand =
  | { readonly type: 'evacuation-start'; readonly zone: Zone }
  | { readonly type: 'evacuation-end'; readonly zone: Zone };

/** A change of the declared document as its sender wrote it; items are checked when the change is applied. */
export interface DeclarationChange {
  readonly type: 'declaration-apply';
  /** Version that the change makes. */
  readonly version: number;
  /** Version that it builds on; 0: there is none yet. */
  readonly expected: number;
  /** `whole`: what isn't listed goes. `partial`: items are added or replaced by name. */
  readonly extent: 'whole' | 'partial';
  readonly routes: readonly unknown[];
  readonly services: readonly unknown[];
  /** `null`: as before. */
  readonly limits: unknown;
  readonly removedRoutes: readonly string[];
  readonly removedServices: readonly string[];
}

/** What routers report of requests under which upstreams ended, and what time makes of it. The terms are the leader's. */
export type CrashCommand =
  | {
      readonly type: 'crashes-note';
      readonly crashes: readonly UpstreamCrash[];
      readonly terms: QuarantineTerms;
    }
  | { readonly type: 'suspects-clear'; readonly cleared: readonly ClearedSuspect[] }
  | { readonly type: 'suspects-expire'; readonly terms: QuarantineTerms };

/** What upstreams say of themselves. */
export type AnnouncementCommand =
  /** An upstream is there, or says that it leaves. */
  | { readonly type: 'upstream-announce'; readonly definition: UpstreamDefinition }
  /** It will end; its id won't come back, but for a run that says that it was born later. `born`: left out if it doesn't say. */
  | { readonly type: 'upstream-withdraw'; readonly upstream: UpstreamId; readonly born?: WallMillis };

/** New owners of ranges of one service's keys. Each update applies only if its span lies in a range with that fence. */
export interface RangeUpdate {
  readonly from: number;
  readonly to: number;
  readonly expectedFence: Epoch;
  readonly owner: UpstreamId | null;
  readonly former: UpstreamId | null;
}

/** Changes that the leader itself makes. Each names what it relies on, so a stale one changes nothing. */
export type LeaderCommand =
  /** A new incarnation was seen: the session and all grants of the one before are void (its lease ended or it said so itself). */
  | {
      readonly type: 'session-open';
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly previous: Incarnation | null;
    }
  /** The lease of this incarnation has ended; its shards are unowned. */
  | { readonly type: 'session-end'; readonly upstream: UpstreamId; readonly incarnation: Incarnation }
  /** Grants for many shards at once; each applies only if the shard is unowned and at `expectedEpoch`. */
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
  /** The owner at `epoch` gave the shard up for good. */
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
  /** Upstreams that announced themselves are gone for good. */
  | { readonly type: 'upstream-forget'; readonly upstreams: readonly UpstreamId[] };

/** Every command that a log entry may hold. */
export type Command =
  | OperatorCommand
  | EvacuationCommand
  | DeclarationChange
  | AnnouncementCommand
  | LeaderCommand
  | CrashCommand
  | ClaimCommand
  | SettleCommand;

/** What a log entry of kind `command` holds, as JSON. */
export interface CommandEnvelope {
  /** Operators' id of the request, for the dedup table; `null` for the system's own. */
  readonly requestId: string | null;
  /** Who asked, for the audit log. */
  readonly actor: string;
  /** The leader's wall clock when it proposed. */
  readonly at: WallMillis;
  readonly command: Command;
}

/** What the registry made of a command, the same on every replica. */
export type CommandResult =
  | { readonly type: 'accepted'; readonly revision: Revision }
  /** Compare-and-set lost; `current` is the revision now (0: doesn't exist). */
  | { readonly type: 'conflict'; readonly current: Revision }
  | { readonly type: 'invalid'; readonly message: string }
  | { readonly type: 'not-found' }
  | { readonly type: 'claim'; readonly result: ClaimResult };

/** A thing that changed, as routers and the leader's own tasks see it. */
export type RegistryChange =
  | { readonly type: 'service'; readonly name: ServiceName; readonly record: ServiceRecord | null }
  | { readonly type: 'upstream'; readonly id: UpstreamId; readonly record: UpstreamRecord | null }
  | { readonly type: 'shard'; readonly shard: ShardId; readonly record: ShardRecord | null }
  | { readonly type: 'route'; readonly name: string; readonly record: RouteRecord | null }
  | { readonly type: 'declaration'; readonly record: DeclarationRecord | null }
  /** The range that begins at `from`; `null`: none begins there any more. */
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

/** The declared document as its senders wrote it. */
export interface DeclaredDocument {
  readonly version: number;
  readonly routes: readonly unknown[];
  readonly services: readonly unknown[];
  readonly limits: unknown;
}

/** Everything a router needs; sent whole or as changes. */
export interface RoutingSnapshot {
  readonly revision: Revision;
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly shards: readonly ShardRecord[];
  readonly routes: readonly RouteRecord[];
  /** `null`: nothing was declared as one document. */
  readonly declaration: DeclarationRecord | null;
  readonly ranges: readonly KeyRange[];
  /** Requests under which upstreams ended; left out: none. */
  readonly suspects?: readonly CrashSuspect[];
  /** Zones out of use; left out: none. */
  readonly evacuations?: readonly EvacuationRecord[];
}

/** Changes that turn the routing data of revision `from` into those of `to`. */
export interface RoutingDelta {
  readonly from: Revision;
  readonly to: Revision;
  readonly changes: readonly RegistryChange[];
}

/** Writes one snapshot. */
export interface RegistrySnapshotEncoder {
  /** Revision of the state that is written. */
  readonly revision: Revision;
  /** Writes the next slice. Gives the whole snapshot once it is done, `null` before. */
  step(): Uint8Array | null;
}

/** The state machine. Deterministic: the same entries give the same state and results on every replica. */
export interface Registry {
  /** Revision of the last entry applied. */
  readonly revision: Revision;
  apply(
    index: Revision,
    envelope: CommandEnvelope,
  ): { readonly result: CommandResult; readonly changes: readonly RegistryChange[] };
  /** Entries that carry no command still advance the revision. */
  advance(index: Revision): void;
  /** Records held of every kind. */
  readonly recordCount: number;
  /** A snapshot of the whole state, written at once. */
  encode(): Uint8Array;
  /** A snapshot of the state as it is now, written in slices; the state may change meanwhile. */
  beginEncode(): RegistrySnapshotEncoder;
  services(): ReadonlyMap<ServiceName, ServiceRecord>;
  upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord>;
  shards(): ReadonlyMap<ShardId, ShardRecord>;
  /** Shards that this upstream owns, retired ones included. */
  shardsOwnedBy(upstream: UpstreamId): ReadonlySet<ShardId>;
  /** Shards with a planned move to this upstream. */
  shardsMovingTo(upstream: UpstreamId): ReadonlySet<ShardId>;
  /** Shards of the service's current generation without an owner; those never granted included. */
  unownedShards(service: ServiceName): ReadonlySet<ShardId>;
  /** Shards of older generations that still have an owner. While there is one, no shard of the service is granted. */
  retiredOwned(service: ServiceName): ReadonlySet<ShardId>;
  ledgerRecord(service: ServiceName, key: string): LedgerRecord | undefined;
  /** Ranges of a service whose keys are numbers, sorted; empty for any other. */
  ranges(service: ServiceName): readonly KeyRange[];
  /** Requests under which upstreams ended. */
  suspects(): readonly CrashSuspect[];
  /** How many they are, without a copy. */
  readonly suspectCount: number;
  suspect(fingerprint: RequestFingerprint): CrashSuspect | undefined;
  /** Zones out of use. */
  evacuations(): readonly EvacuationRecord[];
  /** Whether an upstream is to get nothing new: it leaves, or its zone is out of use. */
  isLeaving(definition: UpstreamDefinition): boolean;
  /** Whether this run of an upstream announced itself once and is gone for good. `born`: left out if it doesn't say. */
  isDeparted(upstream: UpstreamId, born?: WallMillis): boolean;
  /** `null`: nothing was declared as one document. */
  declaredDocument(): DeclaredDocument | null;
  routingSnapshot(): RoutingSnapshot;
  /** Changes after `from`, or `undefined` if that is too long ago. */
  routingDelta(from: Revision): RoutingDelta | undefined;
}
