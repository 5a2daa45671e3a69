/** The disk of a control member: what was synced stays; of the rest a prefix may survive a loss of power, the last write torn. */
import type { LogEntry, Membership, PersistRequest, RestoredState, Snapshot } from '../../consensus/types.js';
import type { Random } from './random.js';

/** The smallest thing that is whole on disk or not there. */
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
  /** What a reader of the file would see: synced writes and those that only the kernel has. */
  private readonly written = new DiskContents();
  private pending: PendingWrite[] = [];

  /** `membership`: what `control init` wrote; `null` on a replica that joins. */
  constructor(private readonly membership: Membership | null) {}

  /** Hands a request to the kernel. */
  write(request: PersistRequest): void {
    for (const write of writesOf(request)) {
      write(this.written);
      this.pending.push({ persistId: request.persistId, write });
    }
  }

  /** Everything up to this request is on disk now. */
  sync(persistId: number): void {
    while (this.pending[0] !== undefined && this.pending[0].persistId <= persistId) {
      (this.pending.shift() as PendingWrite).write(this.synced);
    }
  }

  /** Power is lost: some first part of the unsynced writes made it to the disk. */
  loseUnsynced(random: Random): void {
    const survivors = this.pending.length === 0 ? 0 : random.integer(0, this.pending.length);
    for (const { write } of this.pending.slice(0, survivors)) {
      write(this.synced);
    }
    this.pending = [];
    copyContents(this.synced, this.written);
  }

  /** Only the process ended: the kernel finishes what it was given. */
  keepUnsynced(): void {
    this.sync(Number.POSITIVE_INFINITY);
  }

  /** What a process that starts finds. */
  load(): RestoredState {
    const { hardState, snapshot, entries } = this.synced;
    return { hardState, snapshot, initialMembership: this.membership, entries: [...entries] };
  }

  /** The entry at an index as the running process wrote it. */
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
