/**
 * Issues the leader's permits for requests to upstreams with a rate limit. There is a single issuer, so the limit holds for all routers
 * together, regardless of which routers request, how often, and which responses are lost; permits are short-lived. A new leader waits until the
 * permits of its predecessor have expired. A router's permit request waits here while it can be granted in time, and is rejected at once otherwise.
 */
import type { RunName } from '../../model/crash-suspect.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { PERMIT_LIFETIME_MILLIS, PERMIT_SHARE, sharedPerSecond } from '../../model/limit-shares.js';
import type { IssuedPermits, ReportedUpstream } from '../../model/upstream-notice.js';
import type { UpstreamPermits, UpstreamReport } from '../messages.js';
import type { ReportingRouter } from '../router-requests.js';
import type { ConnectionId } from '../types.js';
import { LimitedUpstreams } from './limited-upstreams.js';
import { PermitBucket } from './permit-bucket.js';

/** Unused permits accumulate up to what the limit allows in this time, plus one. */
const MAX_ACCUMULATED_SECONDS = 1;
/** How often expired limits are removed. */
const EXPIRY_INTERVAL_MILLIS = 1000;

export interface PermitIssuerParts {
  readonly send: (connection: ConnectionId, message: UpstreamPermits) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Longest time for which a deposed leader may still act as leader. */
  readonly deposedMillis: number;
}

/** A router's pending permit request for one upstream. */
interface PermitRequest {
  readonly connection: ConnectionId;
  readonly stamp: MonotonicMillis;
  readonly requestedAt: MonotonicMillis;
  readonly rank: number;
  readonly until: MonotonicMillis;
  wanted: number;
}

interface RunPermits {
  readonly upstream: UpstreamId;
  readonly run: RunName;
  readonly bucket: PermitBucket;
  /** By router, in round-robin order: the next router to be served comes first. */
  readonly requests: Map<ConnectionId, PermitRequest>;
}

interface Outcome {
  readonly request: PermitRequest;
  granted: number;
  nextInMillis: number | null;
}

export class PermitIssuer {
  readonly limits = new LimitedUpstreams();
  readonly #parts: PermitIssuerParts;
  /** When the permits of the previous leader have expired. */
  readonly #issuesFrom: MonotonicMillis;
  readonly #runs = new Map<RunName, RunPermits>();
  #nextExpiryAt: MonotonicMillis;

  constructor(parts: PermitIssuerParts, electedAt: MonotonicMillis) {
    this.#parts = parts;
    this.#issuesFrom = electedAt + parts.deposedMillis + PERMIT_LIFETIME_MILLIS;
    this.#nextExpiryAt = electedAt + EXPIRY_INTERVAL_MILLIS;
  }

  recordReport(
    { stamp, upstreams }: UpstreamReport,
    { connection, router }: ReportingRouter,
    now: MonotonicMillis,
  ): void {
    for (const report of upstreams) {
      if (this.limits.recordReport(report, now)) {
        const { run, limit } = report;
        this.#parts.log('upstream-limit-reported', { run, router, ...limit });
      }
      if (report.wanted > 0) {
        this.#enqueue(report, { connection, stamp }, now);
      }
    }
  }

  /** A router disconnected: its permit requests are dropped. */
  onRouterDisconnected(connection: ConnectionId): void {
    for (const { requests } of this.#runs.values()) {
      requests.delete(connection);
    }
  }

  run(now: MonotonicMillis): void {
    for (const permits of this.#runs.values()) {
      if (permits.requests.size > 0) {
        this.#issue(permits, now);
      }
    }
    if (now >= this.#nextExpiryAt) {
      this.#nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
      for (const run of this.limits.removeExpired(now)) {
        this.#runs.delete(run);
      }
    }
  }

  nextDeadline(): MonotonicMillis {
    let at = this.limits.size > 0 ? this.#nextExpiryAt : Number.POSITIVE_INFINITY;
    for (const permits of this.#runs.values()) {
      if (permits.requests.size > 0) {
        at = Math.min(at, this.#nextDeadlineOf(permits));
      }
    }
    return at;
  }

  #enqueue(
    report: ReportedUpstream,
    from: Pick<PermitRequest, 'connection' | 'stamp'>,
    now: MonotonicMillis,
  ): void {
    const { upstream, run, wanted, rank, patienceMillis } = report;
    const permits = this.#runs.get(run) ?? {
      upstream,
      run,
      bucket: new PermitBucket(1, now),
      requests: new Map(),
    };
    this.#runs.set(run, permits);
    permits.requests.set(from.connection, {
      ...from,
      requestedAt: now,
      rank,
      until: now + patienceMillis,
      wanted,
    });
  }

  #issue(permits: RunPermits, now: MonotonicMillis): void {
    const perSecond = this.#rateOf(permits.run);
    const outcomes = new Map<ConnectionId, Outcome>();
    if (perSecond === null) {
      // The limit has ended: no permits are needed, and the response reports that.
      for (const request of permits.requests.values()) {
        outcomes.set(request.connection, { request, granted: 0, nextInMillis: null });
      }
      permits.requests.clear();
    } else {
      permits.bucket.fill(perSecond, 1 + perSecond * MAX_ACCUMULATED_SECONDS, now);
      this.#grant(permits, outcomes, now);
      this.#rejectLate(permits, outcomes, perSecond, now);
    }
    for (const outcome of outcomes.values()) {
      this.#respond(permits, outcome, now);
    }
  }

  /** Grants one permit to each router in turn, the most important requests first. */
  #grant({ requests, bucket }: RunPermits, outcomes: Map<ConnectionId, Outcome>, now: MonotonicMillis): void {
    while (now >= this.#issuesFrom) {
      const request = mostImportant(requests.values());
      if (request === undefined || !bucket.tryConsume()) {
        return;
      }
      const outcome = outcomes.get(request.connection) ?? { request, granted: 0, nextInMillis: null };
      outcome.granted += 1;
      outcomes.set(request.connection, outcome);
      request.wanted -= 1;
      requests.delete(request.connection);
      if (request.wanted > 0) {
        requests.set(request.connection, request);
      }
    }
  }

  /** Rejects permit requests that can't be granted before they expire. */
  #rejectLate(
    { requests, bucket }: RunPermits,
    outcomes: Map<ConnectionId, Outcome>,
    perSecond: number,
    now: MonotonicMillis,
  ): void {
    let position = 0;
    for (const request of byRank(requests.values())) {
      position += 1;
      const millis = Math.max(bucket.millisUntil(position, perSecond), this.#issuesFrom - now);
      if (now + millis > request.until) {
        requests.delete(request.connection);
        const outcome = outcomes.get(request.connection) ?? { request, granted: 0, nextInMillis: null };
        outcomes.set(request.connection, { ...outcome, nextInMillis: millis });
        position -= 1;
      }
    }
  }

  #respond(
    { upstream, run, requests }: RunPermits,
    { request, granted, nextInMillis }: Outcome,
    now: MonotonicMillis,
  ): void {
    const limit = this.limits.lastReport(run, now);
    const { connection, stamp, requestedAt } = request;
    const waitedMillis = now - requestedAt;
    const issued: IssuedPermits = { upstream, run, granted, nextInMillis, limit };
    this.#parts.send(connection, {
      type: 'upstream-permits',
      stamp,
      waitedMillis,
      leader: null,
      upstreams: [issued],
    });
    const { perSecond } = limit;
    const fields = {
      run,
      connection,
      granted,
      nextInMillis,
      waitedMillis,
      perSecond,
      waiting: requests.size,
    };
    this.#parts.log('permits-issued', fields);
  }

  /** When the next permit is available or the first pending request expires. */
  #nextDeadlineOf({ run, bucket, requests }: RunPermits): MonotonicMillis {
    const perSecond = this.#rateOf(run);
    const firstExpiry = [...requests.values()].reduce(
      (earliest, { until }) => Math.min(earliest, until),
      Number.POSITIVE_INFINITY,
    );
    if (perSecond === null) {
      return Number.NEGATIVE_INFINITY;
    }
    return Math.min(firstExpiry, Math.max(this.#issuesFrom, bucket.availableAt(1, perSecond)));
  }

  /** Permits per second; `null` if the run has no limit. */
  #rateOf(run: RunName): number | null {
    const perSecond = this.limits.perSecondOf(run);
    return perSecond === null ? null : sharedPerSecond(perSecond) * PERMIT_SHARE;
  }
}

function mostImportant(requests: Iterable<PermitRequest>): PermitRequest | undefined {
  let next: PermitRequest | undefined;
  for (const request of requests) {
    if (next === undefined || request.rank < next.rank) {
      next = request;
    }
  }
  return next;
}

function byRank(requests: Iterable<PermitRequest>): PermitRequest[] {
  return [...requests].sort((one, other) => one.rank - other.rank);
}
