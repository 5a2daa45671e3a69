/**
 * Paces requests for large answers to the width of the router's link, so that short answers aren't delayed behind large ones. Guards
 * against loads in which large answers are requested faster than the link carries them.
 */
import { LinkWidth } from './link-width.js';

/** An answer is large if it occupies the link for this long, because short answers behind it are late by as much. */
const LARGE_MILLIS = 100;
/** Share of the link that is planned for; the rest absorbs bursts. */
const PLANNED_SHARE = 0.9;
/** Minimum share of the link's width for large answers, whatever short ones need, so that they aren't starved. */
const MIN_LARGE_SHARE = 0.1;
/** Large answers are requested this far ahead of the link: about the time in which an upstream begins to answer. */
const AHEAD_MILLIS = 150;
/** A request for a large answer that hasn't ended after this time is considered failed. */
const MAX_OPEN_MILLIS = 5000;
/**
 * If the link's width falls below this share of the previous estimate, the open answers are counted again, since they weren't carried at
 * the expected pace.
 */
const NARROWED_SHARE = 0.75;
/** Averaging window of the traffic of short answers, which is reserved for them. */
const SHORT_WINDOW_MILLIS = 1000;

/** A large answer that was requested and hasn't been received completely. */
export interface OpenAnswer {
  bytes: number;
  readonly startedAt: number;
}

export class LinkPacer {
  readonly #width: LinkWidth;
  #shortBytes = 0;
  #shortAt = 0;
  /** When all requested large answers will have been carried. */
  #freeAt = 0;
  /** In order of their start. */
  readonly #open = new Set<OpenAnswer>();
  #lastBytesPerMilli: number;

  /** `bytesPerMilli`: configured width of the link, each way. */
  constructor(bytesPerMilli: number) {
    this.#width = new LinkWidth(bytesPerMilli);
    this.#lastBytesPerMilli = bytesPerMilli;
  }

  isLarge(bytes: number): boolean {
    return bytes >= LARGE_MILLIS * this.#width.configuredBytesPerMilli;
  }

  /** Returns milliseconds until a large answer may be requested behind `aheadBytes` that are waiting; 0 if it may be requested now. */
  waitMillis(aheadBytes: number, now: number): number {
    const carriedAt = Math.max(this.#freeAt, now) + aheadBytes / this.#largeBytesPerMilli(now);
    return Math.max(0, carriedAt - now - AHEAD_MILLIS);
  }

  /** Returns how long the link takes to carry an answer of this size alone. */
  carryMillis(bytes: number, now: number): number {
    return bytes / this.#width.bytesPerMilli(now);
  }

  /** Returns the most that the link can carry in this time. */
  mostBytes(millis: number): number {
    return millis * this.#width.configuredBytesPerMilli;
  }

  /** Records the request for a large answer with an expected size. */
  onStart(bytes: number, now: number): OpenAnswer {
    this.#freeAt = Math.max(this.#freeAt, now) + bytes / this.#largeBytesPerMilli(now);
    this.#dropFailed(now);
    const answer = { bytes, startedAt: now };
    this.#open.add(answer);
    return answer;
  }

  /** Corrects the size of a requested answer. */
  onSizeKnown(answer: OpenAnswer, bytes: number, now: number): void {
    this.#freeAt += (bytes - answer.bytes) / this.#largeBytesPerMilli(now);
    answer.bytes = bytes;
    if (!this.isLarge(bytes)) {
      this.#open.delete(answer);
    }
  }

  /** Records that a requested answer failed. */
  onFailure(answer: OpenAnswer, now: number): void {
    this.onSizeKnown(answer, 0, now);
  }

  /** Records a received short answer. */
  onShortAnswer(bytes: number, now: number): void {
    this.#shortBytes = this.#decayedShortBytes(now) + bytes;
    this.#shortAt = now;
  }

  /** Records a received large answer; `tookMillis` is the time from its first to its last byte. */
  onLargeAnswer(bytes: number, tookMillis: number, now: number): void {
    this.#width.addSample(bytes, tookMillis, now);
    const [earliest] = this.#open;
    if (earliest !== undefined) {
      this.#open.delete(earliest);
    }
    this.#adjustToWidth(now);
  }

  /** Returns the currently estimated width of the link. */
  widthBytesPerMilli(now: number): number {
    return this.#width.bytesPerMilli(now);
  }

  /** Reserves the link for the open answers if it is narrower than when they were requested. */
  #adjustToWidth(now: number): void {
    const width = this.#width.bytesPerMilli(now);
    if (width < this.#lastBytesPerMilli * NARROWED_SHARE) {
      this.#dropFailed(now);
      const openBytes = [...this.#open].reduce((sum, { bytes }) => sum + bytes, 0);
      this.#freeAt = Math.max(this.#freeAt, now + openBytes / this.#largeBytesPerMilli(now));
    }
    this.#lastBytesPerMilli = width;
  }

  #dropFailed(now: number): void {
    for (const answer of this.#open) {
      if (now - answer.startedAt < MAX_OPEN_MILLIS) {
        return;
      }
      this.#open.delete(answer);
    }
  }

  #largeBytesPerMilli(now: number): number {
    const width = this.#width.bytesPerMilli(now);
    const short = this.#decayedShortBytes(now) / SHORT_WINDOW_MILLIS;
    return Math.max(width * MIN_LARGE_SHARE, width * PLANNED_SHARE - short);
  }

  #decayedShortBytes(now: number): number {
    return this.#shortBytes * Math.exp((this.#shortAt - now) / SHORT_WINDOW_MILLIS);
  }
}
