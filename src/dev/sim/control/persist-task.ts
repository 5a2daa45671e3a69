/** Writes of one run of a control member: synced one at a time and in order, each reported when complete. */
import type { PersistRequest } from '../../../consensus/types.js';
import type { Random } from '../random.js';
import type { SimProcess } from '../sim-process.js';
import type { SimulatedDisk } from '../simulated-disk.js';
import type { World } from '../world.js';
import { sabotagePersist } from './sabotage-control.js';

const MIN_SYNC_MILLIS = 0.2;
const MAX_SYNC_MILLIS = 3;
/** Time for which the sabotaged disk leaves writes unsynced, and that of a sabotaged new replica. */
const UNSYNCED_MILLIS = 400;
const UNSYNCED_NEW_MILLIS = 5000;

export interface PersistTaskParts {
  readonly world: World;
  readonly process: SimProcess;
  readonly random: Random;
  readonly disk: SimulatedDisk;
  /** Whether the disk took the place of a lost one. */
  readonly isReplacement: boolean;
  /** Reports to the core that everything up to this request is on disk (under `no-fsync` it may not be). */
  readonly persisted: (persistId: number) => void;
}

export class PersistTask {
  private readonly run: number;
  private lastSyncAt: number;
  private lastPersistId = 0;
  private reportedId = 0;

  constructor(private readonly parts: PersistTaskParts) {
    this.run = parts.process.run;
    this.lastSyncAt = parts.world.time.now;
  }

  /** Id of the last request. */
  get lastRequest(): number {
    return this.lastPersistId;
  }

  /** Whether the report of a request is still pending. */
  get isBusy(): boolean {
    return this.lastPersistId > this.reportedId;
  }

  write(request: PersistRequest): void {
    const { world, random, disk } = this.parts;
    const { persistId } = request;
    this.lastPersistId = persistId;
    disk.write(sabotagePersist(request, world.sabotage));
    const syncMillis = random.between(MIN_SYNC_MILLIS, MAX_SYNC_MILLIS);
    this.lastSyncAt = Math.max(this.lastSyncAt, world.time.now) + syncMillis;
    const unsyncedMillis = this.unsyncedMillis();
    const isReportedEarly = unsyncedMillis > 0;
    if (isReportedEarly) {
      this.parts.process.schedule(0, () => this.report(persistId), true);
    }
    world.time.at(this.lastSyncAt + unsyncedMillis, () => this.sync(persistId, !isReportedEarly));
  }

  /** How long after its report a write is synced under a sabotage; 0 without one. */
  private unsyncedMillis(): number {
    const { world, isReplacement } = this.parts;
    switch (world.sabotage) {
      case 'no-fsync':
        return UNSYNCED_MILLIS;
      case 'vote-before-sync':
        return isReplacement ? UNSYNCED_NEW_MILLIS : 0;
      default:
        return 0;
    }
  }

  private sync(persistId: number, isReported: boolean): void {
    const { process, disk } = this.parts;
    if (process.run !== this.run || process.state === 'stopped') {
      return;
    }
    disk.sync(persistId);
    if (isReported) {
      process.post(() => this.report(persistId), true);
    }
  }

  private report(persistId: number): void {
    this.reportedId = persistId;
    this.parts.persisted(persistId);
  }
}
