/**
 * State that a holder keeps for each shard: its grant, its running requests, and the highest revision received, so that a
 * late or repeated grant has no effect.
 */
import { type Epoch, parseShardId, type Revision, type ShardId } from '../model/identifiers.js';
import type { HolderEvent } from './holder-types.js';
import type { KeyMap, ShardGrant, ShardOrder } from './types.js';

/**
 * `known`: not held, and no release to report. `held`: new work is accepted. `draining`: revoked, with running requests.
 * `released`: revoked and released, reported as long as the leader's orders name it.
 */
type ShardState = 'known' | 'held' | 'draining' | 'released';

interface ShardEntry {
  state: ShardState;
  epoch: Epoch;
  /** Highest revision of any grant or revoke received for this shard. */
  highestRevision: Revision;
  inFlight: number;
  warmth: 'cold' | 'warming' | 'warm';
  /** Whether the release was part of an answer to the leader. */
  reported: boolean;
}

export class ShardTable {
  readonly #entries = new Map<ShardId, ShardEntry>();
  readonly #events: HolderEvent[] = [];

  /** Returns the reason to reject new work; `null` if it may start. */
  refusalOf(shard: ShardId, epoch: Epoch): 'not-owner' | 'draining' | 'stale-epoch' | null {
    const entry = this.#entries.get(shard);
    if (entry === undefined || entry.state === 'known' || entry.state === 'released') {
      return 'not-owner';
    }
    if (entry.epoch !== epoch) {
      return 'stale-epoch';
    }
    return entry.state === 'draining' ? 'draining' : null;
  }

  /** Returns whether work that started under this grant may still take effect. */
  mayTakeEffect(shard: ShardId, epoch: Epoch): boolean {
    const entry = this.#entries.get(shard);
    return entry?.epoch === epoch && (entry.state === 'held' || entry.state === 'draining');
  }

  startWork(shard: ShardId): void {
    const entry = this.#getOrAddEntry(shard);
    entry.inFlight += 1;
  }

  endWork(shard: ShardId): void {
    const entry = this.#entries.get(shard);
    if (entry === undefined) {
      return;
    }
    entry.inFlight -= 1;
    if (entry.state === 'draining' && entry.inFlight === 0) {
      this.#release(shard, entry);
    }
  }

  markWarmed(shard: ShardId): void {
    const entry = this.#entries.get(shard);
    if (entry?.warmth === 'warming') {
      entry.warmth = 'warm';
    }
  }

  /** Applies an order; orders older than the shard's highest revision have no effect. */
  apply(order: ShardOrder, keyMap: KeyMap | null): void {
    switch (order.type) {
      case 'grant':
        this.#grant(order.shard, order.epoch, order.revision, keyMap);
        break;
      case 'revoke':
        this.#revoke(order.shard, order.revision);
        break;
      case 'warm':
        this.#warm(order.shard, order.revision, keyMap);
        break;
    }
  }

  /**
   * Voids every grant, warming and release that a complete list of orders doesn't name; must be called before the orders are
   * applied. A shard with only an order to warm isn't held any more: another owner was granted it in the meantime.
   */
  keepOnly(orders: readonly ShardOrder[]): void {
    const named = new Set(orders.map((order) => order.shard));
    const held = new Set(orders.filter((order) => order.type !== 'warm').map((order) => order.shard));
    for (const [shard, entry] of this.#entries) {
      if (held.has(shard)) {
        continue;
      }
      if (entry.state === 'held' || entry.state === 'draining') {
        this.#events.push({ type: 'released', shard });
      }
      entry.state = 'known';
      if (!named.has(shard)) {
        entry.warmth = 'cold';
      }
    }
  }

  /**
   * Forgets shards of older key maps, which no grant can name again. Shards revoked by this change of the map are kept until
   * the next change.
   */
  forgetOldShards(previous: KeyMap, next: KeyMap): void {
    for (const [shard, entry] of this.#entries) {
      const inUse = entry.state === 'held' || entry.state === 'draining' || entry.inFlight > 0;
      const isReported = entry.state === 'released' && isShardOf(shard, previous);
      if (!inUse && !isReported && !isShardOf(shard, next)) {
        this.#entries.delete(shard);
      }
    }
  }

  /** Number of shards held. */
  get heldCount(): number {
    return [...this.#entries.values()].filter(({ state }) => state === 'held').length;
  }

  /** Returns the held shards among `shards`. */
  held(shards: readonly ShardId[]): ShardGrant[] {
    return this.#select(shards, ({ state }) => state === 'held').map(([shard, { epoch }]) => ({
      shard,
      epoch,
    }));
  }

  draining(): { readonly shard: ShardId; readonly remaining: number }[] {
    return [...this.#entries]
      .filter(([, { state }]) => state === 'draining')
      .map(([shard, { inFlight }]) => ({ shard, remaining: inFlight }));
  }

  /** Returns the revoked and released shards among `shards`. */
  released(shards: readonly ShardId[]): { readonly shard: ShardId; readonly revision: Revision }[] {
    return this.#select(shards, ({ state }) => state === 'released').map(([shard, { highestRevision }]) => ({
      shard,
      revision: highestRevision,
    }));
  }

  /** Returns the warm shards among `shards`. */
  warmed(shards: readonly ShardId[]): ShardId[] {
    return this.#select(shards, ({ warmth }) => warmth === 'warm').map(([shard]) => shard);
  }

  /** Number of shards whose release is pending or wasn't part of an answer yet. */
  get unreportedCount(): number {
    const entries = [...this.#entries.values()];
    return entries.filter(
      ({ state, reported }) => state === 'draining' || (state === 'released' && !reported),
    ).length;
  }

  /** Marks releases as part of an answer. */
  markReported(released: readonly { readonly shard: ShardId }[]): void {
    for (const { shard } of released) {
      this.#getOrAddEntry(shard).reported = true;
    }
  }

  /** Number of shards with an entry. */
  get size(): number {
    return this.#entries.size;
  }

  takeEvents(): HolderEvent[] {
    return this.#events.splice(0);
  }

  #grant(shard: ShardId, epoch: Epoch, revision: Revision, keyMap: KeyMap | null): void {
    const known = this.#entries.get(shard);
    if (!isShardOf(shard, keyMap) || revision <= (known?.highestRevision ?? 0)) {
      return;
    }
    const entry = this.#getOrAddEntry(shard);
    const warmed = entry.warmth === 'warm';
    entry.state = 'held';
    entry.epoch = epoch;
    entry.highestRevision = revision;
    entry.warmth = 'cold';
    this.#events.push({ type: 'granted', shard, epoch, warmed });
  }

  #revoke(shard: ShardId, revision: Revision): void {
    const entry = this.#getOrAddEntry(shard);
    if (revision < entry.highestRevision) {
      return;
    }
    entry.highestRevision = revision;
    if (entry.state === 'released' || entry.state === 'draining') {
      return;
    }
    if (entry.state === 'held' && entry.inFlight > 0) {
      entry.state = 'draining';
      this.#events.push({ type: 'revoked', shard, remaining: entry.inFlight });
      return;
    }
    this.#release(shard, entry);
  }

  #warm(shard: ShardId, revision: Revision, keyMap: KeyMap | null): void {
    const known = this.#entries.get(shard);
    const isOld = revision < (known?.highestRevision ?? 0);
    if (!isShardOf(shard, keyMap) || isOld || known?.state === 'held' || known?.state === 'draining') {
      return;
    }
    const entry = this.#getOrAddEntry(shard);
    if (entry.warmth === 'cold') {
      entry.warmth = 'warming';
      this.#events.push({ type: 'warm', shard });
    }
  }

  #release(shard: ShardId, entry: ShardEntry): void {
    if (entry.state === 'held' || entry.state === 'draining') {
      this.#events.push({ type: 'released', shard });
    }
    entry.state = 'released';
    entry.reported = false;
    entry.warmth = 'cold';
  }

  #getOrAddEntry(shard: ShardId): ShardEntry {
    const known = this.#entries.get(shard);
    if (known !== undefined) {
      return known;
    }
    const entry: ShardEntry = {
      state: 'known',
      epoch: 0,
      highestRevision: 0,
      inFlight: 0,
      warmth: 'cold',
      reported: false,
    };
    this.#entries.set(shard, entry);
    return entry;
  }

  #select(shards: readonly ShardId[], isSelected: (entry: ShardEntry) => boolean): [ShardId, ShardEntry][] {
    return shards.flatMap((shard): [ShardId, ShardEntry][] => {
      const entry = this.#entries.get(shard);
      return entry !== undefined && isSelected(entry) ? [[shard, entry]] : [];
    });
  }
}

/** Returns whether a shard belongs to this key map, by service and generation. */
function isShardOf(shard: ShardId, keyMap: KeyMap | null): boolean {
  const parts = parseShardId(shard);
  return parts !== undefined && parts.service === keyMap?.service && parts.generation === keyMap.generation;
}
