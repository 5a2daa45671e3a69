/**
 * Load of single numeric keys, from reports of routers; older reports count for less. Keys with load are listed in order, with
 * running sums, so that planning costs by how many keys are busy. Reports come far more often than plans are made, so a report
 * costs by itself, and the list is made anew by one pass over all keys, without sorting, when it is asked for.
 */
import { type KeySpan, LARGEST_KEY } from '../../model/key-range.js';

/** Loads lose half of their weight in this time unless told otherwise. */
const DEFAULT_HALF_LIFE_MILLIS = 3000;
/** How often the loss is applied, as a share of the half-life. */
const DECAY_STEP_SHARE = 1 / 6;
/** The first reports stand for this long at least. */
const LEAST_SPAN_MILLIS = 1000;
/** A key with less work than this, in milliseconds, is forgotten. */
const LEAST_WORK_MILLIS = 0.05;

const KEYS = LARGEST_KEY + 1;

/** Busy keys in order, and the work of all before each. */
interface SortedLoads {
  readonly keys: Uint16Array;
  /** `sums[i]`: work of `keys[0]` to `keys[i - 1]`; one longer than `keys`. */
  readonly sums: Float64Array;
}

/** A part of the busy keys by their places: from `first` up to, not including, `end`. */
export interface BusyPart {
  readonly first: number;
  readonly end: number;
}

export class KeyLoads {
  /** By key; 0: not busy. */
  readonly #works = new Float64Array(KEYS);
  #busyKeys = 0;
  #sorted: SortedLoads | null = null;
  #decayedAt: number | null = null;
  /** When the first report came, and the latest. */
  #firstAt: number | null = null;
  #latestAt = 0;

  /** `halfLifeMillis`: the shorter, the sooner a change shows, and the more chance tells. */
  constructor(readonly halfLifeMillis = DEFAULT_HALF_LIFE_MILLIS) {}

  /** Work in milliseconds that was done for a key since the last report. What is no key has no load. */
  add(key: number, workMillis: number, now: number): void {
    if (!Number.isInteger(key) || key < 0 || key > LARGEST_KEY) {
      return;
    }
    this.#decay(now);
    this.#firstAt ??= now - LEAST_SPAN_MILLIS;
    this.#latestAt = now;
    const before = this.#works[key] ?? 0;
    this.#works[key] = before + workMillis;
    this.#busyKeys += Number(before === 0 && workMillis > 0);
    this.#sorted = null;
  }

  /** Work a second of a key, in milliseconds. */
  of(key: number): number {
    return (this.#works[key] ?? 0) / this.#sumSeconds();
  }

  /** Work a second of a span. */
  ofSpan(span: KeySpan): number {
    return this.ofPart(this.busyIn(span));
  }

  /** The busy keys of a span. */
  busyIn({ from, to }: KeySpan): BusyPart {
    const { keys } = this.#view();
    return { first: placeOf(keys, from), end: placeOf(keys, to + 1) };
  }

  /** Work a second of some busy keys. */
  ofPart({ first, end }: BusyPart): number {
    const { sums } = this.#view();
    return ((sums[end] ?? 0) - (sums[first] ?? 0)) / this.#sumSeconds();
  }

  /** The key of a span with the most work; `undefined` if none has any. */
  hottestIn(span: KeySpan): number | undefined {
    const { first, end } = this.busyIn(span);
    const { keys } = this.#view();
    let hottest: number | undefined;
    for (const key of keys.subarray(first, end)) {
      if (hottest === undefined || (this.#works[key] ?? 0) > (this.#works[hottest] ?? 0)) {
        hottest = key;
      }
    }
    return hottest;
  }

  /** The busy key at a place. */
  keyAt(place: number): number {
    return this.#view().keys[place] ?? 0;
  }

  #view(): SortedLoads {
    this.#sorted ??= this.#sort();
    return this.#sorted;
  }

  #sort(): SortedLoads {
    const keys = new Uint16Array(this.#busyKeys);
    const sums = new Float64Array(this.#busyKeys + 1);
    let place = 0;
    let sum = 0;
    for (let key = 0; key < KEYS; key += 1) {
      const work = this.#works[key] as number;
      if (work > 0) {
        sum += work;
        keys[place] = key;
        place += 1;
        sums[place] = sum;
      }
    }
    return { keys, sums };
  }

  /** How many times a second's work the sums are by now. */
  #sumSeconds(): number {
    const span = this.#latestAt - (this.#firstAt ?? this.#latestAt - LEAST_SPAN_MILLIS);
    // Reports of a second add up to this many times a second's work once they are steady.
    const steadySeconds = this.halfLifeMillis / Math.LN2 / 1000;
    return steadySeconds * (1 - 0.5 ** (span / this.halfLifeMillis));
  }

  #decay(now: number): void {
    this.#decayedAt ??= now;
    const elapsed = now - this.#decayedAt;
    if (elapsed < this.halfLifeMillis * DECAY_STEP_SHARE) {
      return;
    }
    this.#decayedAt = now;
    this.#sorted = null;
    const kept = 0.5 ** (elapsed / this.halfLifeMillis);
    this.#busyKeys = 0;
    for (let key = 0; key < KEYS; key += 1) {
      const work = (this.#works[key] as number) * kept;
      this.#works[key] = work < LEAST_WORK_MILLIS ? 0 : work;
      this.#busyKeys += Number(work >= LEAST_WORK_MILLIS);
    }
  }
}

/** Place of the first key that isn't below `key`. */
function placeOf(keys: Uint16Array, key: number): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((keys[middle] ?? 0) < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
