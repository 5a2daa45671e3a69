/** The leader's own commands: each is proposed once at a time, and not at once again after it changed nothing. */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LeaderCommand } from '../registry/types.js';
import type { ProposeCommand } from './propose-command.js';

/** How long a command that changed nothing is left alone. */
const RETRY_MILLIS = 200;

export class LeaderProposals {
  readonly #propose: ProposeCommand;
  /** When each name may be used again; infinite while its command is under way. */
  readonly #blockedUntil = new Map<string, MonotonicMillis>();

  constructor(propose: ProposeCommand) {
    this.#propose = propose;
  }

  /** Whether a command under this name may be proposed. */
  isFree(name: string, now: MonotonicMillis): boolean {
    const until = this.#blockedUntil.get(name);
    return until === undefined || now >= until;
  }

  /** Proposes a command which settles everything that `names` stand for. */
  propose(names: readonly string[], command: LeaderCommand): void {
    for (const name of names) {
      this.#blockedUntil.set(name, Number.POSITIVE_INFINITY);
    }
    this.#propose(command, (outcome, now) => {
      const isMade = outcome.type === 'applied' && outcome.result.type === 'accepted';
      for (const name of names) {
        if (isMade) {
          this.#blockedUntil.delete(name);
        } else {
          this.#blockedUntil.set(name, now + RETRY_MILLIS);
        }
      }
    });
  }

  /** Forgets names whose time is over; returns whether there were any. */
  expire(now: MonotonicMillis): boolean {
    const over = [...this.#blockedUntil].filter(([, until]) => now >= until);
    for (const [name] of over) {
      this.#blockedUntil.delete(name);
    }
    return over.length > 0;
  }

  nextDeadline(): MonotonicMillis {
    return Math.min(Number.POSITIVE_INFINITY, ...this.#blockedUntil.values());
  }
}
