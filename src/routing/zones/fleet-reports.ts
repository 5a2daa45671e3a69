/** The part of a router's load reports to control that covers upstreams without keys. */
import type { FleetReport } from '../../model/fleet-view.js';
import type { RouterContext } from '../router-context.js';
import type { RefusalReason, RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** Refusals that more capacity would have prevented. */
const CAPACITY_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'queue-full',
  'gave-way',
  'would-miss-deadline',
]);

export class FleetReports {
  #number = 0;

  constructor(private readonly context: RouterContext) {}

  /** Counts requests that were refused for lack of capacity as demand. */
  refused(effects: readonly RouterEffect[]): void {
    const { services, fleetSums } = this.context;
    for (const effect of effects) {
      if (effect.type === 'refuse' && effect.facts !== null && CAPACITY_REFUSALS.has(effect.reason)) {
        const { service, route } = effect.facts;
        if (services.get(service)?.definition.keyed === false) {
          fleetSums.recordDemand(service, route ?? service);
        }
      }
    }
  }

  /** Builds the next report; `null` if no service without keys has an upstream that announces its slots. */
  nextReport(): FleetReport | null {
    const { services, config, fleet, fleetSums, now } = this.context;
    const upstreams = [...services.values()]
      .filter(({ definition }) => !definition.keyed)
      .flatMap((service) => service.upstreams.filter(({ isAnnounced }) => isAnnounced));
    if (upstreams.length === 0) {
      return null;
    }
    const outOfService = upstreams.filter((upstream) => isOutOfService(upstream, now)).map(({ id }) => id);
    this.#number += 1;
    return {
      zone: config.zone,
      number: this.#number,
      have: fleet.version,
      ...fleetSums.takeSamples(outOfService),
    };
  }
}

/** Whether this router avoids the upstream because of its own evidence, rather than because the upstream is declared to be draining. */
function isOutOfService({ evidence, ejection }: UpstreamState, now: number): boolean {
  return ejection.isEjected(now) || (!evidence.isDeclaredDraining && evidence.standing(now) !== 'usable');
}
