/** Announced upstreams that have ended, remembered so that a late heartbeat doesn't register one again. */
import type { Revision, UpstreamId, WallMillis } from '../model/identifiers.js';

/** A heartbeat is at most seconds late, so evicting the oldest ids does no harm. */
const MAX_REMEMBERED_IDS = 20_000;

/** The last run of an id that has ended. */
interface DepartedRun {
  readonly revision: Revision;
  /** Start of the run; `null`: the run is identified by its id alone. */
  readonly born: WallMillis | null;
}

/** Snapshot format of a departed run; without a start the run is identified by its id alone. */
export type DepartedEntry = readonly [UpstreamId, Revision, WallMillis?];

export class DepartedUpstreams {
  readonly #runs = new Map<UpstreamId, DepartedRun>();

  /** Whether the run of `upstream` that started at `born` has ended. Without `born`, whether any run of this id has ended. */
  has(upstream: UpstreamId, born?: WallMillis): boolean {
    const run = this.#runs.get(upstream);
    return run !== undefined && !(born !== undefined && isAfter(born, run.born));
  }

  /** Records that a run has ended. The latest run of an id is kept, in whichever order the runs are added. */
  add(upstream: UpstreamId, revision: Revision, born: WallMillis | null = null): void {
    const known = this.#runs.get(upstream)?.born ?? null;
    const latest = known !== null && (born === null || born < known) ? known : born;
    this.#runs.set(upstream, { revision, born: latest });
    for (const [oldest] of this.#runs) {
      if (this.#runs.size <= MAX_REMEMBERED_IDS) {
        return;
      }
      this.#runs.delete(oldest);
    }
  }

  /** Oldest first. */
  list(): DepartedEntry[] {
    return [...this.#runs].map(([upstream, { revision, born }]) =>
      born === null ? [upstream, revision] : [upstream, revision, born],
    );
  }
}

function isAfter(born: WallMillis, other: WallMillis | null): boolean {
  return other === null || born > other;
}
