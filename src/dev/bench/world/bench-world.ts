/** Simulates the clients, network, routers, control and upstreams of one installation on one virtual clock. */
import type { ControlConfig } from '../../../control/types.js';
import type { KeyMap } from '../../../lease/types.js';
import type { ServiceName, ShardId, UpstreamId, Zone } from '../../../model/identifiers.js';
import { shardOfKey } from '../../../model/key-map.js';
import type { ServiceDefinition } from '../../../model/service.js';
import type { OperatorCommand } from '../../../registry/types.js';
import type { PickerName } from '../../../routing/index.js';
import { EventQueue } from '../../virtual/event-queue.js';
import { RandomSource } from '../../virtual/random-source.js';
import { AvailabilityProbe } from './availability-probe.js';
import { keyName, LoadGenerator, type LoadStream } from './load-generator.js';
import { ModelControl } from './model-control.js';
import { ModelNetwork, type NetworkTimes } from './model-network.js';
import { type AttemptCounts, ModelRouter } from './model-router.js';
import { ModelUpstream } from './model-upstream.js';
import type { RequestTally } from './request-tally.js';
import type { UpstreamSpec } from './world-from-deployment.js';

/** Maximum virtual time until everything is up. */
const START_LIMIT_MILLIS = 20_000;
const STEP_MILLIS = 10;
const WAIT_LIMIT_MILLIS = 60_000;

export interface WorldOptions {
  readonly seed: number;
  readonly zones: readonly Zone[];
  readonly network: NetworkTimes;
  readonly services: readonly ServiceDefinition[];
  readonly upstreams: readonly UpstreamSpec[];
  readonly routersPerZone: number;
  readonly controlMembers: number;
  readonly picker: PickerName;
  readonly controlConfig: Partial<ControlConfig>;
}

export class BenchWorld {
  readonly queue = new EventQueue();
  readonly network: ModelNetwork;
  readonly control: ModelControl;
  readonly routers: readonly ModelRouter[];
  readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>;
  private readonly random: RandomSource;
  private readonly services = new Map<ServiceName, ServiceDefinition>();

  constructor(readonly options: WorldOptions) {
    const { seed, zones, services } = options;
    this.random = new RandomSource(seed);
    this.network = new ModelNetwork(this.queue, new RandomSource(seed + 1), options.network);
    for (const service of services) {
      this.services.set(service.name, service);
    }
    this.upstreams = this.makeUpstreams();
    this.control = new ModelControl(this.queue, this.network, this.upstreams, {
      seed,
      zones,
      members: options.controlMembers,
      config: options.controlConfig,
    });
    this.routers = this.makeRouters();
  }

  get now(): number {
    return this.queue.now;
  }

  service(name: ServiceName): ServiceDefinition {
    return this.services.get(name) as ServiceDefinition;
  }

  upstreamsOf(service: ServiceName): ModelUpstream[] {
    return [...this.upstreams.values()].filter((upstream) => upstream.definition.service === service);
  }

  run(millis: number): void {
    this.queue.runUntil(this.queue.now + millis);
  }

  /** Runs until `isDone` returns true, checked after each step, or until the limit; returns the elapsed time. */
  runUntil(isDone: () => boolean, limitMillis = WAIT_LIMIT_MILLIS, stepMillis = STEP_MILLIS): number {
    const start = this.queue.now;
    while (!isDone() && this.queue.now - start < limitMillis) {
      this.run(stepMillis);
    }
    return this.queue.now - start;
  }

  /** Starts everything and runs until every router is serving and every shard is available. */
  start(): void {
    this.control.start();
    for (const router of this.routers) {
      router.start();
    }
    this.runUntil(() => this.control.leader() !== undefined);
    for (const definition of this.options.services) {
      this.change({ type: 'service-apply', definition, expected: null }, false);
    }
    for (const { definition } of this.options.upstreams) {
      this.control.command({ type: 'upstream-apply', definition, expected: null }, false, () => {});
    }
    const probe = this.watch();
    this.runUntil(() => this.isUp(probe), START_LIMIT_MILLIS);
    if (!this.isUp(probe)) {
      throw new Error(`the model did not come up within ${START_LIMIT_MILLIS} ms of virtual time`);
    }
  }

  /** Submits a command and runs until it is answered; returns the elapsed time. */
  change(command: OperatorCommand, wait: boolean): number {
    let answered = false;
    this.control.command(command, wait, () => {
      answered = true;
    });
    return this.runUntil(() => answered, WAIT_LIMIT_MILLIS, 1);
  }

  /** Starts to send the requests of the streams. */
  load(tally: RequestTally, streams: readonly LoadStream[]): LoadGenerator {
    const { queue, network, routers } = this;
    const { seed } = this.options;
    const generator = new LoadGenerator({ queue, seed, network, routers, tally });
    for (const [index, stream] of streams.entries()) {
      generator.start(stream, index);
    }
    return generator;
  }

  /** Returns a probe of the first `count` keys of a service, or of one key per shard of all keyed services. */
  watch(service?: ServiceName, count = 0): AvailabilityProbe {
    return this.watchFrom(this.routers, service, count);
  }

  /** Like `watch`, from the view of the given routers only. */
  watchFrom(routers: readonly ModelRouter[], service?: ServiceName, count = 0): AvailabilityProbe {
    const { queue, upstreams, network } = this;
    const keysOfShard =
      service === undefined ? this.allShards() : this.keysByShard(this.service(service), count);
    return new AvailabilityProbe({ queue, routers, upstreams, network, keysOfShard });
  }

  /** Counts the attempts of all routers on upstreams of a service. */
  attempts(service: ServiceName): AttemptCounts {
    const counts = this.routers.map((router) => router.attemptsOn(service));
    return {
      all: counts.reduce((sum, { all }) => sum + all, 0),
      first: counts.reduce((sum, { first }) => sum + first, 0),
      local: counts.reduce((sum, { local }) => sum + local, 0),
    };
  }

  private isUp(probe: AvailabilityProbe): boolean {
    const isServing = this.routers.every(
      (router) => router.serving && router.view.upstreamsOf(this.lastService()).length > 0,
    );
    return isServing && probe.availableShare() === 1;
  }

  private lastService(): ServiceName {
    return this.options.upstreams.at(-1)?.definition.service ?? '';
  }

  private allShards(): Map<ShardId, number> {
    const keyed = [...this.services.values()].filter((service) => service.keyed);
    const shards = keyed.flatMap((service) => {
      const generation = this.generationOf(service.name);
      return service.keyspaces.flatMap((keyspace) =>
        Array.from(
          { length: keyspace.shards },
          (_, number) => `${service.name}/${keyspace.name}@${generation}/${number}`,
        ),
      );
    });
    return new Map(shards.map((shard) => [shard, 1]));
  }

  private keysByShard(service: ServiceDefinition, count: number): Map<ShardId, number> {
    const generation = this.generationOf(service.name);
    const keyMap: KeyMap = { service: service.name, generation, keyspaces: service.keyspaces };
    const keys = new Map<ShardId, number>();
    for (let rank = 0; rank < count; rank += 1) {
      const shard = shardOfKey(keyMap, keyName(service, rank));
      if (shard !== undefined) {
        keys.set(shard, (keys.get(shard) ?? 0) + 1);
      }
    }
    return keys;
  }

  private generationOf(service: ServiceName): number {
    this.runUntil(() => this.routers.every((router) => router.view.service(service) !== undefined));
    return this.routers[0]?.view.service(service)?.generation ?? 0;
  }

  private makeUpstreams(): Map<UpstreamId, ModelUpstream> {
    const { seed, upstreams } = this.options;
    return new Map(
      upstreams.map(({ definition, traits }, index) => {
        const random = new RandomSource(seed * 1000 + index);
        const keyed = this.service(definition.service).keyed;
        return [definition.id, new ModelUpstream(this.queue, random, definition, keyed, traits)];
      }),
    );
  }

  private makeRouters(): ModelRouter[] {
    const { zones, routersPerZone, seed, picker } = this.options;
    const { queue, network, control, upstreams, random } = this;
    return zones.flatMap((zone, zoneIndex) =>
      Array.from({ length: routersPerZone }, (_, index) => {
        const number = zoneIndex * routersPerZone + index;
        const identity = { id: `router-${number + 1}`, zone, seed: seed * 100 + number, picker };
        return new ModelRouter({ queue, random, network, control, upstreams }, identity);
      }),
    );
  }
}
