/** Counts what happened to the requests of each route, for the metrics. */
import type { RequestTerms } from '../request-terms.js';

/** Further routes are counted as one, which bounds the number of metrics. */
const MAX_ROUTES = 200;
const OTHERS = '(others)';

export interface RouteTally {
  readonly route: string;
  readonly rank: number;
  /** Requests that wait now. */
  waiting: number;
  sent: number;
  refused: number;
  /** Rejected requests that were evicted for more important ones. */
  gaveWay: number;
}

export class RouteTallies {
  readonly #tallies = new Map<string, RouteTally>();

  /** `service` is the route name of requests addressed to the service itself. */
  tallyFor({ route, priority }: RequestTerms, service: string): RouteTally {
    const name = route ?? service;
    const existing = this.#tallies.get(keyOf(name, priority));
    return existing ?? this.#create(this.#tallies.size < MAX_ROUTES ? name : OTHERS, priority);
  }

  all(): readonly RouteTally[] {
    return [...this.#tallies.values()];
  }

  #create(route: string, rank: number): RouteTally {
    const key = keyOf(route, rank);
    const tally = this.#tallies.get(key) ?? { route, rank, waiting: 0, sent: 0, refused: 0, gaveWay: 0 };
    this.#tallies.set(key, tally);
    return tally;
  }
}

function keyOf(route: string, rank: number): string {
  return `${rank} ${route}`;
}
