/** What one run of an upstream said of itself in its answers to this router. It outlives the state that a router keeps of an upstream. */
import type { RunName } from '../../model/crash-suspect.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { RoundPlace } from '../../model/router-turn.js';
import type { AttemptNumber } from '../types.js';
import { affinityOf } from '../upstream/affinity.js';
import { RequestLimit } from './request-limit.js';
import { Rest } from './rest.js';

/** Values of `affinityOf`. */
const HASHES = 2 ** 32;
/** Any name will do, as long as it is the same one at all routers. */
const COMMON_NAME = 'limits';

/** Where runs have no names, a health check that is well so long after it said last that it leaves is taken for the next run's. */
const NEXT_RUN_MILLIS = 15_000;

export class RunNotices {
  readonly limit: RequestLimit;
  readonly rest = new Rest();
  #isLeaving = false;
  #leavingSaidAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  /** `place`: this router's place among all routers now. */
  constructor(
    readonly upstream: UpstreamId,
    readonly run: RunName,
    /** Whether `run` is the name of one run, or of whoever answers for the upstream. */
    private readonly isNamed: boolean,
    place: () => RoundPlace,
  ) {
    this.limit = new RequestLimit(place, affinityOf(COMMON_NAME, run) / HASHES);
  }

  /** Whether it said that it leaves, and takes no new work. A run with a name never takes any again. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** An answer says that it leaves; `true`: that is news. */
  leaves(now: MonotonicMillis): boolean {
    const isNews = !this.#isLeaving;
    this.#isLeaving = true;
    this.#leavingSaidAt = now;
    return isNews;
  }

  /** Its health check is well: where runs have no names, another one may be there. */
  foundWell(now: MonotonicMillis): void {
    const mayBeNext = !this.isNamed && now - this.#leavingSaidAt >= NEXT_RUN_MILLIS;
    this.#isLeaving &&= !mayBeNext;
  }

  /** Whether it neither leaves nor wants rest. If `false`, nothing that wasn't sent yet may go there. */
  takesAnything(now: MonotonicMillis): boolean {
    return !this.#isLeaving && this.rest.waitMillis(now) === 0;
  }

  /** Whether what it said lets this router send it one more request now. */
  admits(now: MonotonicMillis): boolean {
    return !this.#isLeaving && this.rest.admits(now) && this.limit.admits(now);
  }

  /** A request goes there. */
  sent(attempt: AttemptNumber, now: MonotonicMillis): void {
    this.limit.sent(now);
    this.rest.sent(attempt);
  }
}
