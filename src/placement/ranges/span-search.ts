/** Searches for the shortest span of keys that carries a given load. */
import { type KeyRange, type KeySpan, MAX_KEY, spanLength } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';

/** Bounds of a moved span's load, as factors on the target load. */
const MIN_SHIFT_FACTOR = 0.75;
const MAX_SHIFT_FACTOR = 1.35;
/** Maximum number of keys in one move, as a share of all keys. */
const MAX_KEYS_SHARE = 0.05;

/** Counts the spans that a search compared. */
export interface SearchCount {
  spans: number;
}

/** Load that a move should shift, in milliseconds of work per second. */
export interface LoadShift {
  /** Target load of the span. */
  readonly wanted: number;
  /** Maximum load of a span that consists of a single key. */
  readonly most: number;
}

/** Returns the shortest span in the ranges of one owner that carries about the target load. */
export function shortestSpan(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  shift: LoadShift,
  planned: readonly KeySpan[],
  count: SearchCount,
): KeySpan | undefined {
  let best: KeySpan | undefined;
  for (const range of ranges) {
    count.spans += 1 + planned.length;
    for (const free of withoutSpans(range, planned)) {
      const span = shortestSpanIn(free, loads, shift);
      if (span !== undefined && (best === undefined || spanLength(span) < spanLength(best))) {
        best = span;
      }
    }
  }
  return best;
}

/** Returns the parts of a span that aren't covered by moves already planned. */
function withoutSpans(span: KeySpan, planned: readonly KeySpan[]): KeySpan[] {
  let parts: KeySpan[] = [{ from: span.from, to: span.to }];
  for (const { from, to } of planned) {
    parts = parts.flatMap((part) => {
      if (to < part.from || from > part.to) {
        return [part];
      }
      const before = { from: part.from, to: from - 1 };
      const after = { from: to + 1, to: part.to };
      return [before, after].filter((remainder) => remainder.to >= remainder.from);
    });
  }
  return parts;
}

function shortestSpanIn(range: KeySpan, loads: KeyLoads, { wanted, most }: LoadShift): KeySpan | undefined {
  const maxKeys = Math.ceil((MAX_KEY + 1) * MAX_KEYS_SHARE);
  const busy = loads.busyKeysIn(range);
  const minLoad = wanted * MIN_SHIFT_FACTOR;
  let best: KeySpan | undefined;
  let first = busy.first;
  for (let last = busy.first; last < busy.end; last += 1) {
    const end = last + 1;
    const isTooLong = (): boolean => loads.busyKeyAt(last) - loads.busyKeyAt(first) >= maxKeys;
    while (first < last && (loads.loadOfSlice({ first: first + 1, end }) >= minLoad || isTooLong())) {
      first += 1;
    }
    const load = loads.loadOfSlice({ first, end });
    const isWithinMax = load <= wanted * MAX_SHIFT_FACTOR || (first === last && load <= most);
    const span = { from: loads.busyKeyAt(first), to: loads.busyKeyAt(last) };
    if (load >= minLoad && isWithinMax && (best === undefined || spanLength(span) < spanLength(best))) {
      best = span;
    }
  }
  return best;
}
