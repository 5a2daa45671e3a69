/** The latest changes, for routers that only need what they missed. Not part of snapshots. */
import type { Revision } from '../model/identifiers.js';
import type { RegistryChange } from './types.js';

/**
 * Changes kept. A router further behind gets a snapshot. The loss of a third of the servers changes a third of the
 * shards twice: at 90,000 shards that must still fit.
 */
export const MAX_RECENT_CHANGES = 65_536;

interface ChangeSet {
  readonly revision: Revision;
  readonly changes: readonly RegistryChange[];
}

/** Names what a change is about, so that later changes to it stand in for earlier ones. */
function subjectOf(change: RegistryChange): string {
  switch (change.type) {
    case 'service':
      return `service ${change.name}`;
    case 'upstream':
      return `upstream ${change.id}`;
    case 'shard':
      return `shard ${change.shard}`;
    case 'route':
      return `route ${change.name}`;
    case 'declaration':
      return 'declaration';
    case 'range':
      return `range ${change.service} ${change.from}`;
    case 'suspect':
      return `suspect ${change.fingerprint}`;
    case 'evacuation':
      return `evacuation ${change.zone}`;
  }
}

export class ChangeRing {
  private sets: ChangeSet[] = [];
  /** Sets before this position were dropped. */
  private start = 0;
  private count = 0;
  /** Answers given since the last change, by the position they begin at: many routers ask for the same ones. */
  private readonly answers = new Map<number, readonly RegistryChange[]>();

  /** `floor` is the revision after which every change is known. */
  constructor(
    private floor: Revision,
    private readonly limit = MAX_RECENT_CHANGES,
  ) {}

  add(revision: Revision, changes: readonly RegistryChange[]): void {
    if (changes.length === 0) {
      return;
    }
    this.sets.push({ revision, changes });
    this.count += changes.length;
    this.answers.clear();
    while (this.count > this.limit) {
      this.dropOldest();
    }
    this.compact();
  }

  /**
   * The last state of each thing that changed after `from`; `undefined` if some of that was dropped. Until the next
   * change the same answer is the same array, so that who encodes it can do so once.
   */
  changesAfter(from: Revision): readonly RegistryChange[] | undefined {
    if (from < this.floor) {
      return undefined;
    }
    const first = this.firstAfter(from);
    const cached = this.answers.get(first);
    if (cached !== undefined) {
      return cached;
    }
    const latest = this.latestFrom(first);
    this.answers.set(first, latest);
    return latest;
  }

  private latestFrom(first: number): RegistryChange[] {
    const latest = new Map<string, RegistryChange>();
    for (let position = first; position < this.sets.length; position += 1) {
      for (const change of this.sets[position]?.changes ?? []) {
        latest.set(subjectOf(change), change);
      }
    }
    return [...latest.values()];
  }

  private firstAfter(from: Revision): number {
    let low = this.start;
    let high = this.sets.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.sets[middle] as ChangeSet).revision <= from) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private dropOldest(): void {
    const oldest = this.sets[this.start] as ChangeSet;
    this.floor = oldest.revision;
    this.count -= oldest.changes.length;
    this.start += 1;
  }

  /** Frees dropped sets once they are half of the list, which keeps `add` at constant cost on average. */
  private compact(): void {
    if (this.start * 2 > this.sets.length) {
      this.sets = this.sets.slice(this.start);
      this.start = 0;
    }
  }
}
