/** Builds range changes for the registry; each names the fence it is based on. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import type { RangeUpdate } from '../../registry/types.js';

/** Builds the update of a span. `former` is the upstream that may still hold the keys while there is no owner. */
export function spanUpdate(
  range: KeyRange,
  { from, to }: KeySpan,
  owner: UpstreamId | null,
  former: UpstreamId | null,
): RangeUpdate {
  return { from, to, expectedFence: range.fence, owner, former };
}

/** Assigns the spans of a range without holder to their planned targets. */
export function assignSpans(range: KeyRange, spans: readonly PlannedSpan[]): RangeUpdate[] {
  return spans.map((span) => spanUpdate(range, span, span.target, null));
}

/**
 * Revokes spans that are to be moved from their owners. A span that is already unowned stays as it is: its previous
 * owner may still hold it and must stay recorded.
 */
export function revokeSpans(ranges: readonly KeyRange[], spans: readonly PlannedSpan[]): RangeUpdate[] {
  return spans.flatMap((span) => {
    const range = ranges.find(({ from, to }) => from <= span.from && span.to <= to);
    const isOwned = range !== undefined && range.owner !== null;
    return isOwned ? [spanUpdate(range, span, null, range.owner)] : [];
  });
}

/**
 * Puts neighbouring ranges of one owner under one fence, so that one grant covers them. The owner keeps holding them
 * meanwhile, and no other upstream does.
 */
export function joinNeighbours(ranges: readonly KeyRange[]): RangeUpdate[] {
  return ranges.flatMap((range, position) => {
    const hasSameOwner = (other: KeyRange | undefined): boolean =>
      range.owner !== null && other?.owner === range.owner;
    const joins = hasSameOwner(ranges[position - 1]) || hasSameOwner(ranges[position + 1]);
    return joins ? [spanUpdate(range, range, range.owner, null)] : [];
  });
}
