/** Records the faults of a run, their targets and times, and the measured losses of owners. */
import { machineMillis } from '../../journal/machine-clock.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import { type OwnedKeys, type OwnerLoss, OwnerLossProbe } from '../observe/owner-loss-probe.js';

/** The target of a fault. */
export interface Target {
  readonly name: string;
  /** Keys owned just before the fault, if the fault makes the target lose them. */
  readonly owned: OwnedKeys | undefined;
}

/** A fault that was applied. */
export interface AppliedFault {
  readonly fault: ScheduledFault;
  /** Name of the target. */
  readonly target: string;
  readonly at: number;
}

export class FaultLog {
  readonly ownerLosses: OwnerLoss[] = [];
  readonly done: AppliedFault[] = [];
  readonly #fleet: Fleet;
  readonly #probe: OwnerLossProbe;
  readonly #watches: Promise<void>[] = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#probe = new OwnerLossProbe(fleet);
  }

  note(fault: ScheduledFault, target: string): void {
    this.done.push({ fault, target, at: machineMillis() });
  }

  /** Keys that the upstream in this process owns now; `undefined` if the process isn't an upstream. */
  async ownedBy(process: string): Promise<OwnedKeys | undefined> {
    const isUpstream = this.#fleet.specOf(process).kind === 'upstream';
    return isUpstream ? this.#probe.keysOf(process) : undefined;
  }

  /** Starts to measure in the background when each of these keys is served by another owner. */
  watchLoss(owned: OwnedKeys | undefined): void {
    if (owned !== undefined && owned.keys.length > 0) {
      this.#watches.push(this.#probe.watch(owned).then((loss) => void this.ownerLosses.push(loss)));
    }
  }

  /** Resolves when each key of the owners lost so far is served by another owner or has timed out. */
  async waitForNewOwners(): Promise<void> {
    await Promise.all(this.#watches);
  }

  async close(): Promise<void> {
    await this.#probe.close();
  }
}
