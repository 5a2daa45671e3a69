/** Where the control leader seems to be: the latest hint, else the members in turn. */
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

  /** Where to send now; `null` without any member. */
  target(): Address | null {
    return this.hint ?? this.members[this.index] ?? null;
  }

  /** A member said who leads; `null` says nothing. */
  learn(leader: Address | null): void {
    this.hint = leader ?? this.hint;
  }

  /** `member` did not answer or does not lead: leave it, unless the guess moved on since. */
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
