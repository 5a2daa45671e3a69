/**
 * What answers are known to be like, by host and first part of the path: whether they were lately read whole, or one had to be streamed. Uses
 * no clock.
 */

/** Bound on places; the one used least recently is forgotten first. */
const MAX_PLACES = 1000;
/** For this time after an answer that had to be streamed, those of its place count as large. */
const STREAMED_MILLIS = 300_000;
const MAX_PLACE_LENGTH = 256;

/** Where requests go whose answers are alike. */
export type AnswerPlace = string;

interface KnownPlace {
  /** Until when its answers count as large. */
  readonly largeUntil: number;
}

const SMALL: KnownPlace = { largeUntil: Number.NEGATIVE_INFINITY };

/** Returns the place of a request to a path, which may have a query. */
export function answerPlaceOf(host: string, path: string): AnswerPlace {
  const [, segment = ''] = path.split(/[/?]/, 2);
  return `${host}/${segment}`.slice(0, MAX_PLACE_LENGTH);
}

export class KnownAnswers {
  readonly #places = new Map<AnswerPlace, KnownPlace>();

  recordWhole(place: AnswerPlace, now: number): void {
    this.#set(place, this.#isLarge(place, now) ? this.#places.get(place) : SMALL);
  }

  recordStreamed(place: AnswerPlace, now: number): void {
    this.#set(place, { largeUntil: now + STREAMED_MILLIS });
  }

  /** Whether the next answer is expected to be read whole; not if nothing is known. */
  isSmall(place: AnswerPlace, now: number): boolean {
    return this.#places.has(place) && !this.#isLarge(place, now);
  }

  #isLarge(place: AnswerPlace, now: number): boolean {
    return now < (this.#places.get(place) ?? SMALL).largeUntil;
  }

  #set(place: AnswerPlace, known: KnownPlace = SMALL): void {
    this.#places.delete(place);
    this.#places.set(place, known);
    const [oldest] = this.#places.keys();
    if (this.#places.size > MAX_PLACES && oldest !== undefined) {
      this.#places.delete(oldest);
    }
  }
}
