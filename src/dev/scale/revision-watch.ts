/** Notes when the last of a set of routers reached a revision. */
import type { Revision } from '../../model/identifiers.js';
import { machineMillis } from '../journal/machine-clock.js';

interface Watch {
  readonly revision: Revision;
  readonly resolve: (atMillis: number) => void;
}

export class RevisionWatch {
  private watches: Watch[] = [];

  /** `lowest` gives the lowest revision that any router holds. */
  constructor(private readonly lowest: () => Revision) {}

  /** When all routers held `revision` or a later one, on the machine's clock. */
  reached(revision: Revision): Promise<number> {
    return new Promise((resolve) => {
      this.watches.push({ revision, resolve });
      this.advanced();
    });
  }

  /** Some router advanced. */
  advanced(): void {
    if (this.watches.length === 0) {
      return;
    }
    const lowest = this.lowest();
    const now = machineMillis();
    for (const { revision, resolve } of this.watches) {
      if (revision <= lowest) {
        resolve(now);
      }
    }
    this.watches = this.watches.filter(({ revision }) => revision > lowest);
  }
}
