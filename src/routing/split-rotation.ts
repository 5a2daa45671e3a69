/**
 * Divides a route's requests among the parts of its split. Each router uses a low-discrepancy sequence instead of random choices, so
 * that shares stay close to the weights over any run of requests. It starts at a random position, so that routers with few requests
 * each don't all start with the same part.
 */
import type { RouteDefinition, SplitPart } from '../model/declaration.js';
import type { ServiceName } from '../model/identifiers.js';
import type { Random } from './random.js';

/** Step of the sequence as a fraction of the total weight; multiples of the golden ratio are distributed most evenly. */
const STEP_SHARE = (Math.sqrt(5) - 1) / 2;
/** Maximum number of remembered routes; beyond it all positions are reset, which costs some evenness. */
const MAX_ROUTES = 8192;

export class SplitRotation {
  /** Position of each route in its sequence, as a fraction of the total weight from 0 to below 1. */
  readonly #positions = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** Returns the service for the next request of a route. */
  next({ name, split }: RouteDefinition): ServiceName {
    const [first] = split as readonly [SplitPart];
    if (split.length === 1) {
      return first.service;
    }
    const position = this.#advance(name);
    const total = split.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = position * total;
    for (const { service, weight } of split) {
      remaining -= weight;
      if (remaining < 0) {
        return service;
      }
    }
    return first.service;
  }

  #advance(route: string): number {
    if (this.#positions.size >= MAX_ROUTES && !this.#positions.has(route)) {
      this.#positions.clear();
    }
    const position = this.#positions.get(route) ?? this.random.share();
    this.#positions.set(route, (position + STEP_SHARE) % 1);
    return position;
  }
}
