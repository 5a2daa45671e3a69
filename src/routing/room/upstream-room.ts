/** Whether an upstream that announced its slots has room for one more request of this router. */

/** Outstanding requests, for each slot, at which one more waits in the router rather than at the upstream. */
const MOST_OUTSTANDING_PER_SLOT = 1.75;
/** The same for a router that has none there: it would learn nothing otherwise, yet all routers together must not flood it. */
const FIRST_OUTSTANDING_PER_SLOT = 2;

export interface UpstreamUse {
  /** Slots that all routers share. */
  readonly slots: number;
  /** Requests of this router there. */
  readonly inFlight: number;
  /** Outstanding requests of other routers, as reported. */
  readonly foreignLoad: number;
}

/**
 * An upstream says how much is outstanding there, from all routers, and has a short queue of its own. Requests wait there while that
 * queue is shorter than its slots and a half, so that no slot idles.
 */
export function hasRoom({ slots, inFlight, foreignLoad }: UpstreamUse): boolean {
  const perSlot = inFlight === 0 ? FIRST_OUTSTANDING_PER_SLOT : MOST_OUTSTANDING_PER_SLOT;
  return inFlight <= slots && inFlight + foreignLoad < slots * perSlot;
}

/** Outstanding work of others below which a router that has requests there may send one more. */
export function mostForeignLoad({ slots, inFlight }: UpstreamUse): number {
  return slots * MOST_OUTSTANDING_PER_SLOT - inFlight;
}
