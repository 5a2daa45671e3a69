/** Determines when the last of a set of routers reaches a revision. */
import type { Revision } from '../../model/identifiers.js';
import { machineMillis } from '../journal/machine-clock.js';

interface Watch {
  readonly revision: Revision;
  readonly resolve: (atMillis: number) => void;
}

export class RevisionWatch {
  private watches: Watch[] = [];

  /** `lowestRevision` returns the lowest revision that any router holds. */
  constructor(private readonly lowestRevision: () => Revision) {}

  /** Resolves when all routers hold `revision` or a later one, to that time on the machine's clock. */
  whenReached(revision: Revision): Promise<number> {
    return new Promise((resolve) => {
      this.watches.push({ revision, resolve });
      this.onAdvanced();
    });
  }

  /** Handles the advance of a router to a later revision. */
  onAdvanced(): void {
    if (this.watches.length === 0) {
      return;
    }
    const lowest = this.lowestRevision();
    const now = machineMillis();
    for (const { revision, resolve } of this.watches) {
      if (revision <= lowest) {
        resolve(now);
      }
    }
    this.watches = this.watches.filter(({ revision }) => revision > lowest);
  }
}
