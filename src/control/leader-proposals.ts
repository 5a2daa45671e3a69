/** The leader's own commands. Each has at most one open proposal, and is retried after a delay if it wasn't accepted. */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LeaderCommand } from '../registry/types.js';
import type { ProposeCommand } from './propose-command.js';

/** Delay before a command that wasn't accepted may be proposed again. */
export const PROPOSAL_RETRY_MILLIS = 200;

export class LeaderProposals {
  readonly #propose: ProposeCommand;
  /** Names of commands that have an open proposal or whose retry isn't due yet. */
  readonly #blocked = new Set<string>();
  readonly #retries = new DeadlineQueue<string>();

  constructor(propose: ProposeCommand) {
    this.#propose = propose;
  }

  /** Whether a command under this name may be proposed. */
  canPropose(name: string): boolean {
    return !this.#blocked.has(name);
  }

  /** Proposes a command and blocks all of `names` until it is accepted or its retry is due. */
  propose(names: readonly string[], command: LeaderCommand): void {
    for (const name of names) {
      this.#blocked.add(name);
    }
    this.proposeOnce(command, (isAccepted, now) => {
      for (const name of names) {
        this.#settle(name, isAccepted, now);
      }
    });
  }

  /** Proposes a command without blocking any name; the calling code tracks it. */
  proposeOnce(command: LeaderCommand, settle: (isMade: boolean, now: MonotonicMillis) => void): void {
    this.#propose(command, (outcome, now) => {
      settle(outcome.type === 'applied' && outcome.result.type === 'accepted', now);
    });
  }

  /** Unblocks the names whose retry is due. */
  expire(now: MonotonicMillis): void {
    for (const name of this.#retries.takeDue(now)) {
      this.#blocked.delete(name);
    }
  }

  nextDeadline(): MonotonicMillis {
    return this.#retries.next();
  }

  #settle(name: string, isMade: boolean, now: MonotonicMillis): void {
    if (isMade) {
      this.#blocked.delete(name);
    } else {
      this.#retries.set(name, now + PROPOSAL_RETRY_MILLIS);
    }
  }
}
