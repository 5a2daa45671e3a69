/** Measures the time of placement and of the leader's coordination on one core, by number of shards. */
import type { ServiceDefinition, UpstreamDefinition } from '../../../model/service.js';
import { createPlanner, type PlacementPlanner } from '../../../placement/index.js';
import { RandomSource } from '../../virtual/random-source.js';
import { type Reading, reading, runArms } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import { CoordinatorRig, type RealTime } from '../models/placement/coordinator-rig.js';

const SIZES = [6000, 22_500, 45_000, 90_000];
const SHARDS_PER_SERVER = 75;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const SERVICE = 'menuboard';
const SETTINGS = { weights: { unavailability: 10, imbalance: 2, churn: 3 }, movesPerMinute: 60 };
const MAX_LOAD = 1000;
/** Steps of the leader over which the time of one server answer is averaged. */
const ANSWER_STEPS = 800;
const MICROS_PER_MILLI = 1000;

function zoneOf(number: number): string {
  return ZONES[number % ZONES.length] as string;
}

function idOf(number: number): string {
  return `${SERVICE}-${number + 1}`;
}

function timed(run: () => void): number {
  const startedAt = performance.now();
  run();
  return performance.now() - startedAt;
}

/** Runs the planner alone. */
class PlannerRig {
  readonly planner: PlacementPlanner = createPlanner(SETTINGS);
  readonly owners = new Map<string, string>();
  readonly loads: readonly number[];
  now = 0;

  constructor(
    readonly shards: number,
    readonly servers: number,
    seed: number,
  ) {
    const random = new RandomSource(seed);
    this.loads = Array.from({ length: shards }, () => random.below(MAX_LOAD));
    for (let number = 0; number < servers; number += 1) {
      this.setState(number, 'ready');
    }
    for (let number = 0; number < shards; number += 1) {
      this.setOwner(number, null);
    }
  }

  setState(number: number, state: 'ready' | 'lost'): void {
    this.planner.setServer({ id: idOf(number), capacity: 2, mayHold: [], zone: zoneOf(number), state });
  }

  setOwner(number: number, owner: string | null): void {
    const shard = String(number);
    this.planner.setShard({ shard, keyspace: 'all', load: this.loads[number] ?? 0, owner, target: null });
  }

  /** Plans and applies the moves immediately; returns the planning time. */
  plan(): number {
    this.now += 10;
    let planned: ReturnType<PlacementPlanner['plan']> = [];
    const millis = timed(() => {
      planned = this.planner.plan(this.now);
    });
    for (const { shard, to } of planned) {
      this.owners.set(shard, to);
      this.setOwner(Number(shard), to);
    }
    return millis;
  }

  /** Returns the time from the end of the servers' leases to new owners for all their shards. */
  lose(numbers: readonly number[]): number {
    const lost = new Set(numbers.map(idOf));
    const shards = [...this.owners].filter(([, owner]) => lost.has(owner)).map(([shard]) => Number(shard));
    const updateMillis = timed(() => {
      for (const number of numbers) {
        this.setState(number, 'lost');
      }
      for (const shard of shards) {
        this.setOwner(shard, null);
      }
    });
    return updateMillis + this.plan();
  }
}

function plannerReadings(shards: number, servers: number, seed: number): Reading[] {
  const rig = new PlannerRig(shards, servers, seed);
  const full = rig.plan();
  const loss = rig.lose([0]);
  const others = Array.from({ length: servers }, (_, number) => number).slice(1);
  const zone = rig.lose(others.filter((number) => zoneOf(number) === ZONES[1]));
  return [
    reading('planner: full plan', 'ms', full),
    reading('planner: loss of one server', 'ms', loss),
    reading('planner: loss of a zone', 'ms', zone),
  ];
}

function serviceWith(shards: number): ServiceDefinition {
  return {
    name: SERVICE,
    keyed: true,
    repeatable: true,
    priority: 'interactive',
    deadlineMillis: 2000,
    slotsPerUpstream: 2,
    retryBudget: 0.1,
    queueLimit: 100,
    holdLimitMillis: 1000,
    coalesce: false,
    wholeAnswerBytes: 65_536,
    retentionMillis: 60_000,
    placement: SETTINGS.weights,
    movesPerMinute: SETTINGS.movesPerMinute,
    keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards }],
    policy: [],
  };
}

function upstreamNumbered(number: number): UpstreamDefinition {
  const address = `127.${1 + (number >> 8)}.${number % 256}.1:9000`;
  return { id: idOf(number), service: SERVICE, address, zone: zoneOf(number), mayHold: [], leaving: false };
}

function coordinatorReadings(shards: number, servers: number): Reading[] {
  const rig = new CoordinatorRig();
  rig.declareService(serviceWith(shards));
  const numbers = Array.from({ length: servers }, (_, number) => number);
  for (const number of numbers) {
    rig.addServer(upstreamNumbered(number));
  }
  const isServed = (): boolean => rig.unowned(SERVICE) === 0;
  rig.changeLeader();
  const first = rig.runUntil(isServed);
  const before = rig.answers;
  let steps = 0;
  const steady = rig.runUntil(() => {
    steps += 1;
    return steps > ANSWER_STEPS;
  });
  const answers = rig.answers - before;
  const begin = rig.changeLeader();
  rig.runUntil(isServed);
  const one = rig.loseAndPlace([idOf(0)]);
  const others = numbers.slice(1).filter((number) => zoneOf(number) === ZONES[1]);
  const zone = rig.loseAndPlace(others.map(idOf));
  return [
    ...realTimeReadings('all shards granted', first),
    reading(
      'coordinator: one answer of a server',
      'us',
      (steady.millis * MICROS_PER_MILLI) / Math.max(1, answers),
    ),
    ...realTimeReadings('begin of a leadership', begin),
    ...realTimeReadings('loss of one server', one),
    ...realTimeReadings('loss of a zone', zone),
  ];
}

function realTimeReadings(what: string, { millis, longestRunMillis }: RealTime): Reading[] {
  return [
    reading(`coordinator: ${what}`, 'ms', millis),
    reading(`coordinator: ${what}, longest run`, 'ms', longestRunMillis),
  ];
}

function run(context: ExperimentContext): ExperimentResult {
  const arms = SIZES.map((shards) => {
    const servers = shards / SHARDS_PER_SERVER;
    return {
      name: `${shards} shards, ${servers} servers`,
      baseline: false,
      run: (seed: number): Reading[] => [
        ...plannerReadings(shards, servers, seed),
        ...coordinatorReadings(shards, servers),
      ],
    };
  });
  return {
    arms: runArms(context, arms),
    targets: [],
    notes: [
      'real time of one thread on the current machine, including the effect of its other load',
      'planner: from the change of servers and shards to the moves',
      'coordinator: planner, orders, granter, registry and servers that answer at once; no log, disk or network',
      "one answer of a server: all work of the leader for one answered call, including the server's part",
    ],
  };
}

export const experiment: Experiment = {
  name: 'placement-scale',
  summary: "time of placement and of the leader's coordination by number of shards",
  defaultDeployment: 'colombo',
  run,
};
