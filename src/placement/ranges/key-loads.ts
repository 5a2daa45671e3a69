/**
 * Loads of single numeric keys from reports of routers, averaged with exponential decay. Busy keys are listed in order with
 * prefix sums, so that the cost of planning depends on the number of busy keys. Reports are far more frequent than plans, so
 * a report updates only its own key, and the list is rebuilt on demand by one pass over all keys, without sorting.
 */
import { type KeySpan, MAX_KEY } from '../../model/key-range.js';

const DEFAULT_HALF_LIFE_MILLIS = 3000;
/** Interval at which the decay is applied, as a share of the half-life. */
const DECAY_STEP_SHARE = 1 / 6;
/** Minimum time that the first reports are taken to cover. */
const MIN_COVERED_MILLIS = 1000;
/** A key with less work than this is forgotten. */
const MIN_WORK_MILLIS = 0.05;

const KEY_COUNT = MAX_KEY + 1;

/** Busy keys in ascending order, with prefix sums of their work. */
interface SortedLoads {
  readonly keys: Uint16Array;
  /** `sums[i]` is the work of `keys[0]` to `keys[i - 1]`; one element longer than `keys`. */
  readonly sums: Float64Array;
}

/** A slice of the list of busy keys: indexes from `first` up to, but not including, `end`. */
export interface BusyKeySlice {
  readonly first: number;
  readonly end: number;
}

export class KeyLoads {
  /** Decayed work by key; 0 if the key isn't busy. */
  readonly #workByKey = new Float64Array(KEY_COUNT);
  #busyKeys = 0;
  #sorted: SortedLoads | null = null;
  #decayedAt: number | null = null;
  /** Times of the first and the latest report. */
  #firstAt: number | null = null;
  #latestAt = 0;

  /** A shorter `halfLifeMillis` shows changes sooner, but increases random variation. */
  constructor(readonly halfLifeMillis = DEFAULT_HALF_LIFE_MILLIS) {}

  /** Adds the work in milliseconds done for a key since the last report. Values that aren't valid keys are ignored. */
  add(key: number, workMillis: number, now: number): void {
    if (!Number.isInteger(key) || key < 0 || key > MAX_KEY) {
      return;
    }
    this.#decay(now);
    this.#firstAt ??= now - MIN_COVERED_MILLIS;
    this.#latestAt = now;
    const before = this.#workByKey[key] ?? 0;
    this.#workByKey[key] = before + workMillis;
    this.#busyKeys += Number(before === 0 && workMillis > 0);
    this.#sorted = null;
  }

  /** Returns the load of a key, in milliseconds of work per second. */
  loadOf(key: number): number {
    return (this.#workByKey[key] ?? 0) / this.#coveredSeconds();
  }

  /** Returns the load of a span, in milliseconds of work per second. */
  loadOfSpan(span: KeySpan): number {
    return this.loadOfSlice(this.busyKeysIn(span));
  }

  /** Returns the busy keys of a span. */
  busyKeysIn({ from, to }: KeySpan): BusyKeySlice {
    const { keys } = this.#getSorted();
    return { first: lowerBound(keys, from), end: lowerBound(keys, to + 1) };
  }

  /** Returns the load of a slice of busy keys, in milliseconds of work per second. */
  loadOfSlice({ first, end }: BusyKeySlice): number {
    const { sums } = this.#getSorted();
    return ((sums[end] ?? 0) - (sums[first] ?? 0)) / this.#coveredSeconds();
  }

  /** Returns the key with the highest load in a span; `undefined` if none has any load. */
  hottestKeyIn(span: KeySpan): number | undefined {
    const { first, end } = this.busyKeysIn(span);
    const { keys } = this.#getSorted();
    let hottest: number | undefined;
    for (const key of keys.subarray(first, end)) {
      if (hottest === undefined || (this.#workByKey[key] ?? 0) > (this.#workByKey[hottest] ?? 0)) {
        hottest = key;
      }
    }
    return hottest;
  }

  /** Returns the busy key at an index. */
  busyKeyAt(index: number): number {
    return this.#getSorted().keys[index] ?? 0;
  }

  #getSorted(): SortedLoads {
    this.#sorted ??= this.#sort();
    return this.#sorted;
  }

  #sort(): SortedLoads {
    const keys = new Uint16Array(this.#busyKeys);
    const sums = new Float64Array(this.#busyKeys + 1);
    let index = 0;
    let sum = 0;
    for (let key = 0; key < KEY_COUNT; key += 1) {
      const work = this.#workByKey[key] as number;
      if (work > 0) {
        sum += work;
        keys[index] = key;
        index += 1;
        sums[index] = sum;
      }
    }
    return { keys, sums };
  }

  /** Returns the number of seconds of work that the decayed sums represent. */
  #coveredSeconds(): number {
    const span = this.#latestAt - (this.#firstAt ?? this.#latestAt - MIN_COVERED_MILLIS);
    // Under a steady load the decayed sum converges to the work of this many seconds.
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
    for (let key = 0; key < KEY_COUNT; key += 1) {
      const work = (this.#workByKey[key] as number) * kept;
      this.#workByKey[key] = work < MIN_WORK_MILLIS ? 0 : work;
      this.#busyKeys += Number(work >= MIN_WORK_MILLIS);
    }
  }
}

/** Returns the index of the first key that isn't below `key`. */
function lowerBound(keys: Uint16Array, key: number): number {
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
