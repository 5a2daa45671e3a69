/** The disk of a control member: synced data persists; a prefix of the unsynced writes may survive a power loss. */
import type { LogEntry, Membership, PersistRequest, RestoredState, Snapshot } from '../../consensus/types.js';
import type { Random } from './random.js';

/** An atomic write: present on disk as a whole or not at all. */
type Write = (contents: DiskContents) => void;

interface PendingWrite {
  readonly persistId: number;
  readonly write: Write;
}

class DiskContents {
  hardState: RestoredState['hardState'] = { term: 0, votedFor: null };
  snapshot: Snapshot | null = null;
  entries: LogEntry[] = [];
}

export class SimulatedDisk {
  private readonly synced = new DiskContents();
  /** Contents as read from the file: synced writes and those that only the kernel holds. */
  private readonly written = new DiskContents();
  private pending: PendingWrite[] = [];

  /** `membership`: as written by `control init`; `null` on a replica that joins. */
  constructor(private readonly membership: Membership | null) {}

  /** Writes a request to the kernel without syncing it. */
  write(request: PersistRequest): void {
    for (const write of writesOf(request)) {
      write(this.written);
      this.pending.push({ persistId: request.persistId, write });
    }
  }

  /** Syncs all writes up to and including this request. */
  sync(persistId: number): void {
    while (this.pending[0] !== undefined && this.pending[0].persistId <= persistId) {
      (this.pending.shift() as PendingWrite).write(this.synced);
    }
  }

  /** Simulates a power loss: a random prefix of the unsynced writes survives. */
  loseUnsynced(random: Random): void {
    const survivors = this.pending.length === 0 ? 0 : random.integer(0, this.pending.length);
    for (const { write } of this.pending.slice(0, survivors)) {
      write(this.synced);
    }
    this.pending = [];
    copyContents(this.synced, this.written);
  }

  /** Simulates the end of the process alone: the kernel completes the pending writes. */
  keepUnsynced(): void {
    this.sync(Number.POSITIVE_INFINITY);
  }

  /** Returns the state that a starting process reads from disk. */
  load(): RestoredState {
    const { hardState, snapshot, entries } = this.synced;
    return { hardState, snapshot, initialMembership: this.membership, entries: [...entries] };
  }

  /** Returns the entry at an index as written by the running process. */
  entryAt(index: number): LogEntry | undefined {
    const { entries } = this.written;
    return entries[index - (entries[0]?.index ?? 0)];
  }
}

function writesOf(request: PersistRequest): Write[] {
  const { hardState, truncateFrom, entries = [], snapshot } = request;
  const writes: Write[] = [];
  if (hardState !== undefined) {
    writes.push((contents) => {
      contents.hardState = hardState;
    });
  }
  if (truncateFrom !== undefined) {
    writes.push((contents) => {
      contents.entries = contents.entries.filter((entry) => entry.index < truncateFrom);
    });
  }
  for (const entry of entries) {
    writes.push((contents) => {
      contents.entries.push(entry);
    });
  }
  if (snapshot !== undefined) {
    writes.push((contents) => {
      contents.snapshot = snapshot;
      contents.entries = contents.entries.filter((entry) => entry.index > snapshot.lastIndex);
    });
  }
  return writes;
}

function copyContents(from: DiskContents, to: DiskContents): void {
  to.hardState = from.hardState;
  to.snapshot = from.snapshot;
  to.entries = [...from.entries];
}
