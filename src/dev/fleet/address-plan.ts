/** Assigns each process of a fleet an address of 127.0.0.0/8: 127.<network>.<zone>.<process>. */
import type { Address, Zone } from '../../model/identifiers.js';

/** Second octet of the addresses; it lets several fleets run on one machine. */
export type NetworkNumber = number;

/** Ports, the same for every process because each has its own address. */
export const PORTS = {
  /** Client HTTP of routers and requests to upstreams. */
  service: 8000,
  /** Admin and control endpoints. */
  admin: 8001,
  /** Between control members and routers. */
  internal: 8002,
  /** Between routers. */
  relay: 8003,
} as const;

/** Zone of callers and operators, in addition to those of the deployment. */
export const CLIENT_ZONE = 'clients';

/** Added to the zone's number to form the address at which the stand-in link proxies a process. */
const LINK_ZONE_OFFSET = 100;
const FIRST_HOST_NUMBER = 1;
const LAST_HOST_NUMBER = 254;

/** An endpoint that other processes reach through the link. */
export interface LinkedEndpoint {
  /** Address on which the process itself listens. */
  readonly listen: Address;
  /** Address given to other processes; the link listens there and forwards to `listen`. */
  readonly advertised: Address;
}

/** Allocates addresses in call order. */
export class AddressPlan {
  readonly #network: NetworkNumber;
  readonly #zones: readonly Zone[];
  readonly #hosts = new Map<Zone, string[]>();

  /** `zones` are those of the deployment; the clients' zone is added. */
  constructor(network: NetworkNumber, zones: readonly Zone[]) {
    this.#network = network;
    this.#zones = [...zones, CLIENT_ZONE];
  }

  /** Allocates the next free IP address of a zone. */
  allocateHost(zone: Zone): string {
    const hosts = this.#hosts.get(zone) ?? [];
    const number = hosts.length + FIRST_HOST_NUMBER;
    if (number > LAST_HOST_NUMBER) {
      throw new RangeError(`zone ${zone} has no free address`);
    }
    const host = `127.${this.#network}.${this.#zones.indexOf(zone) + 1}.${number}`;
    this.#hosts.set(zone, [...hosts, host]);
    return host;
  }

  /** IP addresses allocated so far, by zone. */
  hostsByZone(): Readonly<Record<Zone, readonly string[]>> {
    return Object.fromEntries(this.#hosts);
  }
}

/** Address at which the link listens for the process at `host`. */
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
