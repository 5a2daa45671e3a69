/** Upstreams that announced themselves once and are gone, so that a late heartbeat doesn't bring one back. */
import type { Revision, UpstreamId, WallMillis } from '../model/identifiers.js';

/** Ids remembered; a heartbeat is seconds late at most, so an id forgotten by then does no harm. */
const MAX_REMEMBERED_IDS = 20_000;

/** The last run of an id that is gone. */
interface DepartedRun {
  readonly revision: Revision;
  /** Its start; `null`: only its id names it. */
  readonly born: WallMillis | null;
}

/** As snapshots hold it; left out: only its id names the run. */
export type DepartedEntry = readonly [UpstreamId, Revision, WallMillis?];

export class DepartedUpstreams {
  readonly #runs = new Map<UpstreamId, DepartedRun>();

  /** Whether what is said of an upstream is about a run that is gone: `born` is its start, if it says so. */
  has(upstream: UpstreamId, born?: WallMillis): boolean {
    const run = this.#runs.get(upstream);
    return run !== undefined && !(born !== undefined && isAfter(born, run.born));
  }

  /** The latest run of an id stays remembered, whichever is told of last. */
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
