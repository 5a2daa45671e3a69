/** Servers and shards of one service, with load sums that are updated incrementally. */
import type { MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { LoadSpread, PlacementServer, PlacementShard } from './types.js';

/** Minimum load of each shard as a share of the mean shard, so that idle shards are spread too. */
const FLOOR_SHARE = 0.02;
/** Share of its capacity with which a cold server counts. */
const COLD_SHARE = 0.5;

/** A server with the shards placed on it: those that it owns and keeps, and those moving to it. */
export interface ServerEntry {
  server: PlacementServer;
  readonly shards: Set<ShardEntry>;
  /** Sum of the loads of `shards`. */
  load: number;
  /** Number of shards moving to it. */
  arriving: number;
  /** Order among servers of equal load; neighbours are in different zones. */
  rank: number;
}

/** A shard and its placement. */
export interface ShardEntry {
  readonly id: ShardId;
  readonly keyspace: string;
  load: number;
  owner: UpstreamId | null;
  target: UpstreamId | null;
  /** Server to whose load it counts; `undefined` if it isn't placed. */
  holder: ServerEntry | undefined;
  /** Time of its last balancing move. */
  balancedAt: MonotonicMillis;
}

export class PlacementState {
  readonly servers = new Map<UpstreamId, ServerEntry>();
  readonly shards = new Map<ShardId, ShardEntry>();
  /** Shards without an owner and without a move in progress, by keyspace. */
  readonly unplaced = new Map<string, Set<ShardEntry>>();
  /** Shards that must leave their owner and aren't moving yet. */
  readonly misplaced = new Set<ShardEntry>();
  /** Minimum load that each shard counts with. */
  minShardLoad = 0;
  #totalLoad = 0;
  /** Shard with the highest load; `undefined` if it has to be searched for again. */
  #hottest: ShardEntry | undefined;
  #areRanksStale = false;

  setServer(server: PlacementServer): void {
    const existing = this.servers.get(server.id);
    if (existing === undefined) {
      this.servers.set(server.id, { server, shards: new Set(), load: 0, arriving: 0, rank: 0 });
      this.#areRanksStale = true;
      return;
    }
    this.#areRanksStale ||= existing.server.zone !== server.zone;
    existing.server = server;
    for (const entry of existing.shards) {
      this.#index(entry);
    }
  }

  /** Removes a server. Its shards stay unplaced until `setShard` is called for them; those without an owner may be placed again at once. */
  removeServer(id: UpstreamId): void {
    const existing = this.servers.get(id);
    if (existing === undefined) {
      return;
    }
    for (const entry of [...existing.shards]) {
      this.#place(entry, undefined);
      this.#index(entry);
    }
    this.servers.delete(id);
    this.#areRanksStale = true;
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

  /** Records that a shard is moving to a server. */
  beginMove(entry: ShardEntry, to: ServerEntry): void {
    this.#place(entry, undefined);
    this.#moveTo(entry, to.server.id);
    this.#index(entry);
  }

  /** Returns the load that a shard counts with in addition to its own. */
  floor(): number {
    const share = (this.#totalLoad / Math.max(1, this.shards.size)) * FLOOR_SHARE;
    const floor = Math.max(share, this.minShardLoad);
    return floor > 0 ? floor : 1;
  }

  /** Returns the servers that accept shards, with up-to-date ranks. */
  eligibleServers(): ServerEntry[] {
    this.#rank();
    return [...this.servers.values()].filter(mayReceiveShards);
  }

  /** Returns the spread of the load over the servers that accept shards; `null` if there are none, or the load is negligible. */
  spread(): LoadSpread | null {
    const loads = [...this.servers.values()].filter(mayReceiveShards).map(({ load }) => load);
    const sum = loads.reduce((total, load) => total + load, 0);
    if (sum <= this.minShardLoad) {
      return null;
    }
    return { most: Math.max(...loads), mean: sum / loads.length, hottest: this.#hottestShard()?.load ?? 0 };
  }

  /** Loads mostly grow, so the search is rarely needed. */
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
    const existing = this.unplaced.get(keyspace);
    if (existing !== undefined) {
      return existing;
    }
    const unplaced = new Set<ShardEntry>();
    this.unplaced.set(keyspace, unplaced);
    return unplaced;
  }

  /** Numbers the servers within each zone, and interleaves the zones. */
  #rank(): void {
    if (!this.#areRanksStale) {
      return;
    }
    this.#areRanksStale = false;
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

/** Returns the load relative to the capacity; `floor` is the load that each shard counts with in addition to its own. */
export function utilisation(entry: ServerEntry, floor: number): number {
  return (entry.load + floor * entry.shards.size) / capacityOf(entry);
}

/** Returns the current capacity of a server, relative to the others; it is reduced while the server is cold. */
export function capacityOf({ server }: ServerEntry): number {
  return server.state === 'cold' ? server.capacity * COLD_SHARE : server.capacity;
}

/** Returns whether the server's declaration allows it to own shards of the keyspace. */
export function mayHold({ server }: ServerEntry, keyspace: string): boolean {
  return server.mayHold.length === 0 || server.mayHold.includes(keyspace);
}

/** Returns whether the server currently accepts shards. */
export function mayReceiveShards({ server }: ServerEntry): boolean {
  return server.state === 'ready' || server.state === 'cold';
}

/** Compares identifiers by code unit, with the same result on every machine. */
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
