/** Numeric keys, and ranges of them owned by upstreams. */
import type { Epoch, Revision, ServiceName, UpstreamId } from './identifiers.js';

/** Largest key of a keyspace of kind `range`; the smallest is 0. */
export const MAX_KEY = 65_535;

/** Name of the one keyspace of a service whose keys are numbers. */
export const RANGE_KEYSPACE = 'numbers';

/** Consecutive keys, both ends inclusive. */
export interface KeySpan {
  readonly from: number;
  readonly to: number;
}

/** Ownership of a span of keys. The ranges of a service cover all its keys and don't overlap. */
export interface KeyRange extends KeySpan {
  readonly service: ServiceName;
  /** `null` while the range is unowned and must not be served. */
  readonly owner: UpstreamId | null;
  /** Fencing token: the revision of the decision that assigned this owner, or none. */
  readonly fence: Epoch;
  /** Previous owner if it may still hold the keys; set only while the range is unowned. */
  readonly former: UpstreamId | null;
  readonly revision: Revision;
}

/** Parses a key of a keyspace of kind `range`; returns `undefined` if it is invalid. */
export function parseNumericKey(text: string): number | undefined {
  const key = Number(text);
  return /^\d{1,5}$/.test(text) && key <= MAX_KEY ? key : undefined;
}

/** Index of the range that contains `key` in a list sorted by `from`; -1 if there is none. */
export function findRange(ranges: readonly KeySpan[], key: number): number {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle] as KeySpan;
    if (key < range.from) {
      high = middle - 1;
    } else if (key > range.to) {
      low = middle + 1;
    } else {
      return middle;
    }
  }
  return -1;
}

/** Number of keys in a span. */
export function spanLength({ from, to }: KeySpan): number {
  return to - from + 1;
}

/** Whether two spans share a key. */
export function overlaps(one: KeySpan, other: KeySpan): boolean {
  return one.from <= other.to && other.from <= one.to;
}

/** Whether `spans`, in any order, together contain all keys of `span`. */
export function covers(spans: readonly KeySpan[], span: KeySpan): boolean {
  const sorted = [...spans].sort((one, other) => one.from - other.from);
  const firstMissing = sorted.reduce(
    (first, { from, to }) => (from <= first && first <= to ? to + 1 : first),
    span.from,
  );
  return firstMissing > span.to;
}
