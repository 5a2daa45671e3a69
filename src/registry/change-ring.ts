/** The most recent changes, for routers that fetch only the changes they missed. Not part of snapshots. */
import type { Revision } from '../model/identifiers.js';
import type { RegistryChange } from './types.js';

/**
 * A router that is further behind gets a snapshot. The loss of a third of the servers changes a third of the shards
 * twice, and that must fit with 90,000 shards.
 */
export const MAX_RECENT_CHANGES = 65_536;

interface ChangeSet {
  readonly revision: Revision;
  readonly changes: readonly RegistryChange[];
}

/** Identifies the object of a change, so that a later change to it replaces earlier ones. */
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
  /** Sets before this position have been dropped. */
  private start = 0;
  private count = 0;
  /** Results cached since the last change, by their first position: many routers request the same ones. */
  private readonly answers = new Map<number, readonly RegistryChange[]>();

  /** `floor` is the revision after which every change is kept. */
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
   * Returns the latest change of each object that changed after `from`; `undefined` if some of these changes were dropped.
   * Until the next change the same result is the same array, so that it can be encoded once.
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

  /** Frees dropped sets once they make up half of the list, which keeps the amortized cost of `add` constant. */
  private compact(): void {
    if (this.start * 2 > this.sets.length) {
      this.sets = this.sets.slice(this.start);
      this.start = 0;
    }
  }
}
