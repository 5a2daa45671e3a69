/** Rate limits of upstreams, as reported by routers to the leader. The latest report applies; a new leader starts without any. */
import type { RunName } from '../../model/crash-suspect.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { ReportedLimit, ReportedUpstream } from '../../model/upstream-notice.js';

/** A limit that no router has reported for this long expires; routers report every second. */
const REPORT_EXPIRY_MILLIS = 5000;
/**
 * For this long after a limit ended, placement still plans with it. The upstream regains its keys slowly, and an upstream whose limit comes and
 * goes doesn't cause its keys to move back and forth.
 */
const RECOVERY_MILLIS = 10_000;

const NO_REPORT: ReportedLimit = { perSecond: null, heardAgoMillis: Number.MAX_SAFE_INTEGER };

interface LimitRecord {
  readonly upstream: UpstreamId;
  /** `null`: the limit has ended. */
  perSecond: number | null;
  observedAt: MonotonicMillis;
  reportedAt: MonotonicMillis;
  /** The latest limit that was in force, and when it last was. */
  lastPerSecond: number;
  lastInForceAt: MonotonicMillis;
}

/** An upstream with a limit in force. */
export interface LimitedUpstream extends ReportedLimit {
  readonly upstream: UpstreamId;
}

export class LimitedUpstreams {
  readonly #runs = new Map<RunName, LimitRecord>();

  /** Records a router's report; returns `true` if it changes the limit. */
  recordReport({ upstream, run, limit }: ReportedUpstream, now: MonotonicMillis): boolean {
    const known = this.#runs.get(run);
    const observedAt = now - limit.heardAgoMillis;
    if (known === undefined) {
      return limit.perSecond !== null && this.#addRun({ upstream, run, limit }, now);
    }
    if (limit.perSecond !== null) {
      known.reportedAt = now;
    }
    if (observedAt <= known.observedAt) {
      return false;
    }
    const isChanged = known.perSecond !== limit.perSecond;
    if (known.perSecond !== null && isChanged) {
      known.lastPerSecond = known.perSecond;
    }
    if (known.perSecond !== null || limit.perSecond !== null) {
      known.lastInForceAt = now;
    }
    known.perSecond = limit.perSecond;
    known.observedAt = observedAt;
    return isChanged;
  }

  /** The current limit of a run; `null` if it has none. */
  perSecondOf(run: RunName): number | null {
    return this.#runs.get(run)?.perSecond ?? null;
  }

  /** The latest report about a run, as sent to routers. */
  lastReport(run: RunName, now: MonotonicMillis): ReportedLimit {
    const known = this.#runs.get(run);
    if (known === undefined || known.observedAt === Number.NEGATIVE_INFINITY) {
      return NO_REPORT;
    }
    return { perSecond: known.perSecond, heardAgoMillis: now - known.observedAt };
  }

  /** Limits that placement has to respect, by upstream: those in force, and those that ended less than `RECOVERY_MILLIS` ago. */
  limitsForPlacement(): ReadonlyMap<UpstreamId, number> {
    const limits = new Map<UpstreamId, number>();
    for (const { upstream, perSecond, lastPerSecond } of this.#runs.values()) {
      const limit = perSecond ?? lastPerSecond;
      limits.set(upstream, Math.min(limit, limits.get(upstream) ?? Number.POSITIVE_INFINITY));
    }
    return limits;
  }

  /** Removes expired limits; returns the runs that were removed. */
  removeExpired(now: MonotonicMillis): RunName[] {
    const removed: RunName[] = [];
    for (const [run, known] of this.#runs) {
      if (known.perSecond !== null && now - known.reportedAt >= REPORT_EXPIRY_MILLIS) {
        known.lastPerSecond = known.perSecond;
        known.lastInForceAt = now;
        known.perSecond = null;
        // No router reported the end of the limit, so a report of any age is accepted again.
        known.observedAt = Number.NEGATIVE_INFINITY;
      }
      if (known.perSecond === null && now - known.lastInForceAt >= RECOVERY_MILLIS) {
        this.#runs.delete(run);
        removed.push(run);
      }
    }
    return removed;
  }

  get size(): number {
    return this.#runs.size;
  }

  /** Upstreams with a limit in force. */
  inForce(now: MonotonicMillis): LimitedUpstream[] {
    const known = [...this.#runs.values()].filter(({ perSecond }) => perSecond !== null);
    return known.map(({ upstream, perSecond, observedAt }) => ({
      upstream,
      perSecond,
      heardAgoMillis: now - observedAt,
    }));
  }

  #addRun(
    { upstream, run, limit }: Pick<ReportedUpstream, 'upstream' | 'run' | 'limit'>,
    now: MonotonicMillis,
  ): boolean {
    const observedAt = now - limit.heardAgoMillis;
    const { perSecond } = limit;
    this.#runs.set(run, {
      upstream,
      perSecond,
      observedAt,
      reportedAt: now,
      lastPerSecond: perSecond ?? 0,
      lastInForceAt: now,
    });
    return true;
  }
}
