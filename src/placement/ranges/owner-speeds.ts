/**
 * Relative speeds of the upstreams of one service, from the duration of requests that find a free slot. Speeds make the loads
 * of keys comparable between owners, and a faster upstream counts as one with a larger capacity.
 */
import type { UpstreamId } from '../../model/identifiers.js';

/** Suits owners of keys, whose loads move within seconds. */
const DEFAULT_HALF_LIFE_MILLIS = 4000;
/** Number of assumed requests of mean duration, which keep a speed near the mean until about as many were measured. */
const ASSUMED_REQUESTS = 6;
const MIN_SPEED = 0.15;
const MAX_SPEED = 4;

/** Decayed number of requests, and their work. */
interface RequestTotals {
  requests: number;
  workMillis: number;
  at: number;
}

export class OwnerSpeeds {
  readonly #owners = new Map<UpstreamId, RequestTotals>();
  readonly #total: RequestTotals = { requests: 0, workMillis: 0, at: 0 };

  /** `halfLifeMillis` is the half-life of the measurements. */
  constructor(private readonly halfLifeMillis: number = DEFAULT_HALF_LIFE_MILLIS) {}

  /** Adds requests for keys that an upstream owns, with their work. */
  add(owner: UpstreamId, requests: number, workMillis: number, now: number): void {
    const totals = this.#owners.get(owner) ?? { requests: 0, workMillis: 0, at: now };
    this.#owners.set(owner, totals);
    const added = { requests, workMillis, at: now };
    addTo(totals, added, this.halfLifeMillis);
    addTo(this.#total, added, this.halfLifeMillis);
  }

  /** Mean work of a request over all upstreams; `null` while nothing was measured. */
  get meanMillis(): number | null {
    const { requests, workMillis } = this.#total;
    return requests > 0 ? workMillis / requests : null;
  }

  /** Returns the speed of an upstream, as a factor on the mean. */
  speedOf(owner: UpstreamId): number {
    const totals = this.#owners.get(owner);
    const mean = this.meanMillis;
    if (totals === undefined || mean === null) {
      return 1;
    }
    const { requests, workMillis } = totals;
    const speed = (mean * (requests + ASSUMED_REQUESTS)) / (workMillis + mean * ASSUMED_REQUESTS);
    return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
  }

  /** Forgets all other upstreams. */
  keepOnly(owners: ReadonlySet<UpstreamId>): void {
    for (const owner of this.#owners.keys()) {
      if (!owners.has(owner)) {
        this.#owners.delete(owner);
      }
    }
  }
}

function addTo(
  totals: RequestTotals,
  { requests, workMillis, at }: RequestTotals,
  halfLifeMillis: number,
): void {
  const kept = 0.5 ** ((at - totals.at) / halfLifeMillis);
  totals.requests = totals.requests * kept + requests;
  totals.workMillis = totals.workMillis * kept + workMillis;
  totals.at = at;
}
