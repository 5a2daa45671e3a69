/**
 * Routers of several zones, some of which lose their paths to upstreams while callers and control reach them, on one virtual clock. Three
 * services: one divided by key, one whose requests must not run twice, one without keys. Counted are callers' first tries.
 */
import type { ControlToRouter, RouterToControl } from '../../src/control/messages.js';
import { RelayDirectory } from '../../src/control/relay-directory.js';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { RegistryChange, ServiceRecord, ShardRecord, UpstreamRecord } from '../../src/registry/types.js';
import { type Cut, type CutMode, CutNetwork } from './cut-network.js';
import { addressOf, type CallEnd, type CutCall, CutRouter, type CutRouterParts } from './cut-router.js';
import { CutUpstream } from './cut-upstream.js';
import { MEMBERS, service, upstream } from './router-harness.js';

const ZONES = ['a', 'b', 'c'] as const;
const SLOTS = 3;
/** Number of shards for each owner of keys. */
const SHARDS_PER_OWNER = 3;
const WORK_SIGMA = 0.3;
/** How much longer a slow request takes. */
const SLOW_FACTOR = 4;
const CONTROL_DELAY_MILLIS = 1;
/** Number of different requests of a class, so that some of them are under way more than once. */
const DISTINCT_REQUESTS = 400;
const CLIENT_DELAY_MILLIS = 3;

interface RequestClass {
  readonly name: string;
  readonly keyed: boolean;
  readonly repeatable: boolean;
  readonly upstreams: number;
  readonly workMillis: number;
  readonly targetMillis: number;
  readonly deadlineMillis: number;
  /** Share of all requests. */
  readonly share: number;
}

const CLASSES: readonly RequestClass[] = [
  {
    name: 'seats',
    keyed: true,
    repeatable: true,
    upstreams: 14,
    workMillis: 90,
    targetMillis: 300,
    deadlineMillis: 800,
    share: 0.6,
  },
  {
    name: 'orders',
    keyed: false,
    repeatable: false,
    upstreams: 6,
    workMillis: 120,
    targetMillis: 400,
    deadlineMillis: 1000,
    share: 0.19,
  },
  {
    name: 'lists',
    keyed: false,
    repeatable: true,
    upstreams: 13,
    workMillis: 220,
    targetMillis: 600,
    deadlineMillis: 1500,
    share: 0.21,
  },
];

export interface CutFleetOptions {
  readonly seed: number;
  /** Number of routers in each zone. */
  readonly routers: Readonly<Record<(typeof ZONES)[number], number>>;
  readonly requestsPerSecond: number;
  /** Factor on the number of upstreams; 1 if left out. */
  readonly upstreamFactor?: number;
  readonly cuts: readonly Cut[];
  readonly millis: number;
  /** Share of packets that are lost everywhere; 0 if left out. */
  readonly lossShare?: number;
  /** Share of requests that take far longer than the others; 0 if left out. */
  readonly slowShare?: number;
  /** Times at which something else happens. */
  readonly events?: readonly { readonly at: number; readonly run: (fleet: CutFleet) => void }[];
}

export interface CallRecord {
  readonly sentAt: number;
  readonly router: string;
  readonly className: string;
  readonly repeatable: boolean;
  /** Upstreams at which it ran. */
  readonly runs: string[];
  end: CallEnd | null;
  endedAt: number | null;
  /** Whether the answer of an upstream reached the caller before its deadline. */
  isServed: boolean;
}

export interface LogLine {
  readonly at: number;
  readonly router: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export class CutFleet {
  readonly time = new EventQueue();
  readonly calls: CallRecord[] = [];
  readonly log: LogLine[] = [];
  readonly routers: CutRouter[] = [];
  readonly upstreams = new Map<string, CutUpstream>();
  #isLeaderless = false;
  readonly #options: CutFleetOptions;
  readonly #random: RandomSource;
  readonly #network: CutNetwork;
  readonly #records: UpstreamRecord[] = [];
  #directory = newDirectory();

  constructor(options: CutFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#network = new CutNetwork(
      this.time,
      new RandomSource(options.seed + 1),
      options.cuts,
      options.lossShare,
    );
    this.#addUpstreams(options.upstreamFactor ?? 1);
    for (const zone of ZONES) {
      for (let number = 1; number <= options.routers[zone]; number += 1) {
        this.#startRouter(`r-${zone}-${number}`, zone);
      }
    }
  }

  run(): this {
    const { cuts, millis, events = [] } = this.#options;
    for (const cut of cuts) {
      if (cut.mode === 'reset' || cut.mode === 'refused') {
        this.time.at(cut.from, () => this.#resetConnections(cut));
      }
    }
    for (const { at, run } of events) {
      this.time.at(at, () => run(this));
    }
    this.#arriveNext();
    this.time.runUntil(millis + 3000);
    return this;
  }

  /** Control has no leader from now on, but its members still answer syncs. */
  loseLeader(): void {
    this.#isLeaderless = true;
  }

  /** Another member of control becomes leader, which knows of no relay yet. */
  changeLeader(): void {
    this.#directory = newDirectory();
  }

  /** Restarts a router without state. */
  restart(name: string): void {
    const index = this.routers.findIndex((router) => router.name === name);
    const before = this.routers[index] as CutRouter;
    before.stop();
    this.routers.splice(index, 1);
    for (const router of this.routers) {
      router.relayEnded(before);
    }
    this.#startRouter(name, before.zone, index);
  }

  /** Share of the first tries that were served, of those sent in a span to routers that match. */
  servedShare(from: number, to: number, matches: (router: string) => boolean): number {
    const counted = this.calls.filter(
      ({ sentAt, router }) => sentAt >= from && sentAt < to && matches(router),
    );
    return counted.filter(({ isServed }) => isServed).length / Math.max(1, counted.length);
  }

  #startRouter(name: string, zone: string, index = this.routers.length): void {
    const parts: CutRouterParts = {
      time: this.time,
      network: this.#network,
      upstreams: this.upstreams,
      routerOf: (other) => this.routers.find((candidate) => candidate.name === other),
      toControl: (router, message) => this.#toControl(router, message),
      ended: (call, end) => this.#ended(call, end),
      logged: (router, event, fields) => this.log.push({ at: this.time.now, router, event, fields }),
    };
    const router = new CutRouter(name, zone, this.#random.below(1_000_000), parts);
    this.routers.splice(index, 0, router);
    const shards = this.#shards();
    const services = CLASSES.map((kind) => serviceOf(kind, shards.length));
    router.harness.start(services, this.#records, shards);
    router.step((harness) => harness.change(CLASSES.map(routeOf)));
  }

  #addUpstreams(factor: number): void {
    let number = 0;
    for (const { name, upstreams } of CLASSES) {
      for (let index = 0; index < upstreams * factor; index += 1) {
        number += 1;
        const id = `u${number}`;
        const zone = ZONES[index % ZONES.length] as string;
        const onRun = (call: number, at: string): void => void this.calls[call]?.runs.push(at);
        this.upstreams.set(id, new CutUpstream(this.time, id, zone, name, SLOTS, onRun));
        const announced = { slots: SLOTS, warmupMillis: 0 };
        const record = upstream(id, name, { zone, announced, address: addressOf(id) });
        this.#records.push({ ...record, incarnation: id });
      }
    }
  }

  #shards(): ShardRecord[] {
    const owners = [...this.upstreams.values()].filter(({ service: name }) => name === 'seats');
    return Array.from({ length: owners.length * SHARDS_PER_OWNER }, (_, number) => {
      const owner = (owners[number % owners.length] as CutUpstream).name;
      const shard = `seats/all@1/${number}`;
      return { shard, owner, incarnation: owner, epoch: 1, movingTo: null, revision: 1 };
    });
  }

  #resetConnections({ concerns }: Cut): void {
    for (const router of this.routers) {
      for (const { name } of this.upstreams.values()) {
        if (concerns(router.name, name)) {
          router.resetConnections(name);
        }
      }
    }
  }

  #arriveNext(): void {
    const { requestsPerSecond, millis } = this.#options;
    this.time.after(this.#random.exponential(1000 / requestsPerSecond), () => {
      if (this.time.now < millis) {
        this.#arrive();
        this.#arriveNext();
      }
    });
  }

  #arrive(): void {
    const kind = classAt(this.#random.fraction());
    const router = this.#random.pick(this.routers);
    const number = this.calls.length;
    const text = String(this.#random.below(DISTINCT_REQUESTS));
    const call: CutCall = {
      number,
      path: `/${kind.name}/${text}`,
      key: kind.keyed ? text : null,
      method: kind.repeatable ? 'GET' : 'POST',
      fingerprint: kind.repeatable ? `${kind.name}/${text}` : `${kind.name}/${number}`,
      deadlineMillis: kind.deadlineMillis,
      workMillis: this.#random.logNormal(kind.workMillis, WORK_SIGMA) * this.#slowness(),
    };
    this.calls.push({
      sentAt: this.time.now,
      router: router.name,
      className: kind.name,
      repeatable: kind.repeatable,
      runs: [],
      end: null,
      endedAt: null,
      isServed: false,
    });
    this.time.after(CLIENT_DELAY_MILLIS, () => router.receive(call));
    this.time.after(kind.deadlineMillis, () => this.#leave(router, call));
  }

  #slowness(): number {
    const { slowShare = 0 } = this.#options;
    return slowShare > 0 && this.#random.fraction() < slowShare ? SLOW_FACTOR : 1;
  }

  /** The caller leaves at its deadline. */
  #leave(_router: CutRouter, { number }: CutCall): void {
    const record = this.calls[number] as CallRecord;
    record.endedAt ??= this.time.now;
  }

  #ended(call: number, end: CallEnd): void {
    const record = this.calls[call] as CallRecord;
    record.end = end;
    this.time.after(CLIENT_DELAY_MILLIS, () => {
      record.isServed = end.type === 'delivered' && record.endedAt === null;
      record.endedAt ??= this.time.now;
    });
  }

  #toControl(router: CutRouter, message: RouterToControl): void {
    if (message.type === 'sync-request') {
      this.#toRouter(router, {
        type: 'sync-response',
        stamp: message.stamp,
        confirmed: true,
        revision: router.harness.revision,
        snapshot: null,
        delta: null,
        leader: this.#isLeaderless ? null : (MEMBERS[0] as string),
        members: [],
        turn: null,
      });
    }
    if (message.type === 'load-report' && message.relay !== undefined && !this.#isLeaderless) {
      const peers = this.#directory.recordReport(message.relay, router.name, this.time.now);
      if (peers !== null) {
        this.#toRouter(router, peers);
      }
    }
  }

  #toRouter(router: CutRouter, message: ControlToRouter): void {
    this.time.after(CONTROL_DELAY_MILLIS, () => router.step((harness) => harness.fromControl(message)));
  }
}

function newDirectory(): RelayDirectory {
  return new RelayDirectory({ isEvacuated: () => false });
}

/** The class of a request for a number drawn from 0 to 1. */
function classAt(drawn: number): RequestClass {
  let rest = drawn;
  for (const kind of CLASSES) {
    rest -= kind.share;
    if (rest < 0) {
      return kind;
    }
  }
  return CLASSES[0] as RequestClass;
}

function serviceOf({ name, keyed, repeatable, deadlineMillis }: RequestClass, shards: number): ServiceRecord {
  return service(name, {
    keyed,
    repeatable,
    deadlineMillis,
    slotsPerUpstream: SLOTS,
    queueLimit: 1000,
    holdLimitMillis: 1000,
    keyspaces: keyed ? [{ name: 'all', kind: 'prefix', match: '', shards }] : [],
  });
}

function routeOf({ name, repeatable, deadlineMillis, targetMillis }: RequestClass): RegistryChange {
  const definition = {
    name,
    host: 'fleet.example',
    prefix: `/${name}/`,
    repeatable,
    timeoutMillis: deadlineMillis,
    targetMillis,
    maxAttempts: 2,
    priority: 1,
    split: [{ service: name, weight: 1 }],
  };
  return { type: 'route', name, record: { definition, revision: 1 } };
}

/** A cut of some routers from all upstreams. */
export function cutOf(
  mode: CutMode,
  from: number,
  to: number,
  concerns: (router: string, upstream: string) => boolean,
): Cut {
  return { mode, from, to, concerns };
}
