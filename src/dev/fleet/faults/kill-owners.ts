/** Repeatedly kills an owner under load, to measure how long its keys have no owner. */
import type { ExtraWork } from '../fleet-run.js';
import { OwnershipWait } from '../observe/ownership-wait.js';

const MILLIS_PER_SECOND = 1000;
/** Duration of the load before the first kill. */
const SECONDS_BEFORE_FIRST_KILL = 3;
/** Duration of one kill, including the restart and the return of shards to the restarted process. */
const SECONDS_PER_KILL = 9;
/** Pause between the restart of the killed process and the next kill. */
const SETTLE_MILLIS = 2500;

/** Duration of the load needed for `kills` kills. */
export function secondsForKills(kills: number): number {
  return kills === 0 ? 0 : SECONDS_BEFORE_FIRST_KILL + kills * SECONDS_PER_KILL;
}

/** Returns an action for a fleet run that kills an owner `kills` times in succession. */
export function killOwners(kills: number, write: (line: string) => void): ExtraWork {
  return async (fleet, faults) => {
    await fleet.wait(SECONDS_BEFORE_FIRST_KILL * MILLIS_PER_SECOND);
    const ownership = new OwnershipWait(fleet);
    for (let kill = 1; kill <= kills; kill += 1) {
      await ownership.everyShardOwned();
      const name = await faults.killOwnerAndRestart();
      const loss = faults.log.ownerLosses.at(-1);
      const longest = Math.round(Math.max(0, ...(loss?.millis ?? [])));
      write(
        `kill ${kill} of ${kills}: ${name}, ${loss?.keys ?? 0} keys, the last one served after ${longest} ms`,
      );
      await fleet.wait(SETTLE_MILLIS);
    }
  };
}
