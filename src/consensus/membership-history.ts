/** Memberships by the index of the entry that set them, so that truncation restores the previous one. */
import { decodeMembership, emptyMembership } from './membership.js';
import type { LogEntry, Membership, RestoredState } from './types.js';

interface MembershipRecord {
  readonly index: number;
  readonly membership: Membership;
}

export class MembershipHistory {
  #records: MembershipRecord[];

  constructor(baseIndex: number, membership: Membership) {
    this.#records = [{ index: baseIndex, membership }];
  }

  /** Collects the memberships of a snapshot and the entries after it. */
  static restore(restored: RestoredState): MembershipHistory {
    const { snapshot } = restored;
    const first = snapshot?.membership ?? restored.initialMembership ?? emptyMembership();
    const history = new MembershipHistory(snapshot?.lastIndex ?? 0, first);
    history.recordAppended(restored.entries);
    return history;
  }

  get current(): Membership {
    return this.#last.membership;
  }

  /** Index of the entry that set the current membership. */
  get currentIndex(): number {
    return this.#last.index;
  }

  /** Membership in force after the entry at `index`. */
  at(index: number): Membership {
    const record = this.#records.findLast((candidate) => candidate.index <= index);
    return (record ?? (this.#records[0] as MembershipRecord)).membership;
  }

  /** Records the memberships among appended entries. */
  recordAppended(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.kind === 'membership') {
        this.#records.push({ index: entry.index, membership: decodeMembership(entry.data) });
      }
    }
  }

  /** Removes the memberships of entries from `index` on. */
  truncateFrom(index: number): void {
    this.#records = this.#records.filter((record, position) => position === 0 || record.index < index);
  }

  /** Removes memberships that were superseded by an entry up to `index`. */
  compactTo(index: number): void {
    const firstKept = this.#records.findLastIndex((record) => record.index <= index);
    this.#records = this.#records.slice(Math.max(0, firstKept));
  }

  reset(index: number, membership: Membership): void {
    this.#records = [{ index, membership }];
  }

  get #last(): MembershipRecord {
    return this.#records.at(-1) as MembershipRecord;
  }
}
