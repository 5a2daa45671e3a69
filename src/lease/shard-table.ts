/**
 * What a holder remembers of each shard: its grant, the work under way, and the highest revision heard of, so that a late
 * or repeated grant revives nothing.
 */
import { type Epoch, parseShardId, type Revision, type ShardId } from '../model/identifiers.js';
import type { HolderEvent } from './holder-types.js';
import type { KeyMap, ShardGrant, ShardOrder } from './types.js';

/**
 * `known`: nothing held, nothing to report. `held`: new work is taken. `draining`: revoked, work is left.
 * `released`: revoked and given up, reported for as long as the leader's orders name it.
 */
type ShardState = 'known' | 'held' | 'draining' | 'released';

interface ShardEntry {
  state: ShardState;
  epoch: Epoch;
  /** Highest revision of any grant or revoke of this shard that was heard of. */
  highestRevision: Revision;
  inFlight: number;
  warmth: 'cold' | 'warming' | 'warm';
  /** Whether an answer to the leader carried the release. */
  reported: boolean;
}

export class ShardTable {
  readonly #entries = new Map<ShardId, ShardEntry>();
  readonly #events: HolderEvent[] = [];

  /** Whether new work may start, and if not, why. */
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

  /** Whether work that started under this grant may still take effect. */
  mayTakeEffect(shard: ShardId, epoch: Epoch): boolean {
    const entry = this.#entries.get(shard);
    return entry?.epoch === epoch && (entry.state === 'held' || entry.state === 'draining');
  }

  startWork(shard: ShardId): void {
    const entry = this.#entry(shard);
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

  /** Carries out an order; older ones than the shard's highest revision change nothing. */
  follow(order: ShardOrder, keyMap: KeyMap | null): void {
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
   * Voids every grant, warming and report that a complete list of orders doesn't name; to be called before the orders are
   * followed. A shard that the list only says to warm isn't held: another one got it meanwhile.
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
   * Forgets shards of older key maps, which no grant can name again. What was revoked because of this very change of
   * the map stays until the next one.
   */
  retire(previous: KeyMap, next: KeyMap): void {
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

  /** Which of `shards` are held. */
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

  /** Which of `shards` were revoked and given up. */
  released(shards: readonly ShardId[]): { readonly shard: ShardId; readonly revision: Revision }[] {
    return this.#select(shards, ({ state }) => state === 'released').map(([shard, { highestRevision }]) => ({
      shard,
      revision: highestRevision,
    }));
  }

  /** Which of `shards` are warm. */
  warmed(shards: readonly ShardId[]): ShardId[] {
    return this.#select(shards, ({ warmth }) => warmth === 'warm').map(([shard]) => shard);
  }

  /** Shards with a release that is still to come or that no answer carried. */
  get unreportedCount(): number {
    const entries = [...this.#entries.values()];
    return entries.filter(
      ({ state, reported }) => state === 'draining' || (state === 'released' && !reported),
    ).length;
  }

  /** An answer carries these releases. */
  noteReported(released: readonly { readonly shard: ShardId }[]): void {
    for (const { shard } of released) {
      this.#entry(shard).reported = true;
    }
  }

  /** Number of shards remembered. */
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
    const entry = this.#entry(shard);
    const warmed = entry.warmth === 'warm';
    entry.state = 'held';
    entry.epoch = epoch;
    entry.highestRevision = revision;
    entry.warmth = 'cold';
    this.#events.push({ type: 'granted', shard, epoch, warmed });
  }

  #revoke(shard: ShardId, revision: Revision): void {
    const entry = this.#entry(shard);
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
    const entry = this.#entry(shard);
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

  #entry(shard: ShardId): ShardEntry {
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

  #select(shards: readonly ShardId[], wanted: (entry: ShardEntry) => boolean): [ShardId, ShardEntry][] {
    return shards.flatMap((shard): [ShardId, ShardEntry][] => {
      const entry = this.#entries.get(shard);
      return entry !== undefined && wanted(entry) ? [[shard, entry]] : [];
    });
  }
}

/** Whether a shard is of this very map: its service and its generation. */
function isShardOf(shard: ShardId, keyMap: KeyMap | null): boolean {
  const parts = parseShardId(shard);
  return parts !== undefined && parts.service === keyMap?.service && parts.generation === keyMap.generation;
}
