/** What a run's faults did: who was met when, and how the losses of owners went. */
import { machineMillis } from '../../journal/machine-clock.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import { type OwnedKeys, type OwnerLoss, OwnerLossProbe } from '../observe/owner-loss-probe.js';

/** Who a fault meets. */
export interface Target {
  readonly name: string;
  /** What it owned right before, if it is to lose it. */
  readonly owned: OwnedKeys | undefined;
}

/** A fault that was carried out. */
export interface FaultDone {
  readonly fault: ScheduledFault;
  /** Who it met. */
  readonly target: string;
  readonly at: number;
}

export class FaultLog {
  readonly ownerLosses: OwnerLoss[] = [];
  readonly done: FaultDone[] = [];
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

  /** Keys that the upstream of this process owns now; `undefined` if it isn't one. */
  async ownedBy(process: string): Promise<OwnedKeys | undefined> {
    const isUpstream = this.#fleet.specOf(process).kind === 'upstream';
    return isUpstream ? this.#probe.keysOf(process) : undefined;
  }

  /** Measures, from now on and in the background, when each of these keys is served by another owner. */
  watchLoss(owned: OwnedKeys | undefined): void {
    if (owned !== undefined && owned.keys.length > 0) {
      this.#watches.push(this.#probe.watch(owned).then((loss) => void this.ownerLosses.push(loss)));
    }
  }

  /** Resolves when each key of the owners lost so far is served by others, or was given up. */
  async waitForNewOwners(): Promise<void> {
    await Promise.all(this.#watches);
  }

  async close(): Promise<void> {
    await this.#probe.close();
  }
}
