/** Memberships by the index of the entry that set them, so that a truncated one gives way to the one before. */
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

  /** Reads the memberships of what was on disk. */
  static restore(restored: RestoredState): MembershipHistory {
    const { snapshot } = restored;
    const first = snapshot?.membership ?? restored.initialMembership ?? emptyMembership();
    const history = new MembershipHistory(snapshot?.lastIndex ?? 0, first);
    history.appended(restored.entries);
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

  /** Takes up memberships of entries as they are appended. */
  appended(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.kind === 'membership') {
        this.#records.push({ index: entry.index, membership: decodeMembership(entry.data) });
      }
    }
  }

  /** Forgets memberships of entries from `index` on. */
  truncatedFrom(index: number): void {
    this.#records = this.#records.filter((record, position) => position === 0 || record.index < index);
  }

  /** Forgets memberships that were replaced up to `index`. */
  compactedTo(index: number): void {
    const kept = this.#records.findLastIndex((record) => record.index <= index);
    this.#records = this.#records.slice(Math.max(0, kept));
  }

  reset(index: number, membership: Membership): void {
    this.#records = [{ index, membership }];
  }

  get #last(): MembershipRecord {
    return this.#records.at(-1) as MembershipRecord;
  }
}
