/**
 * Tracks the ranks and targets with which requests arrive at one service. Requests of a kind that is rare don't compete with the others:
 * capacity reserved for them would only stay idle.
 */
import type { RequestTerms } from '../request-terms.js';

/** Time constant with which older requests decay: a kind with one request in ten seconds per router is still remembered. */
const DECAY_MILLIS = 20_000;
/** A kind competes with the others only from this share of the service's requests on. */
const MIN_SHARE = 0.05;
/** Below this decayed count, a kind's share isn't meaningful. Two requests reach it only if both are recent, as the older has decayed. */
const MIN_DECAYED_REQUESTS = 1.5;
/** Interval at which the competing kinds are recomputed. */
const REFRESH_MILLIS = 250;

type RouteTerms = Pick<RequestTerms, 'route' | 'priority' | 'targetMillis'>;

interface RoutePresence extends RouteTerms {
  /** Decayed number of requests, as of `at`. */
  count: number;
  at: number;
}

export class RankPresence {
  /** One for each route, and one (`null`) for requests addressed to the service. */
  readonly #presences = new Map<string | null, RoutePresence>();
  #ranks: readonly number[] = [];
  #isMixed = false;
  #refreshedAt = Number.NEGATIVE_INFINITY;

  /** `isOn`: whether ranks compete at all. */
  constructor(private readonly isOn: boolean) {}

  /** Records an arrived request. */
  recordArrival({ route, priority, targetMillis }: RouteTerms, now: number): void {
    const existing = this.#presences.get(route);
    if (existing !== undefined && hasEqualTerms(existing, { route, priority, targetMillis })) {
      const before = countOf(existing, now);
      existing.count = before + 1;
      existing.at = now;
      if (before < MIN_DECAYED_REQUESTS && existing.count >= MIN_DECAYED_REQUESTS) {
        this.#refreshedAt = Number.NEGATIVE_INFINITY;
      }
    } else {
      this.#presences.set(route, { route, priority, targetMillis, count: 1, at: now });
    }
  }

  /** Handles a change of a route's terms, or its removal (`null`). */
  onRouteChange(route: string, terms: RouteTerms | null): void {
    const existing = this.#presences.get(route);
    if (existing !== undefined && (terms === null || !hasEqualTerms(existing, terms))) {
      this.#presences.delete(route);
      this.#refreshedAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Whether requests of several ranks or targets compete. */
  isMixed(now: number): boolean {
    this.#refresh(now);
    return this.isOn && this.#isMixed;
  }

  /** Returns how many more important ranks compete with `rank`. */
  countAbove(rank: number, now: number): number {
    this.#refresh(now);
    return this.isOn && this.#isMixed ? this.#ranks.filter((other) => other < rank).length : 0;
  }

  #refresh(now: number): void {
    if (now < this.#refreshedAt + REFRESH_MILLIS) {
      return;
    }
    this.#refreshedAt = now;
    let total = 0;
    for (const [route, presence] of this.#presences) {
      const count = countOf(presence, now);
      total += count;
      if (count < MIN_DECAYED_REQUESTS * MIN_SHARE) {
        this.#presences.delete(route);
      }
    }
    const competing = this.#competing(total, now);
    this.#ranks = [...new Set(competing.map(({ priority }) => priority))];
    this.#isMixed =
      new Set(competing.map(({ priority, targetMillis }) => `${priority} ${targetMillis}`)).size > 1;
  }

  /** Returns the kinds with a significant share of all requests; routes with equal terms are one kind. */
  #competing(total: number, now: number): RouteTerms[] {
    const kinds = new Map<string, RouteTerms & { count: number }>();
    for (const presence of this.#presences.values()) {
      const { priority, targetMillis } = presence;
      const name = `${priority} ${targetMillis}`;
      const kind = kinds.get(name) ?? { route: null, priority, targetMillis, count: 0 };
      kind.count += countOf(presence, now);
      kinds.set(name, kind);
    }
    return [...kinds.values()].filter(
      ({ count }) => count >= Math.max(MIN_DECAYED_REQUESTS, total * MIN_SHARE),
    );
  }
}

function countOf({ count, at }: RoutePresence, now: number): number {
  return count * Math.exp((at - now) / DECAY_MILLIS);
}

function hasEqualTerms(one: RouteTerms, other: RouteTerms): boolean {
  return one.priority === other.priority && one.targetMillis === other.targetMillis;
}
