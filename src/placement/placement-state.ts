/** Servers and shards of one service with sums of load that are kept up with each change. */
import type { MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { LoadSpread, PlacementServer, PlacementShard } from './types.js';

/** Each shard counts for at least this share of the mean shard, so that idle shards are spread too. */
const FLOOR_SHARE = 0.02;
/** Part of its capacity that a cold server counts with. */
const COLD_SHARE = 0.5;

/** A server with what is placed on it: shards that it owns and keeps, and shards that move to it. */
export interface ServerEntry {
  server: PlacementServer;
  readonly shards: Set<ShardEntry>;
  /** Sum of the loads of `shards`. */
  load: number;
  /** Number of shards that are on their way to it. */
  arriving: number;
  /** Place among servers of equal load; neighbours are of different zones. */
  rank: number;
}

/** A shard and where it is placed. */
export interface ShardEntry {
  readonly id: ShardId;
  readonly keyspace: string;
  load: number;
  owner: UpstreamId | null;
  target: UpstreamId | null;
  /** Server whose load it counts to; `undefined`: it is placed nowhere. */
  holder: ServerEntry | undefined;
  /** When it was last moved for the sake of balance. */
  balancedAt: MonotonicMillis;
}

export class PlacementState {
  readonly servers = new Map<UpstreamId, ServerEntry>();
  readonly shards = new Map<ShardId, ShardEntry>();
  /** Shards without an owner and without a move under way, by keyspace. */
  readonly unplaced = new Map<string, Set<ShardEntry>>();
  /** Shards whose owner must give them up and which don't move yet. */
  readonly misplaced = new Set<ShardEntry>();
  /** What every shard counts for at least. */
  leastLoad = 0;
  #totalLoad = 0;
  /** Shard of the largest load; `undefined`: to be looked for. */
  #hottest: ShardEntry | undefined;
  #ranksAreOld = false;

  setServer(server: PlacementServer): void {
    const known = this.servers.get(server.id);
    if (known === undefined) {
      this.servers.set(server.id, { server, shards: new Set(), load: 0, arriving: 0, rank: 0 });
      this.#ranksAreOld = true;
      return;
    }
    this.#ranksAreOld ||= known.server.zone !== server.zone;
    known.server = server;
    for (const entry of known.shards) {
      this.#index(entry);
    }
  }

  /** Shards that were placed on it are placed nowhere until `setShard` says otherwise. */
  removeServer(id: UpstreamId): void {
    const known = this.servers.get(id);
    if (known === undefined) {
      return;
    }
    for (const entry of [...known.shards]) {
      this.#place(entry, undefined);
      this.#index(entry);
    }
    this.servers.delete(id);
    this.#ranksAreOld = true;
  }

  setShard({ shard, keyspace, load, owner, target }: PlacementShard): void {
    const entry = this.shards.get(shard) ?? this.#addShard(shard, keyspace);
    this.#place(entry, undefined);
    entry.owner = owner;
    this.#changeLoad(entry, load);
    this.#moveTo(entry, owner === target || owner === null ? null : target);
    if (owner === null) {
      entry.target = target;
    }
    this.#index(entry);
  }

  setLoad(shard: ShardId, load: number): void {
    const entry = this.shards.get(shard);
    if (entry !== undefined) {
      this.#changeLoad(entry, load);
    }
  }

  removeShard(shard: ShardId): void {
    const entry = this.shards.get(shard);
    if (entry === undefined) {
      return;
    }
    this.#place(entry, undefined);
    this.#changeLoad(entry, 0);
    this.#unplacedOf(entry.keyspace).delete(entry);
    this.misplaced.delete(entry);
    this.shards.delete(shard);
    if (this.#hottest === entry) {
      this.#hottest = undefined;
    }
  }

  /** Notes that a shard is on its way to a server. */
  begin(entry: ShardEntry, to: ServerEntry): void {
    this.#place(entry, undefined);
    this.#moveTo(entry, to.server.id);
    this.#index(entry);
  }

  /** What a shard without any load counts for. */
  floor(): number {
    const share = (this.#totalLoad / Math.max(1, this.shards.size)) * FLOOR_SHARE;
    const floor = Math.max(share, this.leastLoad);
    return floor > 0 ? floor : 1;
  }

  /** Servers that may take shards, in the order of their ranks. */
  takers(): ServerEntry[] {
    this.#rank();
    return [...this.servers.values()].filter(takesShards);
  }

  /** How the load is spread over the servers that may take shards; `null`: none of them, or next to no load. */
  spread(): LoadSpread | null {
    const loads = [...this.servers.values()].filter(takesShards).map(({ load }) => load);
    const sum = loads.reduce((total, load) => total + load, 0);
    if (sum <= this.leastLoad) {
      return null;
    }
    return { most: Math.max(...loads), mean: sum / loads.length, hottest: this.#hottestShard()?.load ?? 0 };
  }

  /** Loads mostly grow, so it is rarely looked for. */
  #hottestShard(): ShardEntry | undefined {
    if (this.#hottest !== undefined) {
      return this.#hottest;
    }
    let hottest: ShardEntry | undefined;
    for (const entry of this.shards.values()) {
      hottest = hottest === undefined || entry.load > hottest.load ? entry : hottest;
    }
    this.#hottest = hottest;
    return hottest;
  }

  #addShard(id: ShardId, keyspace: string): ShardEntry {
    const entry: ShardEntry = {
      id,
      keyspace,
      load: 0,
      owner: null,
      target: null,
      holder: undefined,
      balancedAt: Number.NEGATIVE_INFINITY,
    };
    this.shards.set(id, entry);
    return entry;
  }

  #changeLoad(entry: ShardEntry, load: number): void {
    const change = load - entry.load;
    entry.load = load;
    if (this.#hottest === entry && change < 0) {
      this.#hottest = undefined;
    } else if (this.#hottest !== undefined && load > this.#hottest.load) {
      this.#hottest = entry;
    }
    this.#totalLoad += change;
    if (entry.holder !== undefined) {
      entry.holder.load += change;
    }
  }

  #moveTo(entry: ShardEntry, target: UpstreamId | null): void {
    entry.target = target;
    this.#place(entry, this.servers.get(target ?? entry.owner ?? ''));
  }

  #place(entry: ShardEntry, holder: ServerEntry | undefined): void {
    const before = entry.holder;
    if (before !== undefined) {
      before.shards.delete(entry);
      before.load = before.shards.size === 0 ? 0 : before.load - entry.load;
      before.arriving -= Number(entry.target !== null);
    }
    entry.holder = holder;
    if (holder !== undefined) {
      holder.shards.add(entry);
      holder.load += entry.load;
      holder.arriving += Number(entry.target !== null);
    }
  }

  #index(entry: ShardEntry): void {
    const { holder, owner, target } = entry;
    const unplaced = this.#unplacedOf(entry.keyspace);
    const isMisplaced = holder !== undefined && target === null && mustLeave(entry, holder);
    setMembership(unplaced, entry, owner === null && holder === undefined);
    setMembership(this.misplaced, entry, isMisplaced);
  }

  #unplacedOf(keyspace: string): Set<ShardEntry> {
    const known = this.unplaced.get(keyspace);
    if (known !== undefined) {
      return known;
    }
    const unplaced = new Set<ShardEntry>();
    this.unplaced.set(keyspace, unplaced);
    return unplaced;
  }

  /** Numbers the servers of each zone and takes the zones in turn. */
  #rank(): void {
    if (!this.#ranksAreOld) {
      return;
    }
    this.#ranksAreOld = false;
    const sorted = [...this.servers.values()].sort((left, right) =>
      compareText(left.server.id, right.server.id),
    );
    const zones = [...new Set(sorted.map(({ server }) => server.zone))].sort(compareText);
    const placeOfZone = new Map(zones.map((zone, place) => [zone, place]));
    const numbers = new Map<string, number>();
    for (const entry of sorted) {
      const { zone } = entry.server;
      const number = numbers.get(zone) ?? 0;
      numbers.set(zone, number + 1);
      entry.rank = number * zones.length + (placeOfZone.get(zone) ?? 0);
    }
  }
}

/** Load against capacity. `floor` is what each shard counts for beside its load. */
export function utilisation(entry: ServerEntry, floor: number): number {
  return (entry.load + floor * entry.shards.size) / capacityOf(entry);
}

/** Share of the load that the server should carry now. */
export function capacityOf({ server }: ServerEntry): number {
  return server.state === 'cold' ? server.capacity * COLD_SHARE : server.capacity;
}

/** Whether the declaration of the server lets it own shards of the keyspace. */
export function mayHold({ server }: ServerEntry, keyspace: string): boolean {
  return server.mayHold.length === 0 || server.mayHold.includes(keyspace);
}

/** Whether the server may be given more shards now. */
export function takesShards({ server }: ServerEntry): boolean {
  return server.state === 'ready' || server.state === 'cold';
}

/** Order of identifiers by code unit, the same on every machine. */
export function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}

function mustLeave(entry: ShardEntry, holder: ServerEntry): boolean {
  const { state } = holder.server;
  return state === 'draining' || (state !== 'lost' && !mayHold(holder, entry.keyspace));
}

function setMembership(set: Set<ShardEntry>, entry: ShardEntry, isMember: boolean): void {
  if (isMember) {
    set.add(entry);
  } else {
    set.delete(entry);
  }
}
