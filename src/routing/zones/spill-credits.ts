/** Spreads the parts of a zone's requests that go to other zones evenly over a router's own requests. */
import type { SpillShare } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';
import type { Random } from '../random.js';

/** Limit of a zone's negative credit, in requests, from requests that were sent there before their time. */
const MAX_DEBT = 50;
/** Limit of a zone's credit, in requests, which grows while no upstream there is reachable. */
const MAX_CREDIT = 2;

export class SpillCredits {
  /** Credit of each zone, in requests. */
  readonly #credits = new Map<Zone, number>();

  /**
   * Returns the zone that the next request goes to; `null` for the router's own zone. Credits start at random values, so that the shares are kept
   * over many routers with few requests each.
   */
  nextZone(parts: readonly SpillShare[], random: Random): Zone | null {
    for (const zone of this.#credits.keys()) {
      if (!parts.some((part) => part.zone === zone)) {
        this.#credits.delete(zone);
      }
    }
    let largest: Zone | null = null;
    for (const { zone, share } of parts) {
      this.#credits.set(zone, Math.min(MAX_CREDIT, (this.#credits.get(zone) ?? random.share()) + share));
      largest = largest === null || this.creditOf(zone) > this.creditOf(largest) ? zone : largest;
    }
    return largest !== null && this.creditOf(largest) >= 1 ? largest : null;
  }

  /** Records a request that was sent to a zone, whether or not `nextZone` returned that zone. */
  sent(zone: Zone): void {
    const credit = this.#credits.get(zone);
    if (credit !== undefined) {
      this.#credits.set(zone, Math.max(-MAX_DEBT, credit - 1));
    }
  }

  /** Whether a request may be sent to a zone before its credit is due; a later one is then left out. */
  maySendAhead(zone: Zone): boolean {
    return this.creditOf(zone) > -MAX_DEBT && this.#credits.has(zone);
  }

  private creditOf(zone: Zone): number {
    return this.#credits.get(zone) ?? 0;
  }
}
