/** Which IP number of 127.0.0.0/8 each process of a fleet gets: 127.<network>.<zone>.<process>. */
import type { Address, Zone } from '../../model/identifiers.js';

/** Second number of the addresses, so that several fleets fit on one machine. */
export type NetworkNumber = number;

/** Ports; each process has an address of its own, so all use the same ones. */
export const PORTS = {
  /** Callers' HTTP of routers, requests to upstreams. */
  service: 8000,
  /** Admin and control endpoints. */
  admin: 8001,
  /** Between control members and routers. */
  internal: 8002,
} as const;

/** Added to the zone's number for the address at which the stand-in link stands before a process. */
const LINK_ZONE_OFFSET = 100;
const FIRST_HOST_NUMBER = 1;
const LAST_HOST_NUMBER = 254;

/** Hands out addresses in the order in which it is asked. */
export class AddressPlan {
  readonly #network: NetworkNumber;
  readonly #zones: readonly Zone[];
  readonly #used = new Map<Zone, number>();

  constructor(network: NetworkNumber, zones: readonly Zone[]) {
    this.#network = network;
    this.#zones = zones;
  }

  /** The next free IP number of a zone. */
  takeHost(zone: Zone): string {
    const number = (this.#used.get(zone) ?? FIRST_HOST_NUMBER - 1) + 1;
    if (number > LAST_HOST_NUMBER) {
      throw new RangeError(`zone ${zone} has no address left`);
    }
    this.#used.set(zone, number);
    return `127.${this.#network}.${this.#zoneNumber(zone)}.${number}`;
  }

  #zoneNumber(zone: Zone): number {
    return this.#zones.indexOf(zone) + 1;
  }
}

/** Where the link listens on behalf of a process at `host`. */
export function linkHostOf(host: string): string {
  const [first, network, zone, number] = host.split('.');
  return `${first}.${network}.${Number(zone) + LINK_ZONE_OFFSET}.${number}`;
}

export function addressOf(host: string, port: number): Address {
  return `${host}:${port}`;
}
