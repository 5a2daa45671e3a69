/**
 * Decides whether a due grant is sent. A grant that is left unanswered may be accepted seconds later, so the keys of an upstream that ends
 * with a grant open have no owner for as long. Grants are therefore sent shortly after a heartbeat, or after the answer to a question if
 * they can't wait for the next one, and none to an upstream that left a call unanswered until it has answered something that grants nothing.
 */
import { DEPOSED_GRANTER_MILLIS } from '../../lease/timed-grants.js';
import type { MonotonicMillis } from '../../model/identifiers.js';

/** What to do with a due grant. */
export const GRANT_STEPS = {
  send: 'send',
  /** Ask the upstream first whether it is there. */
  ask: 'ask',
  /** Wait for its next heartbeat. */
  wait: 'wait',
} as const;
export type GrantStep = (typeof GRANT_STEPS)[keyof typeof GRANT_STEPS];

/** A grant is sent only within this share of a heartbeat interval after the last sign of life of its upstream. */
const FRESH_HEARTBEATS = 0.25;
/** An upstream that isn't heard for this many heartbeat intervals gets nothing until it is heard, also if it answers questions. */
const MAX_UNHEARD_HEARTBEATS = 1.5;

/** What is known of an upstream and a grant that is due for it. */
export interface DueGrant {
  /** Time of the upstream's last heartbeat or answered call; `-Infinity` if there was none in this leadership. */
  readonly heardAt: MonotonicMillis;
  /** Time of the last answer to a question that showed that the upstream is there; `-Infinity` if there was none. */
  readonly presentAt: MonotonicMillis;
  /** Whether the upstream left a call unanswered and has answered nothing since, not even a question. */
  readonly isSilent: boolean;
  /** Whether the grant can't wait for a heartbeat: its owner doesn't know of it, or it has been due for long. */
  readonly isUrgent: boolean;
}

export class GrantContact {
  readonly #freshMillis: number;
  readonly #maxUnheardMillis: number;

  /** `leadingSince` is the start of this leadership, which heartbeats need some time to find. */
  constructor(
    heartbeatMillis: number,
    private readonly leadingSince: MonotonicMillis,
  ) {
    this.#freshMillis = heartbeatMillis * FRESH_HEARTBEATS;
    this.#maxUnheardMillis = heartbeatMillis * MAX_UNHEARD_HEARTBEATS;
  }

  stepOf({ heardAt, presentAt, isSilent, isUrgent }: DueGrant, now: MonotonicMillis): GrantStep {
    const mayAskFirst = isUrgent && now - heardAt <= this.#maxUnheardMillis;
    const lastSignAt = mayAskFirst ? Math.max(heardAt, presentAt) : heardAt;
    const isFresh = now - lastSignAt <= this.#freshMillis;
    if (!isSilent && (isFresh || (isUrgent && this.#isCounted(heardAt, now)))) {
      return GRANT_STEPS.send;
    }
    return mayAskFirst || now >= this.askAt(heardAt) ? GRANT_STEPS.ask : GRANT_STEPS.wait;
  }

  /** Time from which an upstream is asked if it isn't heard before. */
  askAt(heardAt: MonotonicMillis): MonotonicMillis {
    return Math.max(heardAt, this.leadingSince) + this.#maxUnheardMillis;
  }

  /**
   * Returns whether a grant to an upstream that wasn't heard yet extends no bound: a new leader counts a grant of the one before as sent
   * until then.
   */
  #isCounted(heardAt: MonotonicMillis, now: MonotonicMillis): boolean {
    return heardAt === Number.NEGATIVE_INFINITY && now - this.leadingSince <= DEPOSED_GRANTER_MILLIS;
  }
}
