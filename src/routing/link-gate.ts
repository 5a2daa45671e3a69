/** Holds requests for large answers while the router's link has no capacity for them, and refuses those that would be late. */
import type { Answers } from './answers.js';
import { AnswerSizes } from './capacity/answer-sizes.js';
import { LinkPacer } from './capacity/link-pacer.js';
import type { Dispatcher } from './dispatcher.js';
import { retryAfterAtLeast } from './queue/retry-after.js';
import type { RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { LinkStatus } from './types.js';

/** Minimum wait for capacity, which is the resolution of timers. */
const MIN_WAKE_MILLIS = 1;
/** Maximum time until waiting groups are rechecked, since capacity may become free sooner than estimated. */
const MAX_WAKE_MILLIS = 25;
/** How long after its deadline an answer is still read. */
const OVERTIME_MILLIS = 1000;

export interface LinkGateParts {
  readonly context: RouterContext;
  readonly answers: Answers;
  readonly dispatcher: Dispatcher;
}

/** A request group that waits for the link, and the expected size of its answer. */
interface HeldGroup {
  readonly group: RequestGroup;
  readonly bytes: number;
}

export class LinkGate {
  readonly #parts: LinkGateParts;
  readonly #sizes = new AnswerSizes();
  readonly #capacity: LinkPacer;
  /** In order of rank, the most important first, then of arrival. */
  #waiting: HeldGroup[] = [];
  #isWaking = false;

  constructor(parts: LinkGateParts, linkBytesPerMilli: number) {
    this.#parts = parts;
    this.#capacity = new LinkPacer(linkBytesPerMilli);
  }

  /** Passes a group on to the dispatcher, holds it, or refuses it. */
  pass(group: RequestGroup): void {
    const { context, answers } = this.#parts;
    const { now } = context;
    const bytes = this.#sizes.expected(routeOf(group));
    if (!this.#capacity.isLarge(bytes)) {
      this.#parts.dispatcher.admit(group);
      return;
    }
    this.#dropReleased();
    const ahead = this.#waiting.filter((other) => other.group.terms.priority <= group.terms.priority);
    const waitMillis = this.#capacity.waitMillis(sumOf(ahead), now);
    if (waitMillis <= 0 && ahead.length === 0) {
      this.#start({ group, bytes });
      return;
    }
    if (waitMillis > this.#remainingMillis(group) - this.#serviceAndTransferMillis(group, bytes)) {
      answers.refuseGroup(group, 'link-full', retryAfterAtLeast(waitMillis, context.random));
      return;
    }
    this.#hold({ group, bytes }, ahead.length);
  }

  /** Releases the held groups for which there is capacity, and refuses those whose deadline would pass before their answer. */
  wake(): void {
    const { context, answers } = this.#parts;
    this.#isWaking = false;
    this.#dropReleased();
    let ahead = 0;
    for (const held of this.#waiting) {
      const { group, bytes } = held;
      const waitMillis = this.#capacity.waitMillis(ahead, context.now);
      if (waitMillis <= 0) {
        group.service.held.delete(group);
        this.#start(held);
      } else if (waitMillis > group.deadline - context.now - this.#serviceAndTransferMillis(group, bytes)) {
        answers.refuseGroup(group, 'link-full', retryAfterAtLeast(waitMillis, context.random));
      } else {
        ahead += bytes;
      }
    }
    this.#dropReleased();
    this.#scheduleWake();
  }

  /**
   * Handles the head of a group's answer; `namedBytes` is `null` if it contains no length. An answer that the link can't carry until it is
   * broken off says nothing of the route's answers, and takes no more of the link than until then.
   */
  answered(group: RequestGroup, namedBytes: number | null): void {
    const { now } = this.#parts.context;
    const expected = group.linkAnswer;
    group.linkAnswer = null;
    if (namedBytes === null) {
      return;
    }
    const mostBytes = this.#capacity.mostBytes(Math.max(0, group.deadline - now) + OVERTIME_MILLIS);
    const bytes = Math.min(namedBytes, mostBytes);
    if (namedBytes <= mostBytes) {
      this.#sizes.add(routeOf(group), bytes);
    }
    if (expected !== null) {
      this.#capacity.onSizeKnown(expected, bytes, now);
    } else if (this.#capacity.isLarge(bytes)) {
      this.#capacity.onStart(bytes, now);
    } else {
      this.#capacity.onShortAnswer(bytes, now);
    }
  }

  /** Frees the capacity reserved for a finished group that got no answer. */
  ended(group: RequestGroup): void {
    if (group.linkAnswer !== null) {
      this.#capacity.onFailure(group.linkAnswer, this.#parts.context.now);
      group.linkAnswer = null;
    }
  }

  /** Records the transfer of an answer, `tookMillis` from its first byte to its last; only large ones count. */
  recordTransfer(bytes: number, tookMillis: number): void {
    if (this.#capacity.isLarge(bytes)) {
      this.#capacity.onLargeAnswer(bytes, tookMillis, this.#parts.context.now);
    }
  }

  status(): LinkStatus {
    this.#dropReleased();
    return {
      waiting: this.#waiting.length,
      bytesPerMilli: this.#capacity.widthBytesPerMilli(this.#parts.context.now),
    };
  }

  #start({ group, bytes }: HeldGroup): void {
    const { context, dispatcher } = this.#parts;
    group.linkAnswer = this.#capacity.onStart(bytes, context.now);
    group.phase = 'new';
    dispatcher.admit(group);
  }

  #hold(held: HeldGroup, place: number): void {
    const { group } = held;
    group.phase = 'held';
    group.service.held.add(group);
    this.#waiting.splice(place, 0, held);
    this.#scheduleWake();
  }

  /** Milliseconds left in which an answer is in time. Large answers that wait longer would delay all behind them. */
  #remainingMillis({ terms, deadline, arrivedAt }: RequestGroup): number {
    const inTimeUntil = terms.targetMillis === null ? deadline : arrivedAt + terms.targetMillis;
    return Math.min(deadline, inTimeUntil) - this.#parts.context.now;
  }

  /** Milliseconds from the dispatch of a group to the end of its answer, with nothing ahead of it. */
  #serviceAndTransferMillis({ service }: RequestGroup, bytes: number): number {
    return (service.measuredMillis() ?? 0) + this.#capacity.carryMillis(bytes, this.#parts.context.now);
  }

  #scheduleWake(): void {
    const { context } = this.#parts;
    if (this.#isWaking || this.#waiting.length === 0) {
      return;
    }
    this.#isWaking = true;
    const waitMillis = this.#capacity.waitMillis(0, context.now);
    const wakeInMillis = Math.min(MAX_WAKE_MILLIS, Math.max(MIN_WAKE_MILLIS, waitMillis));
    context.schedule(context.now + wakeInMillis, { type: 'link-wake' });
  }

  /** Removes groups that are no longer held: started, answered, or without a caller. */
  #dropReleased(): void {
    this.#waiting = this.#waiting.filter(({ group }) => group.phase === 'held');
  }
}

function routeOf({ terms, service }: RequestGroup): string {
  return terms.route ?? service.name;
}

function sumOf(groups: readonly HeldGroup[]): number {
  return groups.reduce((sum, { bytes }) => sum + bytes, 0);
}
