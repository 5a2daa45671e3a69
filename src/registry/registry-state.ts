/** The replicated state, and the transaction through which all data sent to routers is changed. */
import { Ledger } from '../ledger/index.js';
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { DeclarationRecord, RouteRecord } from '../model/declaration.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, ServiceName, ShardId, UpstreamId, WallMillis, Zone } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import { ChangeRing } from './change-ring.js';
import { DeclaredState } from './declaration/declared-state.js';
import { DedupTable } from './dedup-table.js';
import { DepartedUpstreams } from './departed-upstreams.js';
import { RangeTable } from './range-table.js';
import { ShardTable } from './shard-table.js';
import { SuspectTable } from './suspect-table.js';
import type { RegistryChange, RoutingSnapshot, ServiceRecord, ShardRecord, UpstreamRecord } from './types.js';

export class RegistryState {
  /** Revision of the last entry applied. */
  revision: Revision = 0;
  /** Largest wall clock of any applied entry. It never goes back, even if a new leader's clock is behind. */
  clock: WallMillis = 0;
  /** Value of `clock` when expired entries were last removed. */
  sweptAt: WallMillis = 0;
  readonly services = new Map<ServiceName, ServiceRecord>();
  readonly upstreams = new Map<UpstreamId, UpstreamRecord>();
  readonly shards = new ShardTable();
  readonly ranges = new RangeTable();
  readonly departed = new DepartedUpstreams();
  readonly suspects = new SuspectTable();
  /** Zones under evacuation. */
  readonly evacuations = new Map<Zone, EvacuationRecord>();
  declared = new DeclaredState();
  /** Cached routing data; `null` after a change to it. */
  routing: Omit<RoutingSnapshot, 'revision'> | null = null;

  constructor(
    readonly ledger: Ledger = new Ledger(),
    readonly dedup: DedupTable = new DedupTable(),
    readonly recent: ChangeRing = new ChangeRing(0),
  ) {}

  /** Whether an upstream must get no new work: it is leaving, or its zone is under evacuation. */
  isLeaving({ leaving, zone }: UpstreamDefinition): boolean {
    return leaving || this.evacuations.has(zone);
  }
}

/** The application of one log entry. It makes the changes and collects them for routers. */
export class Transaction {
  readonly changes: RegistryChange[] = [];

  constructor(
    readonly state: RegistryState,
    /** Index of the log entry. */
    readonly revision: Revision,
  ) {}

  putService(name: ServiceName, record: ServiceRecord | null): void {
    if (record === null) {
      this.state.services.delete(name);
    } else {
      this.state.services.set(name, record);
    }
    this.note({ type: 'service', name, record });
  }

  putUpstream(id: UpstreamId, record: UpstreamRecord | null): void {
    if (record === null) {
      this.state.upstreams.delete(id);
    } else {
      this.state.upstreams.set(id, record);
    }
    this.note({ type: 'upstream', id, record });
  }

  putShard(shard: ShardId, record: ShardRecord | null): void {
    this.state.shards.put(shard, record);
    this.note({ type: 'shard', shard, record });
  }

  putRoute(name: string, record: RouteRecord | null): void {
    if (record === null) {
      this.state.declared.routes.delete(name);
    } else {
      this.state.declared.routes.set(name, record);
    }
    this.note({ type: 'route', name, record });
  }

  putDeclaration(record: DeclarationRecord): void {
    this.state.declared.record = record;
    this.note({ type: 'declaration', record });
  }

  putSuspect(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
    this.state.suspects.put(fingerprint, record);
    this.note({ type: 'suspect', fingerprint, record });
  }

  putEvacuation(zone: Zone, record: EvacuationRecord | null): void {
    if (record === null) {
      this.state.evacuations.delete(zone);
    } else {
      this.state.evacuations.set(zone, record);
    }
    this.note({ type: 'evacuation', zone, record });
  }

  /** Collects changes that were already made to the state, e.g. by the range table. */
  noteAll(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      this.note(change);
    }
  }

  private note(change: RegistryChange): void {
    this.state.routing = null;
    this.changes.push(change);
  }
}
