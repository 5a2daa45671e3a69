/** Upstreams that announced themselves once and are gone, so that a late heartbeat doesn't bring one back. */
import type { Revision, UpstreamId } from '../model/identifiers.js';

/** Ids remembered; a heartbeat is seconds late at most, so an id forgotten by then does no harm. */
const REMEMBERED_IDS = 20_000;

export class DepartedUpstreams {
  readonly #revisions = new Map<UpstreamId, Revision>();

  has(upstream: UpstreamId): boolean {
    return this.#revisions.has(upstream);
  }

  add(upstream: UpstreamId, revision: Revision): void {
    this.#revisions.set(upstream, revision);
    for (const [oldest] of this.#revisions) {
      if (this.#revisions.size <= REMEMBERED_IDS) {
        return;
      }
      this.#revisions.delete(oldest);
    }
  }

  /** Oldest first. */
  list(): (readonly [UpstreamId, Revision])[] {
    return [...this.#revisions];
  }
}
