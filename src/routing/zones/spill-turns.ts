/** Spreads the parts of a zone's requests that go to other zones evenly over a router's own requests. */
import type { SpillPart } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';
import type { Random } from '../random.js';

/** Requests that went there out of turn make up for so many turns at most. */
const MOST_AHEAD = 50;
/** Turns that couldn't be taken, since nobody there was reached, are made up for by so many at most. */
const MOST_OWED = 2;

export class SpillTurns {
  /** What each zone is owed, in requests. */
  readonly #owed = new Map<Zone, number>();

  /** Zone that the next request goes to; `null`: none of the others. Routers begin at different places, so that few requests of each add up. */
  next(parts: readonly SpillPart[], random: Random): Zone | null {
    for (const zone of this.#owed.keys()) {
      if (!parts.some((part) => part.zone === zone)) {
        this.#owed.delete(zone);
      }
    }
    let most: Zone | null = null;
    for (const { zone, share } of parts) {
      this.#owed.set(zone, Math.min(MOST_OWED, (this.#owed.get(zone) ?? random.share()) + share));
      most = most === null || this.owedTo(zone) > this.owedTo(most) ? zone : most;
    }
    return most !== null && this.owedTo(most) >= 1 ? most : null;
  }

  /** A request went to a zone, in its turn or not. */
  sent(zone: Zone): void {
    const owed = this.#owed.get(zone);
    if (owed !== undefined) {
      this.#owed.set(zone, Math.max(-MOST_AHEAD, owed - 1));
    }
  }

  /** Whether one may go to a zone before its turn, which is then left out. */
  mayGoAhead(zone: Zone): boolean {
    return this.owedTo(zone) > -MOST_AHEAD && this.#owed.has(zone);
  }

  private owedTo(zone: Zone): number {
    return this.#owed.get(zone) ?? 0;
  }
}
