/** Metrics of a control daemon. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import type { RaftStatus } from '../../consensus/types.js';
import type { OperatorResponse, RangeWork } from '../types.js';
import { addServiceMetrics } from './service-metrics.js';
import type { StepReport } from './step-meter.js';

const MILLIS_PER_SECOND = 1000;

/** The cluster's status; only the leader's is complete. */
type ClusterStatus = Extract<OperatorResponse, { readonly type: 'status' }>;

/** How long a status of the core is reused, so that all gauges of a scrape share one. */
const STATUS_MAX_AGE_MILLIS = 500;

/** The sources that gauges read when they are scraped. */
export interface ControlMetricsSource {
  readonly raft: () => RaftStatus;
  readonly cluster: () => Promise<OperatorResponse>;
  /** Cost of the core's steps in the last second; `null` before the first measurement. */
  readonly steps: () => StepReport | null;
  /** `null` if this member isn't the leader. */
  readonly rangeWork: () => RangeWork | null;
}

type AddGauge<Status> = (name: string, help: string, read: (status: Status) => number) => void;

function gaugeAdder<Status>(registry: Registry, status: () => Status | Promise<Status>): AddGauge<Status> {
  return (name, help, read) => {
    const metric: Gauge = new Gauge({
      name: `ternmount_control_${name}`,
      help,
      registers: [registry],
      collect: async () => metric.set(read(await status())),
    });
  };
}

/** Calls `read` at most once per `maxAgeMillis`, so that a scrape calls it once. */
function cached<Value>(read: () => Promise<Value>, maxAgeMillis: number): () => Promise<Value> {
  let value: Promise<Value> | undefined;
  let readAt = Number.NEGATIVE_INFINITY;
  return () => {
    const now = performance.now();
    if (value === undefined || now - readAt >= maxAgeMillis) {
      readAt = now;
      value = read();
    }
    return value;
  };
}

function addReplicaGauges(add: AddGauge<RaftStatus>): void {
  add('is_leader', '1 on the leader, 0 elsewhere', ({ role }) => (role === 'leader' ? 1 : 0));
  add('term', 'Raft term', ({ term }) => term);
  add('commit_index', 'Index of the last committed log entry', ({ commitIndex }) => commitIndex);
  add('last_index', 'Index of the last log entry', ({ lastIndex }) => lastIndex);
  add('first_index', 'Index of the first log entry kept', ({ firstIndex }) => firstIndex);
  add('voters', 'Replicas that vote', ({ membership }) => membership.voters.length);
}

function addStepGauges(add: AddGauge<StepReport | null>): void {
  const ratio = (report: StepReport | null) => (report === null ? 0 : report.busyMillis / report.spanMillis);
  add('core_busy_ratio', 'Share of the last second that the steps of the core took', ratio);
  add(
    'core_longest_step_seconds',
    'Longest step of the core in the last second',
    (report) => (report?.longestMillis ?? 0) / MILLIS_PER_SECOND,
  );
  add(
    'core_late_seconds',
    'The most by which a timer came late in the last second',
    (report) => (report?.lateMillis ?? 0) / MILLIS_PER_SECOND,
  );
}

/** These gauges are 0 on members other than the leader. */
function addRangeGauges(add: AddGauge<RangeWork | null>): void {
  add(
    'range_calls',
    'Calls to owners of ranges since this member leads; leader only',
    (work) => work?.calls ?? 0,
  );
  add(
    'open_range_calls',
    "Calls to owners of ranges that haven't ended; leader only",
    (work) => work?.openCalls ?? 0,
  );
  add(
    'weighed_range_moves',
    'Moves of keys that were weighed and began since this member leads; leader only',
    (work) => work?.weighedMoves ?? 0,
  );
  add(
    'range_move_cost_seconds',
    'Waiting of callers that these moves were weighed to cost; leader only',
    (work) => (work?.moveCostMillis ?? 0) / MILLIS_PER_SECOND,
  );
  add(
    'range_move_gain_seconds',
    'Waiting of callers that these moves were weighed to save; leader only',
    (work) => (work?.moveGainMillis ?? 0) / MILLIS_PER_SECOND,
  );
}

/** These gauges are 0 on members other than the leader, because only the leader has sessions. */
function addClusterGauges(add: AddGauge<ClusterStatus | null>): void {
  const readOnLeader = (read: (status: ClusterStatus) => number) => (status: ClusterStatus | null) =>
    status?.raft.role === 'leader' ? read(status) : 0;
  const addLeaderGauge = (name: string, help: string, read: (status: ClusterStatus) => number): void =>
    add(name, `${help}; leader only`, readOnLeader(read));
  addLeaderGauge('moving_shards', 'Shards in a planned move', ({ movingShards }) => movingShards);
  addLeaderGauge(
    'upstreams_without_lease',
    'Upstreams of keyed services whose session is not renewed',
    ({ upstreams }) => upstreams.filter(({ state }) => state !== 'leased').length,
  );
  addLeaderGauge('ranges', 'Ranges of numeric keys', ({ ranges }) => ranges?.total ?? 0);
  addLeaderGauge(
    'ranges_without_owner',
    'Ranges of numeric keys that have no owner at this moment',
    ({ ranges }) => ranges?.withoutOwner ?? 0,
  );
  addLeaderGauge(
    'suspect_requests',
    'Requests under which upstreams ended and which have not succeeded since',
    ({ suspects }) => suspects?.total ?? 0,
  );
  addLeaderGauge(
    'quarantined_requests',
    'Requests that routers refuse because upstreams ended under them',
    ({ suspects }) => suspects?.quarantined ?? 0,
  );
  addLeaderGauge(
    'evacuated_zones',
    'Zones whose upstreams are sent nothing new',
    ({ evacuations }) => evacuations?.length ?? 0,
  );
  addLeaderGauge(
    'limited_upstreams',
    'Upstreams that name a limit for all routers together',
    ({ needs = [] }) => needs.filter(({ perSecond }) => perSecond !== null).length,
  );
  addLeaderGauge(
    'resting_upstreams',
    'Upstreams that asked routers for rest which is not over',
    ({ needs = [] }) => needs.filter(({ restingRouters }) => restingRouters > 0).length,
  );
  addLeaderGauge(
    'uneven_upstreams',
    'Upstreams without keys whose speed differs from the mean of their service, as routers were told',
    ({ fleet }) => fleet?.speeds.filter(({ speed }) => speed !== 1).length ?? 0,
  );
  addLeaderGauge(
    'spilling_zones',
    'Zones that send a part of their requests for a service to other zones, as control plans it',
    ({ fleet }) => fleet?.zones.filter(({ spill }) => spill.length > 0).length ?? 0,
  );
  addLeaderGauge('routers', 'Routers connected to this member', ({ routers }) => routers.length);
}

/**
 * Creates the metrics, which read the replica's status when they are scraped. `maxAgeMillis`: how long a status of the
 * core is reused.
 */
export function createControlMetrics(
  source: ControlMetricsSource,
  maxAgeMillis: number = STATUS_MAX_AGE_MILLIS,
): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  addReplicaGauges(gaugeAdder(registry, source.raft));
  addStepGauges(gaugeAdder(registry, source.steps));
  addRangeGauges(gaugeAdder(registry, source.rangeWork));
  const cluster = cached(async () => {
    const response = await source.cluster();
    return response.type === 'status' ? response : null;
  }, maxAgeMillis);
  addClusterGauges(gaugeAdder<ClusterStatus | null>(registry, cluster));
  addServiceMetrics(registry, async () => (await cluster())?.services ?? []);
  return registry;
}
