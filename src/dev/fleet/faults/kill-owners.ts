/** Kills an owner again and again under load, to measure how long its keys stay without a new one. */
import type { ExtraWork } from '../fleet-run.js';
import { OwnershipWait } from '../observe/ownership-wait.js';

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

/** Work of a fleet run that kills an owner `kills` times in a row. */
export function killOwners(kills: number, write: (line: string) => void): ExtraWork {
  return async (fleet, faults) => {
    await fleet.wait(LEAD_SECONDS * MILLIS_PER_SECOND);
    const ownership = new OwnershipWait(fleet);
    for (let kill = 1; kill <= kills; kill += 1) {
      await ownership.everyShardOwned();
      const name = await faults.loseOwnerOnce();
      const loss = faults.log.ownerLosses.at(-1);
      const longest = Math.round(Math.max(0, ...(loss?.millis ?? [])));
      write(
        `kill ${kill} of ${kills}: ${name}, ${loss?.keys ?? 0} keys, the last one served after ${longest} ms`,
      );
      await fleet.wait(SETTLE_MILLIS);
    }
  };
}
