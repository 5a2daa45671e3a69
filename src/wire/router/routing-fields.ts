/**
 * Field types of routing snapshots and deltas: JSON, compressed if it is large, with shards as rows of numbers. What many routers are
 * sent is encoded once: the bytes are kept for as long as the registry gives the same lists.
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

/** The fastest; higher levels cost more time than the bytes they save are worth. */
const COMPRESSION_LEVEL = 1;
/** Smaller documents go as plain JSON: a stream of zlib costs each end more than their bytes. */
const COMPRESSED_FROM_BYTES = 2048;
/** No JSON text begins with it. */
const GZIP_FIRST_BYTE = 0x1f;
const NO_BYTES = new Uint8Array(0);

/** The parts of a configuration, or of what changed of it. Gone things are named by kind. */
interface RoutingDocument {
  readonly services: readonly ServiceRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly names: readonly string[];
  readonly shards: readonly ShardGroup[];
  readonly routes: readonly RouteRecord[];
  /** `undefined` in a delta: as before. */
  readonly declaration?: DeclarationRecord | null | undefined;
  readonly ranges: readonly KeyRange[];
  /** Left out: none. */
  readonly suspects?: readonly CrashSuspect[];
  /** Left out: none. */
  readonly evacuations?: readonly EvacuationRecord[];
  readonly gone: {
    readonly services: readonly string[];
    readonly upstreams: readonly string[];
    readonly shards: readonly string[];
    readonly routes: readonly string[];
    /** Service and first key. */
    readonly ranges: readonly (readonly [string, number])[];
    /** Left out: none. */
    readonly suspects?: readonly string[];
    /** Left out: none. */
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

/** A snapshot or nothing: its bytes after their length, which is 0 for nothing, and then its revision. */
class SnapshotField implements restructure.FieldType<RoutingSnapshot | null> {
  private readonly encoded = new WeakMap<
    readonly ShardRecord[],
    { of: RoutingSnapshot; bytes: Uint8Array }
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
    const known = this.encoded.get(snapshot.shards);
    if (known !== undefined && isSameContent(known.of, snapshot)) {
      return known.bytes;
    }
    const { revision: _revision, ...parts } = snapshot;
    const encoded = encodeDocument({ ...parts, gone: NOTHING_GONE });
    this.encoded.set(snapshot.shards, { of: snapshot, bytes: encoded });
    return encoded;
  }
}

/** Lists of a registry are the same arrays for as long as nothing of them changed. */
function isSameContent(one: RoutingSnapshot, other: RoutingSnapshot): boolean {
  const isSameDeclared = one.services === other.services && one.upstreams === other.upstreams;
  const isSameState = one.suspects === other.suspects && one.evacuations === other.evacuations;
  return isSameDeclared && one.ranges === other.ranges && isSameState;
}

/** A delta or nothing: its changes after their length, which is 0 for nothing, and then its two revisions. */
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
    const known = this.encoded.get(delta.changes);
    if (known !== undefined) {
      return known;
    }
    const encoded = encodeDocument(sortChanges(delta.changes));
    this.encoded.set(delta.changes, encoded);
    return encoded;
  }
}

interface RoutingParts extends Omit<RoutingDocument, 'names' | 'shards'> {
  readonly shards: readonly ShardRecord[];
}

function sortChanges(changes: readonly RegistryChange[]): RoutingParts {
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
        put(services, gone.services, change.record, change.name);
        break;
      case 'upstream':
        put(upstreams, gone.upstreams, change.record, change.id);
        break;
      case 'shard':
        put(shards, gone.shards, change.record, change.shard);
        break;
      case 'route':
        put(routes, gone.routes, change.record, change.name);
        break;
      case 'declaration':
        declaration = change.record;
        break;
      case 'range':
        put(ranges, gone.ranges, change.record, [change.service, change.from] as const);
        break;
      case 'suspect':
        put(suspects, gone.suspects, change.record, change.fingerprint);
        break;
      case 'evacuation':
        put(evacuations, gone.evacuations, change.record, change.zone);
        break;
    }
  }
  return { services, upstreams, shards, routes, declaration, ranges, suspects, evacuations, gone };
}

function put<Item, Name>(records: Item[], gone: Name[], record: Item | null, name: Name): void {
  if (record === null) {
    gone.push(name);
  } else {
    records.push(record);
  }
}

/** What is gone first, then services before their upstreams before shards, as in a router's own comparison. */
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
    throw new MalformedFrameError('configuration is no JSON, compressed or plain', toError(thrown));
  }
}

export const routingSnapshotField: restructure.FieldType<RoutingSnapshot | null> = new SnapshotField();
export const routingDeltaField: restructure.FieldType<RoutingDelta | null> = new DeltaField();
/** A delta that is always there. */
export const routingDeltaOnlyField: restructure.FieldType<RoutingDelta> = {
  size: (value) => routingDeltaField.size(value),
  encode: (stream, value) => routingDeltaField.encode(stream, value),
  decode: (stream) => {
    const delta = routingDeltaField.decode(stream);
    if (delta === null) {
      throw new MalformedFrameError('news without changes');
    }
    return delta;
  },
};
