/** The operator: changes the configuration one after the other and by overlapping orders, and reads it back at every member. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import { type ControlAnswer, callControl } from './control-call.js';
import type { AcknowledgedChange, ConfigurationRead } from './records.js';
import { HOST } from './soak-caller.js';
import { TRAFFIC, type Traffic } from './soak-traffic.js';

const PATH = '/v1/declaration';
const OK = 200;
const CLEAR: ReadonlySet<number> = new Set([OK, 400, 409, 412, 413, 422]);
const ORDER_MILLIS = 12_000;
const LAST_READ_MILLIS = 15_000;
const MAX_PAUSE_MILLIS = 500;
const MARK = 'mark';

interface Route {
  readonly name: string;
  readonly prefix: string;
}

interface Order {
  readonly version: number;
  readonly routes?: readonly object[];
  readonly services?: readonly object[];
  readonly limits?: object;
  readonly set?: { readonly routes: readonly object[]; readonly limits?: object };
}

interface Document {
  readonly version: number;
  readonly routes: readonly Route[];
}

export class SoakOperator {
  readonly changes: AcknowledgedChange[] = [];
  readonly reads: ConfigurationRead[] = [];
  /** Orders without a clear answer. */
  unclear = 0;
  /** Time that each order took to get its acknowledgement. */
  readonly ackMillis: number[] = [];
  onAcknowledged: (member: string) => void = () => {};
  #version = 0;
  #count = 0;
  #next = 0;

  constructor(
    private readonly members: readonly string[],
    private readonly random: Random,
    private readonly traffic: Traffic = TRAFFIC.mixed,
  ) {}

  /** Declares the first configuration. */
  async begin(): Promise<void> {
    const services = this.traffic.services.map(({ service: name, isKeyed }) => ({
      name,
      healthPath: '/health',
      connections: 130,
      protocol: 'h1',
      tls: false,
      ...(isKeyed && { keyed: true, warmSeconds: 0, grantedBy: 'request' }),
    }));
    const routes = [this.#readsRoute(), ...this.#fixedRoutes(), ...this.traffic.routes, this.#mark()];
    const limits = this.#limits(8000);
    await this.#order('PUT', 0, { version: 1, routes, services, limits });
  }

  /** Sends a change, or two on top of the same version. */
  async change(): Promise<void> {
    const base = this.#version;
    const orders = this.random.chance(0.3) ? 2 : 1;
    await Promise.all(Array.from({ length: orders }, () => this.#changeOnce(base)));
  }

  /** Reads the configuration at one member. */
  async read(): Promise<ConfigurationRead | null> {
    this.#next += 1;
    const member = this.members[this.#next % this.members.length] as string;
    const sentAt = performance.now();
    const read = parseRead(member, sentAt, await callControl(member, { method: 'GET', path: PATH }));
    if (read !== null) {
      this.reads.push(read);
      this.#version = Math.max(this.#version, read.version);
    }
    return read;
  }

  async readLast(): Promise<ConfigurationRead | null> {
    const until = performance.now() + LAST_READ_MILLIS;
    while (performance.now() < until) {
      const read = await this.read();
      if (read !== null) {
        return read;
      }
      await sleep(100);
    }
    return null;
  }

  async #changeOnce(base: number): Promise<void> {
    const { random } = this;
    const version = base + random.integer(1, 5);
    const set = {
      routes: [
        this.#mark(),
        ...(random.chance(0.5) ? [this.#readsRoute()] : []),
        this.#extraRoute(),
        ...this.traffic.drawChanged(random),
      ],
      ...(random.chance(0.4) && { limits: this.#limits(random.integer(3000, 15_000)) }),
    };
    await this.#order('PATCH', base, { version, set });
  }

  async #order(method: string, base: number, body: Order): Promise<void> {
    const startedAt = performance.now();
    const headers = { 'If-Match': String(base) };
    let pause = 50;
    while (performance.now() < startedAt + ORDER_MILLIS) {
      this.#next += 1;
      const member = this.members[this.#next % this.members.length] as string;
      const { status } = await callControl(member, { method, path: PATH, headers, body });
      if (status === OK) {
        this.#acknowledge(body, startedAt, member);
        return;
      }
      if (CLEAR.has(status)) {
        await this.read();
        return;
      }
      await sleep(pause);
      pause = Math.min(MAX_PAUSE_MILLIS, pause * 1.5);
    }
    this.unclear += 1;
  }

  #acknowledge(body: Order, startedAt: number, member: string): void {
    const at = performance.now();
    this.ackMillis.push(at - startedAt);
    this.changes.push({ version: body.version, marks: marksOf(body), at });
    this.#version = Math.max(this.#version, body.version);
    this.onAcknowledged(member);
  }

  #readsRoute(): object {
    const weight = this.random.integer(0, 100);
    const split = [
      { service: 'reads-1', weight: 100 - weight },
      { service: 'reads-2', weight },
    ];
    const timeoutMillis = this.random.integer(6000, 8000);
    return { ...route('reads', 'safe', timeoutMillis, 2), split };
  }

  #fixedRoutes(): object[] {
    return [
      { ...route('orders', 'unsafe', 7000, 2), service: 'orders-1' },
      { ...route('seats', 'safe', 7000, 2), service: 'seats-1' },
    ];
  }

  /** A route whose prefix tells this change from any other of the same version. */
  #mark(): object {
    this.#count += 1;
    const prefix = `/${MARK}-${this.#count}/`;
    return { ...route(MARK, 'safe', 1000, 1), prefix, service: 'reads-1' };
  }

  #extraRoute(): object {
    const name = `extra-${this.random.integer(1, 200)}`;
    return { ...route(name, 'safe', 2000, 1), service: 'reads-1' };
  }

  #limits(idleMillis: number): object {
    return { headerBytes: 16_384, bodyBytes: 67_108_864, headerMillis: 3000, idleMillis };
  }
}

function route(name: string, type: string, timeoutMillis: number, attempts: number): object {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    type,
    timeoutMillis,
    targetMillis: 500,
    priority: 1,
    attempts,
  };
}

function marksOf({ routes, set }: Order): string {
  return ((routes ?? set?.routes ?? []) as readonly Route[]).find(({ name }) => name === MARK)?.prefix ?? '';
}

function parseRead(
  member: string,
  sentAt: number,
  { status, body }: ControlAnswer,
): ConfigurationRead | null {
  if (status !== OK) {
    return null;
  }
  const document = JSON.parse(body) as Document;
  return { member, sentAt, version: Number(document.version), marks: marksOf(document) };
}
