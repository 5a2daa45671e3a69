/** Decides whether an upstream that announced its slots has capacity for one more request of this router. */

/** Outstanding requests per slot from which on further ones wait in the router rather than at the upstream. */
const MAX_OUTSTANDING_PER_SLOT = 1.75;
/**
 * The same limit for a router without requests there. It is higher because the router would get no reports otherwise, but bounded because
 * all routers together must not flood the upstream.
 */
const MAX_OUTSTANDING_PER_SLOT_FOR_FIRST = 2;

export interface UpstreamUse {
  /** Slots shared by all routers. */
  readonly slots: number;
  /** Requests of this router there. */
  readonly inFlight: number;
  /** Reported outstanding requests of other routers. */
  readonly foreignLoad: number;
}

/**
 * Whether an upstream has capacity for one more request. It reports its outstanding requests from all routers and has a short queue of its
 * own; requests are sent there up to the limits above, so that some wait in that queue and no slot is idle.
 */
export function hasCapacity({ slots, inFlight, foreignLoad }: UpstreamUse): boolean {
  const perSlot = inFlight === 0 ? MAX_OUTSTANDING_PER_SLOT_FOR_FIRST : MAX_OUTSTANDING_PER_SLOT;
  return inFlight <= slots && inFlight + foreignLoad < slots * perSlot;
}

/** Returns the outstanding requests of others below which a router that has requests there may send one more. */
export function maxForeignLoad({ slots, inFlight }: UpstreamUse): number {
  return slots * MAX_OUTSTANDING_PER_SLOT - inFlight;
}
