/**
 * How fast upstreams of one service are beside each other, from the time that requests take where they find a free slot.
 * With it the loads of keys count alike whoever owned them, and a faster upstream counts as a larger one.
 */
import type { UpstreamId } from '../../model/identifiers.js';

/** For owners of keys, whose loads move within seconds. */
const HALF_LIFE_MILLIS = 4000;
/** A speed is taken to be the mean one until about so many requests were measured. */
const ASSUMED_REQUESTS = 6;
const LEAST_SPEED = 0.15;
const LARGEST_SPEED = 4;

/** Requests and the work that they took, in milliseconds. */
interface Measured {
  requests: number;
  workMillis: number;
  at: number;
}

export class OwnerSpeeds {
  readonly #owners = new Map<UpstreamId, Measured>();
  readonly #all: Measured = { requests: 0, workMillis: 0, at: 0 };

  /** `halfLifeMillis`: what was measured loses half of its weight in this time. */
  constructor(private readonly halfLifeMillis: number = HALF_LIFE_MILLIS) {}

  /** Requests of keys that an upstream owns, and what they take there. */
  add(owner: UpstreamId, requests: number, workMillis: number, now: number): void {
    const measured = this.#owners.get(owner) ?? { requests: 0, workMillis: 0, at: now };
    this.#owners.set(owner, measured);
    const added = { requests, workMillis, at: now };
    addTo(measured, added, this.halfLifeMillis);
    addTo(this.#all, added, this.halfLifeMillis);
  }

  /** Mean time of a request over all upstreams, in milliseconds; `null` while nothing was measured. */
  get meanMillis(): number | null {
    const { requests, workMillis } = this.#all;
    return requests > 0 ? workMillis / requests : null;
  }

  /** Speed of an upstream, as a factor on the mean one. */
  of(owner: UpstreamId): number {
    const measured = this.#owners.get(owner);
    const mean = this.meanMillis;
    if (measured === undefined || mean === null) {
      return 1;
    }
    const { requests, workMillis } = measured;
    const speed = (mean * (requests + ASSUMED_REQUESTS)) / (workMillis + mean * ASSUMED_REQUESTS);
    return Math.min(LARGEST_SPEED, Math.max(LEAST_SPEED, speed));
  }

  /** Forgets all but these. */
  keepOnly(owners: ReadonlySet<UpstreamId>): void {
    for (const owner of this.#owners.keys()) {
      if (!owners.has(owner)) {
        this.#owners.delete(owner);
      }
    }
  }
}

function addTo(measured: Measured, { requests, workMillis, at }: Measured, halfLifeMillis: number): void {
  const kept = 0.5 ** ((at - measured.at) / halfLifeMillis);
  measured.requests = measured.requests * kept + requests;
  measured.workMillis = measured.workMillis * kept + workMillis;
  measured.at = at;
}
