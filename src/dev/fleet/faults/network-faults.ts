/** Faults of the network between zones, applied by the stand-in links. */
import got from 'got';
import type { Zone } from '../../../model/identifiers.js';
import type { LinkRule } from '../../standins/link/link-settings.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { FaultLog } from './fault-log.js';

/** Share of the open connections that end in each interval of the link. */
const ENDED_SHARE = 0.02;

/** Source and destination zone. */
type ZoneDirection = readonly [Zone, Zone];

/** Returns the directions in which a fault of type `cut`, `isolate` or `half-open` holds bytes. */
export function heldDirections(
  { type, target }: Pick<ScheduledFault, 'type' | 'target'>,
  zones: readonly Zone[],
): ZoneDirection[] {
  if (type === 'half-open') {
    const [from = '', to = ''] = target.split('>');
    return [[from, to]];
  }
  if (type === 'cut') {
    const [one = '', other = ''] = target.split('|');
    return bothWays(one, other);
  }
  return zones.filter((zone) => zone !== target).flatMap((zone) => bothWays(target, zone));
}

function bothWays(one: Zone, other: Zone): ZoneDirection[] {
  return [
    [one, other],
    [other, one],
  ];
}

export class NetworkFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;

  constructor(fleet: Fleet, log: FaultLog) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** Holds the bytes of the fault's directions for `length` milliseconds. */
  async hold(fault: ScheduledFault, length: number): Promise<void> {
    const { journal, plan } = this.#fleet;
    const directions = heldDirections(fault, plan.deployment.zones);
    this.#log.note(fault, fault.target);
    for (const zones of directions) {
      journal.write({ event: 'cut', zones });
    }
    await this.#applyRules(directions, 'hold');
    try {
      await this.#fleet.wait(length);
    } finally {
      for (const zones of directions) {
        journal.write({ event: 'healed', zones });
      }
      await this.#applyRules(directions, 'open');
    }
  }

  /** Ends connections into the fault's zone for `length` milliseconds. */
  async endConnections(fault: ScheduledFault, length: number): Promise<void> {
    const { journal, plan } = this.#fleet;
    const link = plan.links.find(({ zone }) => zone === fault.target);
    const processes = [...plan.routers, ...plan.control, ...plan.upstreams]
      .filter(({ zone }) => zone === fault.target)
      .map(({ name }) => name);
    const setShare = (share: number): Promise<unknown> =>
      got.post(`http://${link?.admin}/endings`, { json: { share } });
    this.#log.note(fault, fault.target);
    journal.write({ event: 'connections-ending', processes });
    await setShare(ENDED_SHARE);
    try {
      await this.#fleet.wait(length);
    } finally {
      await setShare(0);
      journal.write({ event: 'connections-kept', processes });
    }
  }

  async #applyRules(directions: readonly ZoneDirection[], state: LinkRule['state']): Promise<void> {
    const calls = this.#fleet.plan.links.flatMap(({ admin }) =>
      directions.map(([from, to]) => got.post(`http://${admin}/rules`, { json: { from, to, state } })),
    );
    await Promise.all(calls);
  }
}
