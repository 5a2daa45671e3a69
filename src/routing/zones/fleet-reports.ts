/** What a router tells control of upstreams without keys, with its load reports. */
import type { FleetReport } from '../../model/fleet-view.js';
import type { RouterContext } from '../router-context.js';
import type { RefusalReason, RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** Refusals that more room would have spared. */
const WANTS_ROOM: ReadonlySet<RefusalReason> = new Set(['queue-full', 'gave-way', 'would-miss-deadline']);

export class FleetReports {
  #number = 0;

  constructor(private readonly context: RouterContext) {}

  /** What was refused for want of room was asked for all the same. */
  refused(effects: readonly RouterEffect[]): void {
    const { services, fleetSums } = this.context;
    for (const effect of effects) {
      if (effect.type === 'refuse' && effect.facts !== null && WANTS_ROOM.has(effect.reason)) {
        const { service, route } = effect.facts;
        if (services.get(service)?.definition.keyed === false) {
          fleetSums.asked(service, route ?? service);
        }
      }
    }
  }

  /** The next report; `null` without services whose requests any upstream can serve that says how many slots it has. */
  take(): FleetReport | null {
    const { services, config, fleet, fleetSums, now } = this.context;
    const upstreams = [...services.values()]
      .filter(({ definition }) => !definition.keyed)
      .flatMap((service) => service.upstreams.filter(({ isAnnounced }) => isAnnounced));
    if (upstreams.length === 0) {
      return null;
    }
    const out = upstreams.filter((upstream) => isOutOfOrder(upstream, now)).map(({ id }) => id);
    this.#number += 1;
    return { zone: config.zone, number: this.#number, have: fleet.version, ...fleetSums.take(out) };
  }
}

/** Whether this router sends nothing there because of how it fared, not because it was told to. */
function isOutOfOrder({ evidence, ejection }: UpstreamState, now: number): boolean {
  return ejection.isEjected(now) || (!evidence.isToldLeaving && evidence.standing(now) !== 'usable');
}
