/**
 * The pace at which a router starts requests for large answers, so that its link carries them beside the short ones. Answers the load in
 * which large answers are asked for faster than the link carries them, and all others stand behind them.
 */
import { LinkWidth } from './link-width.js';

/** An answer is large if the link carries it for so long: short ones behind it would be late by as much. */
const LARGE_MILLIS = 100;
/** Share of the link that is planned for; the rest takes what comes in clumps. */
const PLANNED_SHARE = 0.9;
/** Share of the link's width that large answers get whatever short ones take, so that none starves. */
const LEAST_LARGE_SHARE = 0.1;
/** Large answers are started so much ahead of the link: about the time in which an upstream begins to answer. */
const AHEAD_MILLIS = 150;
/** What was started and didn't end in this time is taken to have failed. */
const LONGEST_OPEN_MILLIS = 5000;
/** A link this much narrower than it was taken for has not carried what was started by then. */
const NARROWED_SHARE = 0.75;
/** Short answers of this time make up the traffic that is left room for. */
const SHORT_WINDOW_MILLIS = 1000;

/** A large answer that was started and hasn't come whole. */
export interface OpenAnswer {
  bytes: number;
  readonly startedAt: number;
}

export class LinkRoom {
  readonly #width: LinkWidth;
  #shortBytes = 0;
  #shortAt = 0;
  /** When all large answers that were started will have been carried. */
  #freeAt = 0;
  /** The earliest first. */
  readonly #open = new Set<OpenAnswer>();
  #believedBytesPerMilli: number;

  /** `bytesPerMilli`: width of the link, each way, as the settings say. */
  constructor(bytesPerMilli: number) {
    this.#width = new LinkWidth(bytesPerMilli);
    this.#believedBytesPerMilli = bytesPerMilli;
  }

  isLarge(bytes: number): boolean {
    return bytes >= LARGE_MILLIS * this.#width.mostBytesPerMilli;
  }

  /** Milliseconds until a large answer may be started behind `aheadBytes` that wait; 0: now. */
  waitMillis(aheadBytes: number, now: number): number {
    const carriedAt = Math.max(this.#freeAt, now) + aheadBytes / this.#largeBytesPerMilli(now);
    return Math.max(0, carriedAt - now - AHEAD_MILLIS);
  }

  /** Milliseconds for which the link carries an answer of this size by itself. */
  carryMillis(bytes: number, now: number): number {
    return bytes / this.#width.bytesPerMilli(now);
  }

  /** A large answer was started that is expected to have so many bytes. */
  started(bytes: number, now: number): OpenAnswer {
    this.#freeAt = Math.max(this.#freeAt, now) + bytes / this.#largeBytesPerMilli(now);
    this.#dropFailed(now);
    const answer = { bytes, startedAt: now };
    this.#open.add(answer);
    return answer;
  }

  /** An answer that was started turned out to have another size. */
  sized(answer: OpenAnswer, bytes: number, now: number): void {
    this.#freeAt += (bytes - answer.bytes) / this.#largeBytesPerMilli(now);
    answer.bytes = bytes;
    if (!this.isLarge(bytes)) {
      this.#open.delete(answer);
    }
  }

  /** An answer that was started doesn't come. */
  failed(answer: OpenAnswer, now: number): void {
    this.sized(answer, 0, now);
  }

  /** A short answer came. */
  short(bytes: number, now: number): void {
    this.#shortBytes = this.#decayed(now) + bytes;
    this.#shortAt = now;
  }

  /** A large answer came in, from its first byte to its last in `tookMillis`. */
  carried(bytes: number, tookMillis: number, now: number): void {
    this.#width.carried(bytes, tookMillis, now);
    const [earliest] = this.#open;
    if (earliest !== undefined) {
      this.#open.delete(earliest);
    }
    this.#recount(now);
  }

  /** Bytes a millisecond that the link carries now, as far as is known. */
  widthBytesPerMilli(now: number): number {
    return this.#width.bytesPerMilli(now);
  }

  /** Where the link turns out to be narrower, what was started for the wider one is carried first. */
  #recount(now: number): void {
    const width = this.#width.bytesPerMilli(now);
    if (width < this.#believedBytesPerMilli * NARROWED_SHARE) {
      this.#dropFailed(now);
      const openBytes = [...this.#open].reduce((sum, { bytes }) => sum + bytes, 0);
      this.#freeAt = Math.max(this.#freeAt, now + openBytes / this.#largeBytesPerMilli(now));
    }
    this.#believedBytesPerMilli = width;
  }

  #dropFailed(now: number): void {
    for (const answer of this.#open) {
      if (now - answer.startedAt < LONGEST_OPEN_MILLIS) {
        return;
      }
      this.#open.delete(answer);
    }
  }

  #largeBytesPerMilli(now: number): number {
    const width = this.#width.bytesPerMilli(now);
    const short = this.#decayed(now) / SHORT_WINDOW_MILLIS;
    return Math.max(width * LEAST_LARGE_SHARE, width * PLANNED_SHARE - short);
  }

  #decayed(now: number): number {
    return this.#shortBytes * Math.exp((this.#shortAt - now) / SHORT_WINDOW_MILLIS);
  }
}
