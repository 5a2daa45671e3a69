/** Holds back requests for large answers while the router's link has no room for them, and refuses those that would be late. */
import type { Answers } from './answers.js';
import type { Dispatcher } from './dispatcher.js';
import { retryAfterAtLeast } from './queue/retry-after.js';
import { AnswerSizes } from './room/answer-sizes.js';
import { LinkRoom } from './room/link-room.js';
import type { RouterContext } from './router-context.js';
import type { LinkStatus } from './types.js';
import type { Work } from './work.js';

/** Room that opens sooner than this is waited for so long: the clock of timers is no finer. */
const LEAST_WAKE_MILLIS = 1;
/** What waits is looked at after this at the latest: room may open sooner than was expected. */
const LONGEST_WAKE_MILLIS = 25;

export interface LinkGateParts {
  readonly context: RouterContext;
  readonly answers: Answers;
  readonly dispatcher: Dispatcher;
}

/** Work that waits for the link, and the bytes that its answer is expected to have. */
interface Waiting {
  readonly work: Work;
  readonly bytes: number;
}

export class LinkGate {
  readonly #parts: LinkGateParts;
  readonly #sizes = new AnswerSizes();
  readonly #room: LinkRoom;
  /** The most important rank first, and in the order of arrival. */
  #waiting: Waiting[] = [];
  #isWaking = false;

  constructor(parts: LinkGateParts, linkBytesPerMilli: number) {
    this.#parts = parts;
    this.#room = new LinkRoom(linkBytesPerMilli);
  }

  /** Lets a work go on to the dispatcher, holds it, or refuses it. */
  pass(work: Work): void {
    const { context, answers } = this.#parts;
    const { now } = context;
    const bytes = this.#sizes.expected(routeOf(work));
    if (!this.#room.isLarge(bytes)) {
      this.#parts.dispatcher.admit(work);
      return;
    }
    this.#dropGone();
    const ahead = this.#waiting.filter((other) => other.work.terms.priority <= work.terms.priority);
    const wait = this.#room.waitMillis(sumOf(ahead), now);
    if (wait <= 0 && ahead.length === 0) {
      this.#start({ work, bytes });
      return;
    }
    if (wait > this.#millisInTime(work) - this.#ownMillis(work, bytes)) {
      answers.refuseWork(work, 'link-full', retryAfterAtLeast(wait, context.random));
      return;
    }
    this.#hold({ work, bytes }, ahead.length);
  }

  /** Lets those go on whose turn has come, and refuses those whose callers would be gone by then. */
  wake(): void {
    const { context, answers } = this.#parts;
    this.#isWaking = false;
    this.#dropGone();
    let ahead = 0;
    for (const waiting of this.#waiting) {
      const { work, bytes } = waiting;
      const wait = this.#room.waitMillis(ahead, context.now);
      if (wait <= 0) {
        work.service.held.delete(work);
        this.#start(waiting);
      } else if (wait > work.deadline - context.now - this.#ownMillis(work, bytes)) {
        answers.refuseWork(work, 'link-full', retryAfterAtLeast(wait, context.random));
      } else {
        ahead += bytes;
      }
    }
    this.#dropGone();
    this.#scheduleWake();
  }

  /** The head of a work's answer came; `bytes` is `null` if it didn't say how large it is. */
  answered(work: Work, bytes: number | null): void {
    const { now } = this.#parts.context;
    const expected = work.linkAnswer;
    work.linkAnswer = null;
    if (bytes === null) {
      return;
    }
    this.#sizes.add(routeOf(work), bytes);
    if (expected !== null) {
      this.#room.sized(expected, bytes, now);
    } else if (this.#room.isLarge(bytes)) {
      this.#room.started(bytes, now);
    } else {
      this.#room.short(bytes, now);
    }
  }

  /** Nobody waits for a work any more: what it was counted for and didn't get is given back. */
  ended(work: Work): void {
    if (work.linkAnswer !== null) {
      this.#room.failed(work.linkAnswer, this.#parts.context.now);
      work.linkAnswer = null;
    }
  }

  /** A large answer came in, from its first byte to its last in `tookMillis`. */
  carried(bytes: number, tookMillis: number): void {
    if (this.#room.isLarge(bytes)) {
      this.#room.carried(bytes, tookMillis, this.#parts.context.now);
    }
  }

  status(): LinkStatus {
    this.#dropGone();
    return {
      waiting: this.#waiting.length,
      bytesPerMilli: this.#room.widthBytesPerMilli(this.#parts.context.now),
    };
  }

  #start({ work, bytes }: Waiting): void {
    const { context, dispatcher } = this.#parts;
    work.linkAnswer = this.#room.started(bytes, context.now);
    work.phase = 'new';
    dispatcher.admit(work);
  }

  #hold(waiting: Waiting, place: number): void {
    const { work } = waiting;
    work.phase = 'held';
    work.service.held.add(work);
    this.#waiting.splice(place, 0, waiting);
    this.#scheduleWake();
  }

  /** Milliseconds in which an answer would be in time. Large ones that are let wait longer make all behind them late. */
  #millisInTime({ terms, deadline, arrivedAt }: Work): number {
    const inTimeUntil = terms.targetMillis === null ? deadline : arrivedAt + terms.targetMillis;
    return Math.min(deadline, inTimeUntil) - this.#parts.context.now;
  }

  /** Milliseconds from the start of a work to its whole answer, if nothing is before it. */
  #ownMillis({ service }: Work, bytes: number): number {
    return (service.measuredMillis() ?? 0) + this.#room.carryMillis(bytes, this.#parts.context.now);
  }

  #scheduleWake(): void {
    const { context } = this.#parts;
    if (this.#isWaking || this.#waiting.length === 0) {
      return;
    }
    this.#isWaking = true;
    const wait = this.#room.waitMillis(0, context.now);
    const lookIn = Math.min(LONGEST_WAKE_MILLIS, Math.max(LEAST_WAKE_MILLIS, wait));
    context.schedule(context.now + lookIn, { type: 'link-wake' });
  }

  /** Those that were started, answered or whose caller went away don't wait any more. */
  #dropGone(): void {
    this.#waiting = this.#waiting.filter(({ work }) => work.phase === 'held');
  }
}

function routeOf({ terms, service }: Work): string {
  return terms.route ?? service.name;
}

function sumOf(waiting: readonly Waiting[]): number {
  return waiting.reduce((sum, { bytes }) => sum + bytes, 0);
}
