/** Constraints that upstreams report (rate limits, back-offs, draining), and what they mean for routers and for the placement of keys. */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { ReportedUpstream } from '../../model/upstream-notice.js';
import type { CapacityLimit } from '../../placement/ranges/capacity-limit.js';
import type { UpstreamReport } from '../messages.js';
import type { ReportingRouter } from '../router-requests.js';
import type { ConnectionId, ConstrainedUpstream } from '../types.js';
import { DrainingUpstreams, type DrainingUpstreamsParts } from './draining-upstreams.js';
import { PermitIssuer, type PermitIssuerParts } from './permit-issuer.js';
import { UpstreamBackoffs } from './upstream-backoffs.js';

/** How often expired back-offs are removed. */
const EXPIRY_INTERVAL_MILLIS = 1000;

export interface UpstreamConstraintsParts extends PermitIssuerParts, DrainingUpstreamsParts {
  /** The approximate number of routers. */
  readonly routers: () => number;
}

export class UpstreamConstraints {
  readonly #parts: UpstreamConstraintsParts;
  readonly #issuer: PermitIssuer;
  readonly #backoffs = new UpstreamBackoffs();
  readonly #draining: DrainingUpstreams;
  #nextExpiryAt: MonotonicMillis;

  constructor(parts: UpstreamConstraintsParts, electedAt: MonotonicMillis) {
    this.#parts = parts;
    this.#issuer = new PermitIssuer(parts, electedAt);
    this.#draining = new DrainingUpstreams(parts);
    this.#nextExpiryAt = electedAt + EXPIRY_INTERVAL_MILLIS;
  }

  /** Records a router's report. */
  recordReport(report: UpstreamReport, from: ReportingRouter, now: MonotonicMillis): void {
    for (const upstreamReport of report.upstreams) {
      this.#recordBackoff(upstreamReport, from, now);
      this.#draining.recordReport(upstreamReport, from.router);
    }
    this.#issuer.recordReport(report, from, now);
  }

  /** A router disconnected. Its back-offs remain until they end. */
  onRouterDisconnected(connection: ConnectionId): void {
    this.#issuer.onRouterDisconnected(connection);
  }

  run(now: MonotonicMillis): void {
    this.#issuer.run(now);
    if (now >= this.#nextExpiryAt) {
      this.#nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
      this.#backoffs.removeExpired(now);
    }
  }

  nextDeadline(): MonotonicMillis {
    const expiryAt = this.#backoffs.size > 0 ? this.#nextExpiryAt : Number.POSITIVE_INFINITY;
    return Math.min(this.#issuer.nextDeadline(), expiryAt);
  }

  /** Capacity limits of upstreams with a current or recent constraint. */
  capacityLimits(): ReadonlyMap<UpstreamId, CapacityLimit> {
    const limits = new Map<UpstreamId, CapacityLimit>();
    for (const [upstream, perSecond] of this.#issuer.limits.limitsForPlacement()) {
      limits.set(upstream, { perSecond });
    }
    for (const [upstream, share] of this.#backoffs.capacityShares(this.#parts.routers())) {
      limits.set(upstream, { ...limits.get(upstream), share });
    }
    return limits;
  }

  /** Upstreams with a current constraint. */
  list(now: MonotonicMillis): ConstrainedUpstream[] {
    const limited = this.#issuer.limits.inForce(now).map((limit) => ({ ...limit, restingRouters: 0 }));
    const resting = this.#backoffs.list(now).map(({ upstream, routers }) => ({
      upstream,
      perSecond: null,
      heardAgoMillis: null,
      restingRouters: routers,
    }));
    return [...limited, ...resting];
  }

  #recordBackoff(
    { upstream, run, restMillis }: ReportedUpstream,
    from: ReportingRouter,
    now: MonotonicMillis,
  ): void {
    const { connection, router } = from;
    if (restMillis > 0 && this.#backoffs.recordBackoff(upstream, connection, restMillis, now)) {
      this.#parts.log('upstream-rest-reported', { upstream, run, router, restMillis });
    }
  }
}
