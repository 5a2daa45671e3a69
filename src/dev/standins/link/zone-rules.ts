/** The current rules of a link for traffic from one zone to another. */
import { EventEmitter } from 'node:events';
import type { LinkRule } from './link-settings.js';

export type LinkState = LinkRule['state'];

const UNKNOWN_ZONE = '';

export class ZoneRules extends EventEmitter<{ changed: [] }> {
  readonly #zoneByHost = new Map<string, string>();
  readonly #states = new Map<string, LinkState>();

  /** `zones` lists the IP addresses of the processes in each zone. */
  constructor(zones: Readonly<Record<string, readonly string[]>>) {
    super();
    this.setMaxListeners(0);
    for (const [zone, hosts] of Object.entries(zones)) {
      for (const host of hosts) {
        this.#zoneByHost.set(host, zone);
      }
    }
  }

  /** Returns the zone of the process at this IP address; '' if unknown, whose traffic is never cut. */
  zoneOf(host: string): string {
    return this.#zoneByHost.get(host) ?? UNKNOWN_ZONE;
  }

  stateOf(from: string, to: string): LinkState {
    return this.#states.get(`${from}|${to}`) ?? 'open';
  }

  apply(rule: LinkRule): void {
    this.#states.set(`${rule.from}|${rule.to}`, rule.state);
    this.emit('changed');
  }
}
