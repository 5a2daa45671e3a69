/** Looks for the fewest neighbouring keys that carry a wanted load. */
import { type KeyRange, type KeySpan, LARGEST_KEY, spanLength } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';

/** How far the load of a moved span may be from what is wanted. */
const SHIFT_LEAST_FACTOR = 0.75;
const SHIFT_MOST_FACTOR = 1.35;
/** Most keys that one move takes, as a share of all keys. */
const MOST_KEYS_SHARE = 0.05;

/** How much load a move should shift, in milliseconds of work a second. */
export interface Shift {
  readonly wanted: number;
  /** The most that a single key may carry. */
  readonly most: number;
}

/** The fewest neighbouring keys of one owner that carry about the load wanted. */
export function shortestSpan(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  shift: Shift,
  planned: readonly KeySpan[],
): KeySpan | undefined {
  let best: KeySpan | undefined;
  for (const range of ranges) {
    for (const free of withoutSpans(range, planned)) {
      const span = shortestSpanIn(free, loads, shift);
      if (span !== undefined && (best === undefined || spanLength(span) < spanLength(best))) {
        best = span;
      }
    }
  }
  return best;
}

/** What is left of a span without those that are planned already. */
function withoutSpans(span: KeySpan, planned: readonly KeySpan[]): KeySpan[] {
  let parts: KeySpan[] = [{ from: span.from, to: span.to }];
  for (const { from, to } of planned) {
    parts = parts.flatMap((part) => {
      if (to < part.from || from > part.to) {
        return [part];
      }
      const before = { from: part.from, to: from - 1 };
      const after = { from: to + 1, to: part.to };
      return [before, after].filter((rest) => rest.to >= rest.from);
    });
  }
  return parts;
}

function shortestSpanIn(range: KeySpan, loads: KeyLoads, { wanted, most }: Shift): KeySpan | undefined {
  const mostKeys = Math.ceil((LARGEST_KEY + 1) * MOST_KEYS_SHARE);
  const busy = loads.busyIn(range);
  const least = wanted * SHIFT_LEAST_FACTOR;
  let best: KeySpan | undefined;
  let first = busy.first;
  for (let last = busy.first; last < busy.end; last += 1) {
    const end = last + 1;
    const isTooLong = (): boolean => loads.keyAt(last) - loads.keyAt(first) >= mostKeys;
    while (first < last && (loads.ofPart({ first: first + 1, end }) >= least || isTooLong())) {
      first += 1;
    }
    const load = loads.ofPart({ first, end });
    const isMost = load <= wanted * SHIFT_MOST_FACTOR || (first === last && load <= most);
    const span = { from: loads.keyAt(first), to: loads.keyAt(last) };
    if (load >= least && isMost && (best === undefined || spanLength(span) < spanLength(best))) {
      best = span;
    }
  }
  return best;
}
