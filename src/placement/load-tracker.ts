/** Loads of shards from the reports of many routers, averaged over time with exponential decay. */
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';

/** What is remembered of a load loses half its weight in this time. */
export const LOAD_HALF_LIFE_MILLIS = 10_000;
const MILLIS_PER_SECOND = 1000;
/** A load below this, in milliseconds of work a second, counts as none. */
const NO_LOAD = 0.001;

/** Work reported for one shard. */
export interface ReportedWork {
  readonly shard: ShardId;
  readonly workMillis: number;
}

interface DecayedWork {
  /** Sum of reported work, decayed up to `at`. */
  work: number;
  at: MonotonicMillis;
}

/** Loads in milliseconds of work a second. Work is proportional to what is reported and read. */
export class LoadTracker {
  readonly #works = new Map<ShardId, DecayedWork>();
  /** When the first report came: younger averages are scaled up to the time they cover. */
  #since: MonotonicMillis | undefined;

  /** Adds one router's report of work done since the one before. */
  report(works: Iterable<ReportedWork>, now: MonotonicMillis): void {
    this.#since ??= now;
    for (const { shard, workMillis } of works) {
      const known = this.#works.get(shard);
      if (known === undefined) {
        this.#works.set(shard, { work: workMillis, at: now });
      } else {
        known.work = known.work * decay(now - known.at) + workMillis;
        known.at = now;
      }
    }
  }

  /** Load of a shard now; 0 if nothing was ever reported. */
  load(shard: ShardId, now: MonotonicMillis): number {
    const known = this.#works.get(shard);
    if (known === undefined || this.#since === undefined) {
      return 0;
    }
    const work = known.work * decay(now - known.at);
    return (work / coveredMillis(now - this.#since)) * MILLIS_PER_SECOND;
  }

  /** Every shard with a load; those whose load has faded are forgotten and given as 0 once. */
  *loads(now: MonotonicMillis): Iterable<{ readonly shard: ShardId; readonly load: number }> {
    for (const shard of this.#works.keys()) {
      const load = this.load(shard, now);
      const isFaded = load < NO_LOAD;
      if (isFaded) {
        this.#works.delete(shard);
      }
      yield { shard, load: isFaded ? 0 : load };
    }
  }

  forget(shard: ShardId): void {
    this.#works.delete(shard);
  }
}

function decay(millis: number): number {
  return 0.5 ** (Math.max(0, millis) / LOAD_HALF_LIFE_MILLIS);
}

/** Time that the decayed sum stands for: the integral of the decay, at least one second of it. */
function coveredMillis(age: number): number {
  const meanMillis = LOAD_HALF_LIFE_MILLIS / Math.LN2;
  return meanMillis * (1 - decay(Math.max(age, MILLIS_PER_SECOND)));
}
