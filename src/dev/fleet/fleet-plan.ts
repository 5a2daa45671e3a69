/** Plans the processes of a fleet, their zones and addresses, without starting or writing anything. */
import { randomBytes } from 'node:crypto';
import { join } from 'node:path';
import type { Address, ClusterId, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';
import type { Deployment, UpstreamTemplate } from '../../settings/deployment.js';
import {
  AddressPlan,
  addressOf,
  CLIENT_ZONE,
  type LinkedEndpoint,
  linkedEndpoint,
  PORTS,
} from './address-plan.js';
import type { FleetOptions } from './fleet-options.js';

/** Properties common to all processes of a plan. */
interface ProcessPlan {
  readonly name: string;
  readonly zone: Zone;
  readonly host: string;
  /** Folder of the process, for settings, log and data. */
  readonly folder: string;
}

export interface ControlPlan extends ProcessPlan {
  readonly internal: LinkedEndpoint;
  readonly admin: Address;
  readonly dataFolder: string;
}

export interface RouterPlan extends ProcessPlan {
  readonly callers: LinkedEndpoint;
  readonly admin: Address;
  /** Port for other routers. */
  readonly relay: Address;
}

/** One upstream; several can share a process. */
export interface UpstreamPlan {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly zone: Zone;
  readonly keyed: boolean;
  readonly endpoint: LinkedEndpoint;
  readonly template: UpstreamTemplate;
  /** Index among the upstreams of its service, from 0. */
  readonly place: number;
}

export interface UpstreamProcessPlan extends ProcessPlan {
  /** Endpoint that switches faults of answers on and off. */
  readonly admin: Address;
  readonly upstreams: readonly UpstreamPlan[];
}

/** Forwards the traffic into one zone. */
export interface LinkPlan extends ProcessPlan {
  readonly admin: Address;
}

export interface CallerPlan extends ProcessPlan {
  /** `POST /start` at this address starts the load. */
  readonly admin: Address;
}

export interface PlatformPlan extends ProcessPlan {
  readonly listen: Address;
}

export interface FleetPlan {
  readonly cluster: ClusterId;
  readonly deployment: Deployment;
  readonly folder: string;
  readonly journalFolder: string;
  readonly secretFile: string;
  readonly secret: string;
  readonly control: readonly ControlPlan[];
  readonly routers: readonly RouterPlan[];
  readonly upstreams: readonly UpstreamProcessPlan[];
  readonly links: readonly LinkPlan[];
  readonly platform: PlatformPlan;
  readonly callers: readonly CallerPlan[];
  /** Source address of the runner's requests. */
  readonly operatorHost: string;
  readonly hostsByZone: Readonly<Record<Zone, readonly string[]>>;
}

const SECRET_BYTES = 32;

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

/** Creates the plan of one run. */
export class FleetPlanner {
  readonly #options: FleetOptions;
  readonly #addresses: AddressPlan;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#addresses = new AddressPlan(options.network, options.deployment.zones);
  }

  plan(): FleetPlan {
    const { deployment, folder, controlMembers, routersPerZone, callers } = this.#options;
    const { zones } = deployment;
    const parts = {
      control: range(controlMembers).map((index) => this.#control(index)),
      routers: range(routersPerZone * zones.length).map((index) => this.#router(index)),
      upstreams: this.#upstreamProcesses(),
      links: zones.map((zone) => this.#link(zone)),
      platform: this.#platform(),
      callers: range(callers).map((index) => this.#caller(index)),
      operatorHost: this.#addresses.allocateHost(CLIENT_ZONE),
    };
    return {
      ...parts,
      cluster: `fleet-${deployment.name}`,
      deployment,
      folder,
      journalFolder: join(folder, 'journals'),
      secretFile: join(folder, 'cluster-secret'),
      secret: randomBytes(SECRET_BYTES).toString('base64url'),
      hostsByZone: this.#addresses.hostsByZone(),
    };
  }

  #zoneOf(index: number): Zone {
    const { zones } = this.#options.deployment;
    return zones[index % zones.length] as Zone;
  }

  #process(name: string, zone: Zone): ProcessPlan {
    return {
      name,
      zone,
      host: this.#addresses.allocateHost(zone),
      folder: join(this.#options.folder, 'processes', name),
    };
  }

  #control(index: number): ControlPlan {
    const process = this.#process(`control-${index + 1}`, this.#zoneOf(index));
    return {
      ...process,
      internal: linkedEndpoint(process.host, PORTS.internal),
      admin: addressOf(process.host, PORTS.admin),
      dataFolder: join(process.folder, 'data'),
    };
  }

  #router(index: number): RouterPlan {
    const process = this.#process(`router-${index + 1}`, this.#zoneOf(index));
    const callers = linkedEndpoint(process.host, PORTS.service);
    return {
      ...process,
      callers,
      admin: addressOf(process.host, PORTS.admin),
      relay: addressOf(process.host, PORTS.relay),
    };
  }

  #link(zone: Zone): LinkPlan {
    const process = this.#process(`link-${zone}`, zone);
    return { ...process, admin: addressOf(process.host, PORTS.admin) };
  }

  #caller(index: number): CallerPlan {
    const process = this.#process(`caller-${index + 1}`, CLIENT_ZONE);
    return { ...process, admin: addressOf(process.host, PORTS.admin) };
  }

  #platform(): PlatformPlan {
    const process = this.#process('platform', this.#zoneOf(0));
    return { ...process, listen: addressOf(process.host, PORTS.admin) };
  }

  /** The first upstreams of each service get dedicated processes; the others share one process per zone. */
  #upstreamProcesses(): UpstreamProcessPlan[] {
    const { deployment, ownProcesses, declared } = this.#options;
    const dedicated: UpstreamPlan[] = [];
    const shared: UpstreamPlan[] = [];
    for (const template of deployment.upstreams) {
      const hasKeys = deployment.services.some(({ name, keyed }) => name === template.service && keyed);
      const keyed = hasKeys && !declared;
      const dedicatedCount = keyed ? ownProcesses.keyed : ownProcesses.unkeyed;
      for (const index of range(template.count)) {
        (index < dedicatedCount ? dedicated : shared).push(this.#upstream(template, keyed, index));
      }
    }
    const groups = deployment.zones
      .map((zone) => shared.filter((upstream) => upstream.zone === zone))
      .filter((upstreams) => upstreams.length > 0);
    return [
      ...dedicated.map((upstream) => this.#upstreamProcess(upstream.id, [upstream])),
      ...groups.map((upstreams) => this.#upstreamProcess(`upstreams-${upstreams[0]?.zone}`, upstreams)),
    ];
  }

  #upstream(template: UpstreamTemplate, keyed: boolean, index: number): UpstreamPlan {
    const zone = template.zones[index % template.zones.length] as Zone;
    const id = `${template.service}-${index + 1}`;
    const endpoint = linkedEndpoint(this.#addresses.allocateHost(zone), PORTS.service);
    return { id, service: template.service, zone, keyed, endpoint, template, place: index };
  }

  #upstreamProcess(name: string, upstreams: readonly UpstreamPlan[]): UpstreamProcessPlan {
    const process = this.#process(name, upstreams[0]?.zone as Zone);
    return { ...process, admin: addressOf(process.host, PORTS.admin), upstreams };
  }
}

/** All upstreams of a plan. */
export function upstreamsOf(plan: FleetPlan): UpstreamPlan[] {
  return plan.upstreams.flatMap(({ upstreams }) => upstreams);
}
