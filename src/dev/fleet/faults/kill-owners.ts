/** Kills an owner again and again under load, to measure how long its keys stay without a new one. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Fleet } from '../fleet.js';
import type { ExtraWork } from '../fleet-run.js';
import { OwnershipWait } from '../observe/ownership-wait.js';
import type { FaultRunner } from './fault-runner.js';

const MILLIS_PER_SECOND = 1000;
/** Load before the first kill. */
const LEAD_SECONDS = 3;
/** Load that one kill needs, with the restart and the return of shards to the started process. */
const SECONDS_PER_KILL = 9;
/** Between the start of the killed process and the next kill. */
const SETTLE_MILLIS = 2500;

/** Length of the load for so many kills. */
export function killsSeconds(kills: number): number {
  return kills === 0 ? 0 : LEAD_SECONDS + kills * SECONDS_PER_KILL;
}

async function killOnce(fleet: Fleet, faults: FaultRunner): Promise<string> {
  const name = await faults.targets.owner();
  const fault = { type: 'kill', target: 'owner', at: 0, seconds: 0 } as const;
  await faults.killAndWatch(fault, name);
  await faults.waitForNewOwners();
  await fleet.startProcess(name);
  return name;
}

/** Work of a fleet run that kills an owner `kills` times in a row. */
export function killOwners(kills: number, write: (line: string) => void): ExtraWork {
  return async (fleet, faults) => {
    await delay(LEAD_SECONDS * MILLIS_PER_SECOND, undefined, { signal: fleet.signal });
    const ownership = new OwnershipWait(fleet);
    for (let kill = 1; kill <= kills; kill += 1) {
      await ownership.everyShardOwned();
      const name = await killOnce(fleet, faults);
      const loss = faults.ownerLosses.at(-1);
      const longest = Math.round(Math.max(0, ...(loss?.millis ?? [])));
      write(
        `kill ${kill} of ${kills}: ${name}, ${loss?.keys ?? 0} keys, the last one served after ${longest} ms`,
      );
      await delay(SETTLE_MILLIS, undefined, { signal: fleet.signal });
    }
  };
}
