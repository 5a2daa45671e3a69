/** Changes of ranges as the registry takes them; each names the fence that it relies on. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import type { RangeUpdate } from '../../registry/types.js';

/** `former`: who may still hold the keys while there is no owner. */
export function updateOf(
  range: KeyRange,
  { from, to }: KeySpan,
  owner: UpstreamId | null,
  former: UpstreamId | null,
): RangeUpdate {
  return { from, to, expectedFence: range.fence, owner, former };
}

/** Gives the spans of a range that nobody holds to those that are planned for them. */
export function giveSpans(range: KeyRange, spans: readonly PlannedSpan[]): RangeUpdate[] {
  return spans.map((span) => updateOf(range, span, span.target, null));
}

/**
 * Takes spans off their owners, on their way to others. A span that has no owner any more stays as it is: the one before may
 * still hold it, and must not be forgotten.
 */
export function takeSpans(ranges: readonly KeyRange[], spans: readonly PlannedSpan[]): RangeUpdate[] {
  return spans.flatMap((span) => {
    const range = ranges.find(({ from, to }) => from <= span.from && span.to <= to);
    const isOwned = range !== undefined && range.owner !== null;
    return isOwned ? [updateOf(range, span, null, range.owner)] : [];
  });
}

/**
 * Puts neighbours of one owner under one fence, so that one grant stands for them. The owner holds them meanwhile, and
 * nobody else does.
 */
export function joinNeighbours(ranges: readonly KeyRange[]): RangeUpdate[] {
  return ranges.flatMap((range, position) => {
    const isAlike = (other: KeyRange | undefined): boolean =>
      range.owner !== null && other?.owner === range.owner;
    const joins = isAlike(ranges[position - 1]) || isAlike(ranges[position + 1]);
    return joins ? [updateOf(range, range, range.owner, null)] : [];
  });
}
