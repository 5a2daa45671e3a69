/** One planned stop of every router at once, after some time of calls. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { DisturbanceCounts } from './disturber.js';
import type { Machine, MachineFleet } from './machine-fleet.js';

const CALLED_MILLIS = 1500;

export class StopOfAll {
  readonly counts: DisturbanceCounts = {
    stops: 0,
    reloads: 0,
    kills: 0,
    freezes: 0,
    wipes: 0,
    upstreamFaults: 0,
  };

  constructor(
    private readonly fleet: MachineFleet,
    /** Time for which a router gets no processor when its stop begins. */
    private readonly heldUpMillis: (router: Machine) => number,
  ) {}

  /** Resolves when all have ended. */
  async run(): Promise<void> {
    await sleep(CALLED_MILLIS);
    const { routers } = this.fleet;
    this.counts.stops += routers.length;
    await Promise.all(routers.map((router) => this.fleet.stopInTime(router, this.heldUpMillis(router))));
  }

  stop(): void {}

  afterAcknowledgement(): void {}
}
