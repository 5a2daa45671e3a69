/** A replica's store that keeps nothing: for control members whose files aren't what is measured. */
import type { PersistRequest } from '../../consensus/types.js';
import type { ReplicaFiles } from '../../control/daemon/persist-task.js';

export class MemoryFiles implements ReplicaFiles {
  async persist(_requests: readonly PersistRequest[]): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  async close(): Promise<void> {}
}
