/** Decodes snapshots of the registry: compressed JSON parts, each prefixed with its length. */
import { gunzipSync } from 'node:zlib';
import { toError } from '../errors/ternmount-error.js';
import { type KeptRecord, Ledger, type LedgerState, type Tombstone } from '../ledger/index.js';
import type { CrashSuspect } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { KeyRange } from '../model/key-range.js';
import { decodeShardRows } from '../model/shard-rows.js';
import { ChangeRing } from './change-ring.js';
import { DeclaredState } from './declaration/declared-state.js';
import { type DedupEntry, DedupTable } from './dedup-table.js';
import type { DepartedEntry } from './departed-upstreams.js';
import { RegistrySnapshotError } from './errors.js';
import { RegistryState } from './registry-state.js';
import { LENGTH_BYTES, SnapshotEncoder } from './snapshot-encoder.js';
import { SNAPSHOT_VERSION, type SnapshotPart } from './snapshot-parts.js';
import type { RetiredRanges, ServiceRecord, ShardRecord, UpstreamRecord } from './types.js';
import { SERVICE_LIMITS } from './validation/validate-service.js';

type Head = Extract<SnapshotPart, { part: 'head' }>;
type ServiceLedgerDraft = LedgerState['services'][number] & {
  readonly ledger: { readonly records: KeptRecord[]; readonly tombstones: Tombstone[] };
};

/** Encodes a state in one go. */
export function encodeState(state: RegistryState): Uint8Array {
  const encoder = new SnapshotEncoder(state);
  let bytes = encoder.step();
  while (bytes === null) {
    bytes = encoder.step();
  }
  return bytes;
}

/** Decodes a state; throws `RegistrySnapshotError` if that isn't possible. */
export function decodeState(bytes: Uint8Array): RegistryState {
  const draft = new StateDraft();
  try {
    for (const part of readParts(bytes)) {
      draft.add(part);
    }
    return draft.build();
  } catch (thrown) {
    throw thrown instanceof RegistrySnapshotError
      ? thrown
      : new RegistrySnapshotError("the registry snapshot can't be decoded", toError(thrown));
  }
}

/** Reads the parts of a snapshot in order; errors of `zlib` and `JSON` pass through. */
export function* readParts(snapshot: Uint8Array): Generator<SnapshotPart> {
  const bytes = Buffer.from(snapshot.buffer, snapshot.byteOffset, snapshot.byteLength);
  for (let offset = 0; offset < bytes.length; ) {
    const start = offset + LENGTH_BYTES;
    const end = start + bytes.readUInt32BE(offset);
    yield JSON.parse(gunzipSync(bytes.subarray(start, end)).toString('utf8')) as SnapshotPart;
    offset = end;
  }
}

/** Builds a state from the parts of a snapshot. */
class StateDraft {
  #head: Head | undefined;
  #isComplete = false;
  readonly #services: ServiceRecord[] = [];
  readonly #upstreams: UpstreamRecord[] = [];
  readonly #shards: ShardRecord[] = [];
  readonly #names: string[] = [];
  readonly #ledgers: ServiceLedgerDraft[] = [];
  readonly #dedup: DedupEntry[] = [];
  #declared = new DeclaredState();
  readonly #departed: DepartedEntry[] = [];
  readonly #ranges: KeyRange[] = [];
  readonly #retired: RetiredRanges[] = [];
  readonly #suspects: CrashSuspect[] = [];
  readonly #evacuations: EvacuationRecord[] = [];

  add(part: SnapshotPart): void {
    switch (part.part) {
      case 'head':
        this.#begin(part);
        break;
      case 'services':
        this.#services.push(...part.services);
        break;
      case 'upstreams':
        this.#upstreams.push(...part.upstreams);
        break;
      case 'shards':
        this.#names.push(...part.names);
        this.#shards.push(...decodeShardRows(part.shards, this.#names));
        break;
      case 'declared':
        this.#declared = DeclaredState.fromImage(part.declared);
        break;
      case 'departed':
        this.#departed.push(...part.departed);
        break;
      case 'ranges':
        this.#ranges.push(...part.ranges);
        break;
      case 'retired-ranges':
        this.#retired.push(part.retired);
        break;
      case 'suspects':
        this.#suspects.push(...part.suspects);
        break;
      case 'evacuations':
        this.#evacuations.push(...part.evacuations);
        break;
      case 'ledger': {
        const { name, active, horizon, retentionMillis } = part;
        const ledger = { horizon, retentionMillis, records: [], tombstones: [] };
        this.#ledgers.push({ name, active, ledger });
        break;
      }
      case 'records':
        this.#ledgers.at(-1)?.ledger.records.push(...part.records);
        break;
      case 'tombstones':
        this.#ledgers.at(-1)?.ledger.tombstones.push(...part.tombstones);
        break;
      case 'dedup':
        this.#dedup.push(...part.dedup);
        break;
      case 'end':
        this.#isComplete = true;
        break;
    }
  }

  build(): RegistryState {
    const head = this.#head;
    if (head === undefined || !this.#isComplete) {
      throw new RegistrySnapshotError('the registry snapshot is incomplete');
    }
    const ledger = Ledger.fromState({ services: this.#ledgers });
    const state = new RegistryState(ledger, new DedupTable(this.#dedup), new ChangeRing(head.revision));
    state.revision = head.revision;
    state.clock = head.clock;
    state.sweptAt = head.sweptAt;
    for (const record of this.#services) {
      checkShardCounts(record);
      state.services.set(record.definition.name, record);
      state.shards.setKeyMap(record);
    }
    for (const record of this.#upstreams) {
      state.upstreams.set(record.definition.id, record);
    }
    for (const record of this.#shards) {
      state.shards.put(record.shard, record);
    }
    state.declared = this.#declared;
    state.ranges.restore(this.#ranges, this.#retired);
    for (const suspect of this.#suspects) {
      state.suspects.put(suspect.fingerprint, suspect);
    }
    for (const evacuation of this.#evacuations) {
      state.evacuations.set(evacuation.zone, evacuation);
    }
    for (const [upstream, revision, born] of this.#departed) {
      state.departed.add(upstream, revision, born);
    }
    return state;
  }

  #begin(head: Head): void {
    if (head.version !== SNAPSHOT_VERSION) {
      throw new RegistrySnapshotError(`version ${head.version} of the registry snapshot isn't supported`);
    }
    this.#head = head;
  }
}

/** An index of every shard is built, so a number that no service can have would take for ever. */
function checkShardCounts({ definition: { name, keyspaces } }: ServiceRecord): void {
  for (const { shards } of keyspaces) {
    if (!Number.isInteger(shards) || shards < 0 || shards > SERVICE_LIMITS.shards) {
      throw new RegistrySnapshotError(`service ${name} can't have ${shards} shards in a keyspace`);
    }
  }
}
