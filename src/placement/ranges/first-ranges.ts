/** First keys of upstreams that own none, as those that join later: they serve nobody until they have some. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';
import { OwnerLoads, type RangeServer } from './owner-loads.js';
import { endOfPiece, type PlannedSpan } from './range-planner.js';

/** Share of the busiest owner's load that one gets: it is slow at first, and more can follow once it is seen to do well. */
const FIRST_SHARE = 0.35;
/** Upstreams that get their first keys at once. */
const FIRST_AT_ONCE = 4;

/** Spans for upstreams that own nothing and are to get nothing yet, each off the owner that is the busiest then. */
export function planFirstRanges(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
  underWay: readonly PlannedSpan[],
): PlannedSpan[] {
  const settled = new Set<UpstreamId | null>([
    ...ranges.map(({ owner }) => owner),
    ...underWay.map(({ target }) => target),
  ]);
  const newcomers = servers
    .filter(({ upstream, isFull }) => !settled.has(upstream) && isFull !== true)
    .slice(0, FIRST_AT_ONCE);
  const use = new OwnerLoads(servers, ranges, loads);
  const planned: PlannedSpan[] = [];
  for (const { upstream } of newcomers) {
    const span = firstSpan(ranges, loads, use, planned);
    if (span !== undefined) {
      planned.push({ ...span, target: upstream });
    }
  }
  return planned;
}

/** The beginning of the heaviest range of the busiest owner that gives nothing yet. */
function firstSpan(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  use: OwnerLoads,
  planned: readonly PlannedSpan[],
): { from: number; to: number } | undefined {
  const isGiving = (range: KeyRange): boolean =>
    planned.some(({ from }) => range.from <= from && from <= range.to);
  const giving = new Set(ranges.filter(isGiving).map(({ owner }) => owner));
  const [busiest] = use.busiest(0).filter(({ upstream }) => !giving.has(upstream));
  const owned = ranges.filter(({ owner, from, to }) => owner === busiest?.upstream && to > from);
  const heaviest = owned.reduce<KeyRange | undefined>(
    (best, range) => (best === undefined || use.ofSpan(range) > use.ofSpan(best) ? range : best),
    undefined,
  );
  if (busiest === undefined || heaviest === undefined) {
    return undefined;
  }
  const end = endOfPiece(heaviest, loads, use.of(busiest.upstream) * FIRST_SHARE);
  return { from: heaviest.from, to: Math.min(end, heaviest.to - 1) };
}
