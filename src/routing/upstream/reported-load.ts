/** Outstanding requests of other routers at one upstream, from the loads that its answers and probes report. */

/** Averaging time of reports: each one is outdated on arrival, so following only the latest would oscillate. */
const AVERAGING_MILLIS = 250;
/** A report loses about two thirds of its weight in this time. */
const DECAY_MILLIS = 1000;
/** Without new reports, the estimate moves from the last report to the usual load of the upstream in this time. */
const RETURN_TO_USUAL_MILLIS = 1500;
/** Smoothing time of an upstream's usual load, and the time in which, without reports, the usual load of its zone replaces it. */
const USUAL_SMOOTHING_MILLIS = 5000;
const USUAL_DECAY_MILLIS = 10_000;
/** Maximum load of others per slot that is taken into account: an upstream that reports more isn't fuller, or its report is wrong. */
const MAX_LOAD_PER_SLOT = 4;

export class ReportedLoad {
  #foreignLoad = 0;
  #usualLoad = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;

  /** Decayed number of outstanding requests of other routers. */
  foreignLoad(now: number): number {
    return this.#foreignLoad * Math.exp((this.#reportedAt - now) / DECAY_MILLIS);
  }

  /** Weight of the last report, which decays from 1 to 0. */
  freshness(now: number): number {
    return Math.exp((this.#reportedAt - now) / DECAY_MILLIS);
  }

  /**
   * Estimated number of outstanding requests of other routers. Without new reports the estimate moves to the usual load of the upstream, and in the
   * end to that of the zone (`zoneUsual`). If it decayed to 0, the upstream with the fewest reports would look best to every router.
   */
  expected(zoneUsual: number, now: number): number {
    const age = now - this.#reportedAt;
    const latestWeight = Math.exp(-age / RETURN_TO_USUAL_MILLIS);
    const ownWeight = Math.exp(-age / USUAL_DECAY_MILLIS);
    const usual = this.#usualLoad * ownWeight + zoneUsual * (1 - ownWeight);
    return this.#foreignLoad * latestWeight + usual * (1 - latestWeight);
  }

  /** Records a report of `load` outstanding requests, which include this router's own `inFlight`. */
  report(load: number, inFlight: number, slots: number, now: number): void {
    const weight = 1 - Math.exp((this.#reportedAt - now) / AVERAGING_MILLIS);
    const previous = this.foreignLoad(now);
    const reported = foreignLoadOf(load, inFlight, slots);
    this.#foreignLoad = previous + weight * (reported - previous);
    this.#usualLoad +=
      (1 - Math.exp((this.#reportedAt - now) / USUAL_SMOOTHING_MILLIS)) * (reported - this.#usualLoad);
    this.#reportedAt = now;
  }

  /** Records a rejection for lack of capacity; `load` is `Infinity` if the upstream didn't report its load. */
  recordOverload(load: number, inFlight: number, slots: number, now: number): void {
    this.#foreignLoad = foreignLoadOf(load, inFlight, slots);
    this.#reportedAt = now;
  }

  /** Milliseconds until the load of other routers has decayed below `threshold`; 0 if it has already. */
  millisUntilBelow(threshold: number, now: number): number {
    const foreign = this.foreignLoad(now);
    return foreign < threshold ? 0 : DECAY_MILLIS * Math.log(foreign / threshold);
  }

  /** Discards the reports, which were about an earlier run. */
  reset(): void {
    this.#reportedAt = Number.NEGATIVE_INFINITY;
  }
}

function foreignLoadOf(load: number, inFlight: number, slots: number): number {
  return Math.min(slots * MAX_LOAD_PER_SLOT, Math.max(0, load - inFlight));
}
