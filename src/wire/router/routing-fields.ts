/**
 * Field types of routing snapshots and deltas: JSON, compressed if it is large, with shards as rows of numbers. Data sent to many
 * routers is encoded once: the bytes are cached while the registry returns the same lists.
 */
import { gunzipSync, gzipSync } from 'node:zlib';
import type * as restructure from 'restructure';
import { toError } from '../../errors/ternmount-error.js';
import type { CrashSuspect } from '../../model/crash-suspect.js';
import type { DeclarationRecord, RouteRecord } from '../../model/declaration.js';
import type { EvacuationRecord } from '../../model/evacuation.js';
import type { KeyRange } from '../../model/key-range.js';
import { decodeShardRows, encodeShardRows, NameTable, type ShardGroup } from '../../model/shard-rows.js';
import type {
  RegistryChange,
  RoutingDelta,
  RoutingSnapshot,
  ServiceRecord,
  ShardRecord,
  UpstreamRecord,
} from '../../registry/types.js';
import { bytes, safeInteger } from '../fields.js';
import { MalformedFrameError } from '../wire-error.js';

/** The fastest level; the savings of higher levels are not worth their time. */
const COMPRESSION_LEVEL = 1;
/** Smaller documents are sent as plain JSON, since a zlib stream costs each end more than it saves. */
const COMPRESSED_FROM_BYTES = 2048;
/** First byte of gzip data; no JSON text starts with it. */
const GZIP_FIRST_BYTE = 0x1f;
const NO_BYTES = new Uint8Array(0);

/** A configuration, or the changes of one. Removed records are listed by kind in `gone`. */
interface RoutingDocument {
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly names: readonly string[];
  readonly shards: readonly ShardGroup[];
  readonly routes: readonly RouteRecord[];
  /** `undefined` in a delta if unchanged. */
  readonly declaration?: DeclarationRecord | null | undefined;
  readonly ranges: readonly KeyRange[];
  /** Omitted if there are none. */
  readonly suspects?: readonly CrashSuspect[];
  /** Omitted if there are none. */
  readonly evacuations?: readonly EvacuationRecord[];
  readonly gone: {
    readonly services: readonly string[];
    readonly upstreams: readonly string[];
    readonly shards: readonly string[];
    readonly routes: readonly string[];
    /** Service and first key. */
    readonly ranges: readonly (readonly [string, number])[];
    /** Omitted if there are none. */
    readonly suspects?: readonly string[];
    /** Omitted if there are none. */
    readonly evacuations?: readonly string[];
  };
}

const NOTHING_GONE: RoutingDocument['gone'] = {
  services: [],
  upstreams: [],
  shards: [],
  routes: [],
  ranges: [],
};

/** A snapshot or `null`: length (0 for `null`), document, and then the revision. */
class SnapshotField implements restructure.FieldType<RoutingSnapshot | null> {
  private readonly encoded = new WeakMap<
    readonly ShardRecord[],
    { snapshot: RoutingSnapshot; bytes: Uint8Array }
  >();

  size(value: RoutingSnapshot | null): number {
    const revisionBytes = value === null ? 0 : safeInteger.size(value.revision);
    return bytes.size(this.bytesOf(value)) + revisionBytes;
  }

  decode(stream: restructure.DecodeStream): RoutingSnapshot | null {
    const content = bytes.decode(stream);
    if (content.length === 0) {
      return null;
    }
    const document = decodeDocument(content);
    const { services, upstreams, names, shards, routes, declaration, ranges } = document;
    const { suspects = [], evacuations } = document;
    const revision = safeInteger.decode(stream);
    const records = [...decodeShardRows(shards, names)];
    return {
      revision,
      services,
      upstreams,
      shards: records,
      routes,
      declaration: declaration ?? null,
      ranges,
      suspects,
      ...(evacuations !== undefined && { evacuations }),
    };
  }

  encode(stream: restructure.EncodeStream, value: RoutingSnapshot | null): void {
    bytes.encode(stream, this.bytesOf(value));
    if (value !== null) {
      safeInteger.encode(stream, value.revision);
    }
  }

  private bytesOf(snapshot: RoutingSnapshot | null): Uint8Array {
    if (snapshot === null) {
      return NO_BYTES;
    }
    const cached = this.encoded.get(snapshot.shards);
    if (cached !== undefined && isSameContent(cached.snapshot, snapshot)) {
      return cached.bytes;
    }
    const { revision: _revision, ...parts } = snapshot;
    const encoded = encodeDocument({ ...parts, gone: NOTHING_GONE });
    this.encoded.set(snapshot.shards, { snapshot, bytes: encoded });
    return encoded;
  }
}

/** Compares lists by identity: a registry returns the same array for a list until the list changes. */
function isSameContent(one: RoutingSnapshot, other: RoutingSnapshot): boolean {
  const isSameDeclared = one.services === other.services && one.upstreams === other.upstreams;
  const isSameState = one.suspects === other.suspects && one.evacuations === other.evacuations;
  return isSameDeclared && one.ranges === other.ranges && isSameState;
}

/** A delta or `null`: length (0 for `null`), changes, and then both revisions. */
class DeltaField implements restructure.FieldType<RoutingDelta | null> {
  private readonly encoded = new WeakMap<readonly RegistryChange[], Uint8Array>();

  size(value: RoutingDelta | null): number {
    const revisionBytes = value === null ? 0 : safeInteger.size(value.from) + safeInteger.size(value.to);
    return bytes.size(this.bytesOf(value)) + revisionBytes;
  }

  decode(stream: restructure.DecodeStream): RoutingDelta | null {
    const content = bytes.decode(stream);
    if (content.length === 0) {
      return null;
    }
    const from = safeInteger.decode(stream);
    const to = safeInteger.decode(stream);
    return { from, to, changes: changesOf(decodeDocument(content)) };
  }

  encode(stream: restructure.EncodeStream, value: RoutingDelta | null): void {
    bytes.encode(stream, this.bytesOf(value));
    if (value !== null) {
      safeInteger.encode(stream, value.from);
      safeInteger.encode(stream, value.to);
    }
  }

  private bytesOf(delta: RoutingDelta | null): Uint8Array {
    if (delta === null) {
      return NO_BYTES;
    }
    const cached = this.encoded.get(delta.changes);
    if (cached !== undefined) {
      return cached;
    }
    const encoded = encodeDocument(groupChanges(delta.changes));
    this.encoded.set(delta.changes, encoded);
    return encoded;
  }
}

interface RoutingParts extends Omit<RoutingDocument, 'names' | 'shards'> {
  readonly shards: readonly ShardRecord[];
}

function groupChanges(changes: readonly RegistryChange[]): RoutingParts {
  const services: ServiceRecord[] = [];
  const upstreams: UpstreamRecord[] = [];
  const shards: ShardRecord[] = [];
  const routes: RouteRecord[] = [];
  const ranges: KeyRange[] = [];
  const suspects: CrashSuspect[] = [];
  const evacuations: EvacuationRecord[] = [];
  let declaration: DeclarationRecord | null | undefined;
  const gone = {
    services: [] as string[],
    upstreams: [] as string[],
    shards: [] as string[],
    routes: [] as string[],
    ranges: [] as (readonly [string, number])[],
    suspects: [] as string[],
    evacuations: [] as string[],
  };
  for (const change of changes) {
    switch (change.type) {
      case 'service':
        addChange(services, gone.services, change.record, change.name);
        break;
      case 'upstream':
        addChange(upstreams, gone.upstreams, change.record, change.id);
        break;
      case 'shard':
        addChange(shards, gone.shards, change.record, change.shard);
        break;
      case 'route':
        addChange(routes, gone.routes, change.record, change.name);
        break;
      case 'declaration':
        declaration = change.record;
        break;
      case 'range':
        addChange(ranges, gone.ranges, change.record, [change.service, change.from] as const);
        break;
      case 'suspect':
        addChange(suspects, gone.suspects, change.record, change.fingerprint);
        break;
      case 'evacuation':
        addChange(evacuations, gone.evacuations, change.record, change.zone);
        break;
    }
  }
  return { services, upstreams, shards, routes, declaration, ranges, suspects, evacuations, gone };
}

function addChange<Item, Name>(records: Item[], gone: Name[], record: Item | null, name: Name): void {
  if (record === null) {
    gone.push(name);
  } else {
    records.push(record);
  }
}

/** Orders removals first, then services before upstreams before shards, the order in which a router compares them. */
function changesOf(document: RoutingDocument): RegistryChange[] {
  const { services, upstreams, names, shards, routes, declaration, ranges, gone } = document;
  const { suspects = [], evacuations = [] } = document;
  const changes: RegistryChange[] = [
    ...(gone.evacuations ?? []).map((zone): RegistryChange => ({ type: 'evacuation', zone, record: null })),
    ...evacuations.map((record): RegistryChange => ({ type: 'evacuation', zone: record.zone, record })),
    ...gone.services.map((name): RegistryChange => ({ type: 'service', name, record: null })),
    ...gone.upstreams.map((id): RegistryChange => ({ type: 'upstream', id, record: null })),
    ...gone.shards.map((shard): RegistryChange => ({ type: 'shard', shard, record: null })),
    ...gone.routes.map((name): RegistryChange => ({ type: 'route', name, record: null })),
    ...gone.ranges.map(([service, from]): RegistryChange => ({ type: 'range', service, from, record: null })),
    ...services.map((record): RegistryChange => ({ type: 'service', name: record.definition.name, record })),
    ...upstreams.map((record): RegistryChange => ({ type: 'upstream', id: record.definition.id, record })),
  ];
  for (const record of decodeShardRows(shards, names)) {
    changes.push({ type: 'shard', shard: record.shard, record });
  }
  for (const record of routes) {
    changes.push({ type: 'route', name: record.definition.name, record });
  }
  for (const record of ranges) {
    changes.push({ type: 'range', service: record.service, from: record.from, record });
  }
  for (const fingerprint of gone.suspects ?? []) {
    changes.push({ type: 'suspect', fingerprint, record: null });
  }
  for (const record of suspects) {
    changes.push({ type: 'suspect', fingerprint: record.fingerprint, record });
  }
  if (declaration !== undefined) {
    changes.push({ type: 'declaration', record: declaration });
  }
  return changes;
}

function encodeDocument({ shards, ...parts }: RoutingParts): Uint8Array {
  const table = new NameTable();
  const groups = encodeShardRows(shards, table);
  const document: RoutingDocument = { ...parts, names: table.names, shards: groups };
  const text = Buffer.from(JSON.stringify(document));
  return text.length < COMPRESSED_FROM_BYTES ? text : gzipSync(text, { level: COMPRESSION_LEVEL });
}

function decodeDocument(content: Uint8Array): RoutingDocument {
  try {
    const text = content[0] === GZIP_FIRST_BYTE ? gunzipSync(content) : Buffer.from(content);
    return JSON.parse(text.toString('utf8')) as RoutingDocument;
  } catch (thrown) {
    throw new MalformedFrameError('configuration is neither plain nor compressed JSON', toError(thrown));
  }
}

export const routingSnapshotField: restructure.FieldType<RoutingSnapshot | null> = new SnapshotField();
export const routingDeltaField: restructure.FieldType<RoutingDelta | null> = new DeltaField();
/** A delta that is never `null`. */
export const requiredRoutingDeltaField: restructure.FieldType<RoutingDelta> = {
  size: (value) => routingDeltaField.size(value),
  encode: (stream, value) => routingDeltaField.encode(stream, value),
  decode: (stream) => {
    const delta = routingDeltaField.decode(stream);
    if (delta === null) {
      throw new MalformedFrameError('update without changes');
    }
    return delta;
  },
};
