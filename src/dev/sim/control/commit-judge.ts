/** Tells the checker what one run of a replica takes for committed. */
import { crc32 } from 'node:zlib';
import type { ReplicaId } from '../../../model/identifiers.js';
import type { Recorder } from '../recorder.js';
import type { SimulatedDisk } from '../simulated-disk.js';

export class CommitJudge {
  private judged = 0;

  constructor(
    private readonly recorder: Recorder,
    private readonly replica: ReplicaId,
    private readonly disk: SimulatedDisk,
  ) {}

  /** Entries up to this index are committed, and the log that was written is the one that the core holds. */
  committed(commitIndex: number, at: number): void {
    for (let index = this.judged + 1; index <= commitIndex; index += 1) {
      const entry = this.disk.entryAt(index);
      if (entry !== undefined) {
        const digest = `${entry.term}:${crc32(entry.data)}`;
        this.recorder.record({ type: 'entry-committed', at, replica: this.replica, index, digest });
      }
    }
    this.judged = Math.max(this.judged, commitIndex);
  }
}
