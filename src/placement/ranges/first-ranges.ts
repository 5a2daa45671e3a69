/** Plans the first ranges of upstreams that own none, e.g. because they joined later: they serve no requests until they own keys. */
import type { UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { KeyLoads } from './key-loads.js';
import { OwnerLoads, type RangeServer } from './owner-loads.js';
import { type PlannedSpan, pieceEnd } from './range-planner.js';

/** Share of the busiest owner's load that a first range carries: a new owner is slow at first, and more can follow once it performs well. */
const FIRST_SHARE = 0.35;
/** Maximum number of first ranges in one plan. */
const MAX_FIRST_RANGES = 4;

/** Plans a span for each upstream that owns no keys and is getting none, taken from the owner that is the busiest at that point. */
export function planFirstRanges(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  servers: readonly RangeServer[],
  underWay: readonly PlannedSpan[],
): PlannedSpan[] {
  const supplied = new Set<UpstreamId | null>([
    ...ranges.map(({ owner }) => owner),
    ...underWay.map(({ target }) => target),
  ]);
  const newcomers = servers
    .filter(({ upstream, isExcludedAsTarget: isFull }) => !supplied.has(upstream) && isFull !== true)
    .slice(0, MAX_FIRST_RANGES);
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

/** Returns the beginning of the heaviest range of the busiest owner that gives up no other span in this plan. */
function firstSpan(
  ranges: readonly KeyRange[],
  loads: KeyLoads,
  use: OwnerLoads,
  planned: readonly PlannedSpan[],
): { from: number; to: number } | undefined {
  const isSource = (range: KeyRange): boolean =>
    planned.some(({ from }) => range.from <= from && from <= range.to);
  const sources = new Set(ranges.filter(isSource).map(({ owner }) => owner));
  const [busiest] = use.busiest(0).filter(({ upstream }) => !sources.has(upstream));
  const owned = ranges.filter(({ owner, from, to }) => owner === busiest?.upstream && to > from);
  const heaviest = owned.reduce<KeyRange | undefined>(
    (best, range) => (best === undefined || use.loadOfSpan(range) > use.loadOfSpan(best) ? range : best),
    undefined,
  );
  if (busiest === undefined || heaviest === undefined) {
    return undefined;
  }
  const end = pieceEnd(heaviest, loads, use.loadOf(busiest.upstream) * FIRST_SHARE);
  return { from: heaviest.from, to: Math.min(end, heaviest.to - 1) };
}
