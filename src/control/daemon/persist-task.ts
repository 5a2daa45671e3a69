/** Task that owns the replica's files: one write and sync at a time, each for all requests queued in the meantime. */
import type { PersistRequest } from '../../consensus/types.js';
import { toError } from '../../errors/ternmount-error.js';

/** The part of the replica's store that the daemon uses. */
export interface ReplicaFiles {
  /** Writes the requests in order and syncs them; resolves when all are on disk. */
  persist(requests: readonly PersistRequest[]): Promise<void>;
  close(): Promise<void>;
}

export interface PersistTaskOwner {
  /** Called when everything up to this request is on disk. */
  persisted(persistId: number): void;
  /** Called when a write failed: nothing more can be made durable, and the process must exit. */
  failed(error: Error): void;
}

export class PersistTask {
  private queue: PersistRequest[] = [];
  private running: Promise<void> | null = null;
  private broken = false;

  constructor(
    private readonly files: ReplicaFiles,
    private readonly owner: PersistTaskOwner,
  ) {}

  enqueue(request: PersistRequest): void {
    this.queue.push(request);
    if (this.running === null && !this.broken) {
      this.running = this.run();
    }
  }

  /** Writes the queued requests and closes the files. */
  async stop(): Promise<void> {
    await this.running;
    await this.files.close();
  }

  private async run(): Promise<void> {
    while (this.queue.length > 0 && !this.broken) {
      const batch = this.queue;
      this.queue = [];
      await this.write(batch);
    }
    this.running = null;
  }

  private async write(batch: readonly PersistRequest[]): Promise<void> {
    try {
      await this.files.persist(batch);
    } catch (thrown) {
      this.broken = true;
      this.owner.failed(toError(thrown));
      return;
    }
    const last = batch[batch.length - 1] as PersistRequest;
    this.owner.persisted(last.persistId);
  }
}
