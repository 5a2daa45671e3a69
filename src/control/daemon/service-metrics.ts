/** Metrics of keyed services. Only the leader measures them; other members have no such series. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { OWNER_CHANGE_REASONS, type OwnerChangeReason } from '../ownership-measures.js';
import type { ServiceMeasures } from '../service-measures.js';

const MILLIS_PER_SECOND = 1000;

/** Reads the current measures of each service; empty on members other than the leader. */
export type ReadServices = () => Promise<readonly ServiceMeasures[]>;

interface ServiceMetric {
  readonly name: string;
  readonly help: string;
  /** `null` if unknown: the series is omitted. */
  readonly read: (measures: ServiceMeasures) => number | null;
}

const GAUGES: readonly ServiceMetric[] = [
  { name: 'owned_shards', help: 'Shards with an owner', read: ({ ownedShards }) => ownedShards },
  { name: 'unowned_shards', help: 'Shards without an owner', read: ({ unownedShards }) => unownedShards },
  {
    name: 'imbalance',
    help: 'Largest load of an upstream divided by the mean',
    read: ({ imbalance }) => imbalance,
  },
  {
    name: 'imbalance_over_bound',
    help: 'Largest load of an upstream divided by the lower bound max(mean, hottest shard)',
    read: ({ imbalanceOverBound }) => imbalanceOverBound,
  },
];

const COUNTERS: readonly ServiceMetric[] = [
  {
    name: 'unowned_shard_seconds_total',
    help: 'Sum over shards of the time without an owner',
    read: ({ unownedShardMillis }) => unownedShardMillis / MILLIS_PER_SECOND,
  },
  {
    name: 'handovers_total',
    help: 'Shards handed over by their holders',
    read: ({ handovers }) => handovers,
  },
  {
    name: 'handover_gap_seconds_total',
    help: 'Sum of the times from giving a shard up to its next grant',
    read: ({ handoverGapMillis }) => handoverGapMillis / MILLIS_PER_SECOND,
  },
];

function nameOf(name: string): string {
  return `ternmount_control_${name}`;
}

function addGauge(registry: Registry, services: ReadServices, { name, help, read }: ServiceMetric): void {
  const metric: Gauge<'service'> = new Gauge({
    name: nameOf(name),
    help: `${help}; leader only`,
    labelNames: ['service'],
    registers: [registry],
    collect: async () => {
      const all = await services();
      metric.reset();
      for (const measures of all) {
        const value = read(measures);
        if (value !== null) {
          metric.set({ service: measures.service }, value);
        }
      }
    },
  });
}

function addCounter(registry: Registry, services: ReadServices, { name, help, read }: ServiceMetric): void {
  const metric: Counter<'service'> = new Counter({
    name: nameOf(name),
    help: `${help}, since this leadership began; leader only`,
    labelNames: ['service'],
    registers: [registry],
    collect: async () => {
      const all = await services();
      metric.reset();
      for (const measures of all) {
        metric.inc({ service: measures.service }, read(measures) ?? 0);
      }
    },
  });
}

function addOwnerChanges(registry: Registry, services: ReadServices): void {
  const metric: Counter<'service' | 'reason'> = new Counter({
    name: nameOf('owner_changes_total'),
    help: 'Grants of shards by reason, since this leadership began; leader only',
    labelNames: ['service', 'reason'],
    registers: [registry],
    collect: async () => {
      const all = await services();
      metric.reset();
      for (const { service, ownerChanges } of all) {
        OWNER_CHANGE_REASONS.forEach((reason: OwnerChangeReason) => {
          metric.inc({ service, reason }, ownerChanges[reason]);
        });
      }
    },
  });
}

/** Adds the metrics, which read the services when they are scraped. */
export function addServiceMetrics(registry: Registry, services: ReadServices): void {
  for (const gauge of GAUGES) {
    addGauge(registry, services, gauge);
  }
  for (const counter of COUNTERS) {
    addCounter(registry, services, counter);
  }
  addOwnerChanges(registry, services);
}
