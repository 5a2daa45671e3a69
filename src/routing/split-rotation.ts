/**
 * Divides a route's requests among the parts of its split. Each router takes the parts in an order in which their shares stay
 * close to their weights over any stretch of requests, rather than by chance; it begins at a place of its own, so that
 * routers which see few requests each don't all begin with the same part.
 */
import type { RouteDefinition, SplitPart } from '../model/declaration.js';
import type { ServiceName } from '../model/identifiers.js';
import type { Random } from './random.js';

/** Step of the sequence as a share of all weights: multiples of the golden ratio fall most evenly. */
const STEP_SHARE = (Math.sqrt(5) - 1) / 2;
/** Routes remembered; beyond that all begin anew, which costs some evenness. */
const MOST_ROUTES = 8192;

export class SplitRotation {
  /** Where each route stands, as a share of all weights, from 0 to below 1. */
  readonly #places = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** The service that the next request of a route goes to. */
  next({ name, split }: RouteDefinition): ServiceName {
    const [first] = split as readonly [SplitPart];
    if (split.length === 1) {
      return first.service;
    }
    const place = this.#advance(name);
    const total = split.reduce((sum, { weight }) => sum + weight, 0);
    let left = place * total;
    for (const { service, weight } of split) {
      left -= weight;
      if (left < 0) {
        return service;
      }
    }
    return first.service;
  }

  #advance(route: string): number {
    if (this.#places.size >= MOST_ROUTES && !this.#places.has(route)) {
      this.#places.clear();
    }
    const place = this.#places.get(route) ?? this.random.share();
    this.#places.set(route, (place + STEP_SHARE) % 1);
    return place;
  }
}
