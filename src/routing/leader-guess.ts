/** Guesses the control leader: the latest hint, or else the members in turn. */
import type { Address } from '../model/identifiers.js';

export class LeaderGuess {
  private hint: Address | null = null;
  private index: number;

  constructor(
    private readonly members: readonly Address[],
    firstMember: number,
  ) {
    this.index = members.length === 0 ? 0 : firstMember % members.length;
  }

  /** The member to send to; `null` if there are no members. */
  target(): Address | null {
    return this.hint ?? this.members[this.index] ?? null;
  }

  /** Records the leader reported by a member; `null` keeps the previous hint. */
  setHint(leader: Address | null): void {
    this.hint = leader ?? this.hint;
  }

  /** Drops `member`, which did not answer or is not the leader, if it is still the current guess. */
  avoid(member: Address | null): void {
    if (member === null || member !== this.target()) {
      return;
    }
    this.hint = null;
    if (this.members[this.index] === member) {
      this.index = (this.index + 1) % Math.max(1, this.members.length);
    }
  }
}
