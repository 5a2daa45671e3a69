/** The leader's own commands: each is proposed once at a time, and not at once again after it changed nothing. */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LeaderCommand } from '../registry/types.js';
import type { ProposeCommand } from './propose-command.js';

/** How long a command that changed nothing is left alone. */
export const RETRY_MILLIS = 200;

export class LeaderProposals {
  readonly #propose: ProposeCommand;
  /** Names of commands that are under way or that changed nothing lately. */
  readonly #blocked = new Set<string>();
  readonly #retries = new DeadlineQueue<string>();

  constructor(propose: ProposeCommand) {
    this.#propose = propose;
  }

  /** Whether a command under this name may be proposed. */
  isFree(name: string): boolean {
    return !this.#blocked.has(name);
  }

  /** Proposes a command which settles everything that `names` stand for. */
  propose(names: readonly string[], command: LeaderCommand): void {
    for (const name of names) {
      this.#blocked.add(name);
    }
    this.proposeOnce(command, (isMade, now) => {
      for (const name of names) {
        this.#settle(name, isMade, now);
      }
    });
  }

  /** Proposes a command that the caller itself keeps track of. */
  proposeOnce(command: LeaderCommand, settle: (isMade: boolean, now: MonotonicMillis) => void): void {
    this.#propose(command, (outcome, now) => {
      settle(outcome.type === 'applied' && outcome.result.type === 'accepted', now);
    });
  }

  /** Frees the names whose time is over. */
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
      this.#retries.set(name, now + RETRY_MILLIS);
    }
  }
}
