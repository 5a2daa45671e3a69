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

/** Zone of callers and operators, beside those of the deployment. */
export const CLIENT_ZONE = 'clients';

/** Added to the zone's number for the address at which the stand-in link stands before a process. */
const LINK_ZONE_OFFSET = 100;
const FIRST_HOST_NUMBER = 1;
const LAST_HOST_NUMBER = 254;

/** A port that others reach through the link. */
export interface LinkedEndpoint {
  /** Where the process itself listens. */
  readonly listen: Address;
  /** What others are told: there the link listens and forwards to `listen`. */
  readonly advertised: Address;
}

/** Hands out addresses in the order in which it is asked. */
export class AddressPlan {
  readonly #network: NetworkNumber;
  readonly #zones: readonly Zone[];
  readonly #hosts = new Map<Zone, string[]>();

  /** `zones` are the deployment's; the clients' zone is added. */
  constructor(network: NetworkNumber, zones: readonly Zone[]) {
    this.#network = network;
    this.#zones = [...zones, CLIENT_ZONE];
  }

  /** The next free IP number of a zone. */
  takeHost(zone: Zone): string {
    const hosts = this.#hosts.get(zone) ?? [];
    const number = hosts.length + FIRST_HOST_NUMBER;
    if (number > LAST_HOST_NUMBER) {
      throw new RangeError(`zone ${zone} has no address left`);
    }
    const host = `127.${this.#network}.${this.#zones.indexOf(zone) + 1}.${number}`;
    this.#hosts.set(zone, [...hosts, host]);
    return host;
  }

  /** IP numbers handed out so far, by zone. */
  hostsByZone(): Readonly<Record<Zone, readonly string[]>> {
    return Object.fromEntries(this.#hosts);
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

export function linkedEndpoint(host: string, port: number): LinkedEndpoint {
  return { listen: addressOf(host, port), advertised: addressOf(linkHostOf(host), port) };
}
