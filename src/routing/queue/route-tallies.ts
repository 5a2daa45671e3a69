/** What became of the requests of each route, for operators. */
import type { RequestTerms } from '../request-terms.js';

/** Routes beyond so many are counted as one, so that metrics stay bounded. */
const MOST_ROUTES = 200;
const OTHERS = '(others)';

export interface RouteTally {
  readonly route: string;
  readonly rank: number;
  /** Requests that wait now. */
  waiting: number;
  sent: number;
  refused: number;
  /** Of the refused, those that gave way to more important ones. */
  gaveWay: number;
}

export class RouteTallies {
  readonly #tallies = new Map<string, RouteTally>();

  /** `service` stands for the route of requests addressed to it. */
  of({ route, priority }: RequestTerms, service: string): RouteTally {
    const name = route ?? service;
    const known = this.#tallies.get(keyOf(name, priority));
    return known ?? this.#make(this.#tallies.size < MOST_ROUTES ? name : OTHERS, priority);
  }

  all(): readonly RouteTally[] {
    return [...this.#tallies.values()];
  }

  #make(route: string, rank: number): RouteTally {
    const key = keyOf(route, rank);
    const tally = this.#tallies.get(key) ?? { route, rank, waiting: 0, sent: 0, refused: 0, gaveWay: 0 };
    this.#tallies.set(key, tally);
    return tally;
  }
}

function keyOf(route: string, rank: number): string {
  return `${rank} ${route}`;
}
