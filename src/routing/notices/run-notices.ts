/** Notices of one run of an upstream in its answers to this router. They outlive the router's state of the upstream. */
import type { RunName } from '../../model/crash-suspect.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { RoundPosition } from '../../model/router-time-slots.js';
import type { AttemptNumber } from '../types.js';
import { affinityOf } from '../upstream/affinity.js';
import { Backoff } from './backoff.js';
import { RequestLimit } from './request-limit.js';

/** Number of different values of `affinityOf`. */
const AFFINITY_RANGE = 2 ** 32;
/** Any fixed name works, provided that all routers use the same one. */
const SHIFT_HASH_KEY = 'limits';

/** Where runs have no names, a successful health check this long after the last draining notice is attributed to the next run. */
const NEXT_RUN_MILLIS = 15_000;

export class RunNotices {
  readonly limit: RequestLimit;
  readonly backoff = new Backoff();
  #isDraining = false;
  #drainingReportedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** `place` returns this router's current place among all routers. */
  constructor(
    readonly upstream: UpstreamId,
    readonly run: RunName,
    /** Whether `run` identifies a single run; `false`: it covers every process that answers as this upstream. */
    private readonly isNamed: boolean,
    place: () => RoundPosition,
  ) {
    this.limit = new RequestLimit(place, affinityOf(SHIFT_HASH_KEY, run) / AFFINITY_RANGE);
  }

  /** Whether the run reported that it is draining and accepts no new requests. For a run with a name this is final. */
  get isLeaving(): boolean {
    return this.#isDraining;
  }

  /** Records a draining notice. Returns `true` if the run wasn't draining before. */
  recordDraining(now: MonotonicMillis): boolean {
    const isNew = !this.#isDraining;
    this.#isDraining = true;
    this.#drainingReportedAt = now;
    return isNew;
  }

  /** Records a successful health check: where runs have no names, it may come from the next run. */
  onHealthyProbe(now: MonotonicMillis): void {
    const mayBeNextRun = !this.isNamed && now - this.#drainingReportedAt >= NEXT_RUN_MILLIS;
    this.#isDraining &&= !mayBeNextRun;
  }

  /** Whether the run is neither draining nor backed off. If `false`, attempts that aren't sent yet are recalled. */
  acceptsRequests(now: MonotonicMillis): boolean {
    return !this.#isDraining && this.backoff.waitMillis(now) === 0;
  }

  /** Whether the notices admit one more request from this router now. */
  admits(now: MonotonicMillis): boolean {
    return !this.#isDraining && this.backoff.admits(now) && this.limit.admits(now);
  }

  /** Records a sent request. */
  sent(attempt: AttemptNumber, now: MonotonicMillis): void {
    this.limit.sent(now);
    this.backoff.sent(attempt);
  }
}
