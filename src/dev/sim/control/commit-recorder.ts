/** Records the entries that one run of a replica considers committed, for the checker. */
import { crc32 } from 'node:zlib';
import type { ReplicaId } from '../../../model/identifiers.js';
import type { Recorder } from '../recorder.js';
import type { SimulatedDisk } from '../simulated-disk.js';

export class CommitRecorder {
  private recordedIndex = 0;

  constructor(
    private readonly recorder: Recorder,
    private readonly replica: ReplicaId,
    private readonly disk: SimulatedDisk,
  ) {}

  /** Records entries up to the commit index; the written log must be the one that the core holds. */
  recordUpTo(commitIndex: number, at: number): void {
    for (let index = this.recordedIndex + 1; index <= commitIndex; index += 1) {
      const entry = this.disk.entryAt(index);
      if (entry !== undefined) {
        const digest = `${entry.term}:${crc32(entry.data)}`;
        this.recorder.record({ type: 'entry-committed', at, replica: this.replica, index, digest });
      }
    }
    this.recordedIndex = Math.max(this.recordedIndex, commitIndex);
  }
}
