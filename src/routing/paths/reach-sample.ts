/** The upstreams to check after one was found out of direct reach. Each check may cost an upstream a connection, so there are few. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { Random } from '../random.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** Upstreams with requests under way, upstreams of the same service or zone, and others. */
const MAX_BUSY = 8;
const MAX_ALIKE = 4;
const MAX_OTHERS = 3;
/** An upstream that was heard this recently is in reach. */
const RECENTLY_HEARD_MILLIS = 100;

export function sampleOf(
  upstreams: Iterable<UpstreamState>,
  first: UpstreamState,
  random: Random,
  now: MonotonicMillis,
): UpstreamState[] {
  const isCandidate = (upstream: UpstreamState): boolean =>
    upstream !== first &&
    upstream.path.relay === null &&
    now - (upstream.heardAt ?? Number.NEGATIVE_INFINITY) >= RECENTLY_HEARD_MILLIS;
  const shuffled = [...upstreams]
    .filter(isCandidate)
    .map((upstream) => ({ upstream, order: random.share() }))
    .sort((one, other) => one.order - other.order)
    .map(({ upstream }) => upstream);
  const busy = shuffled
    .filter(({ inFlight }) => inFlight > 0)
    .sort((one, other) => other.inFlight - one.inFlight)
    .slice(0, MAX_BUSY);
  const rest = shuffled.filter((upstream) => !busy.includes(upstream));
  const isAlike = ({ service, zone }: UpstreamState): boolean =>
    service === first.service || zone === first.zone;
  const alike = rest.filter(isAlike).slice(0, MAX_ALIKE);
  const others = rest.filter((upstream) => !isAlike(upstream)).slice(0, MAX_OTHERS);
  return [...busy, ...alike, ...others];
}
