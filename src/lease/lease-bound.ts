/**
 * The bound after which a lease is over.
 *
 * Two clocks are involved: the holder's, on which the lease ends at `validUntil = stamp + leaseMillis`, and the granter's,
 * on which the granter decides that it has ended. They are never compared; only the lengths of intervals are.
 *
 * 1. The holder stamps an answer at real time `s` and the granter receives it at `r >= s`.
 * 2. The lease that is based on that stamp ends when the holder's clock has run `leaseMillis` since `s`. While it does so, the
 *    granter's clock runs at most `leaseMillis * (1 + clockRateError)`, whatever the delay of the renewal and however
 *    long either process pauses: a pause stops the process, not its clock, which counts suspensions of the machine as
 *    well (`src/clock`). A granter's clock may stand still in a suspension: it then waits longer.
 * 3. So the lease has ended once the granter's clock shows more than `receivedAt + leaseMillis * (1 + clockRateError)`.
 *
 * For a change of leaders: a renewal leaves only after a quorum round that began after its stamp was received. Some
 * voter of the next leader took part in that round before it voted (afterwards it would have rejected the older term).
 * So the next leader was elected after the stamp was made, and step 2 holds from its election on: every lease of an
 * earlier leader has ended once `electedAt + leaseMillis * (1 + clockRateError)` has passed on the next leader's clock.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LeaseTimings } from './types.js';

/** Returns the maximum duration of a lease on the granter's clock, from the receipt of the stamp that it is based on. */
export function longestLeaseMillis(timings: Omit<LeaseTimings, 'renewMillis'>): number {
  return timings.leaseMillis * (1 + timings.clockRateError);
}

/** Returns the last time on the granter's clock at which a lease may still be valid; it is over strictly after that. */
export function leaseBound(timings: LeaseTimings, receivedAt: MonotonicMillis): MonotonicMillis {
  return receivedAt + longestLeaseMillis(timings);
}
