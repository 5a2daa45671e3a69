/** Outstanding work of other routers at one upstream, from the loads that its answers and probes report. */

/** Reports within this time are averaged: each is old when it comes, and following the latest would swing. */
const AVERAGE_MILLIS = 250;
/** A report loses two thirds of its weight in this time. */
const DECAY_MILLIS = 1000;
/** Work of others that is believed at most, for each slot: one that says more is no fuller, or says it wrongly. */
const MOST_PER_SLOT = 4;

export class ReportedLoad {
  #foreign = 0;
  #at = Number.NEGATIVE_INFINITY;

  /** Decayed outstanding work of others, in requests. */
  foreign(now: number): number {
    return this.#foreign * Math.exp((this.#at - now) / DECAY_MILLIS);
  }

  /** Weight of what was reported last, from 1 when it came to 0. */
  freshness(now: number): number {
    return Math.exp((this.#at - now) / DECAY_MILLIS);
  }

  /** An answer or a probe reported `load` outstanding requests, this router's own `inFlight` among them. */
  report(load: number, inFlight: number, slots: number, now: number): void {
    const weight = 1 - Math.exp((this.#at - now) / AVERAGE_MILLIS);
    const before = this.foreign(now);
    this.#foreign = before + weight * (foreignOf(load, inFlight, slots) - before);
    this.#at = now;
  }

  /** It turned work away for want of room; `load` is `Infinity` if it didn't say how much is outstanding. */
  refusedAsFull(load: number, inFlight: number, slots: number, now: number): void {
    this.#foreign = foreignOf(load, inFlight, slots);
    this.#at = now;
  }

  /** Milliseconds until the work of others has decayed below `most`; 0 if it has. */
  millisUntilBelow(most: number, now: number): number {
    const foreign = this.foreign(now);
    return foreign < most ? 0 : DECAY_MILLIS * Math.log(foreign / most);
  }

  /** Another run: what was reported of the one before says nothing. */
  forget(): void {
    this.#at = Number.NEGATIVE_INFINITY;
  }
}

function foreignOf(load: number, inFlight: number, slots: number): number {
  return Math.min(slots * MOST_PER_SLOT, Math.max(0, load - inFlight));
}
