/** Converts a deployment's workload into the request streams of a stand-in caller. */
import { z } from 'zod';
import type { KeyspaceDefinition, ServiceDefinition } from '../../model/service.js';
import type { Deployment, WorkloadPhase, WorkloadShare } from '../../settings/deployment.js';
import { type CallerStream, callerSettingsSchema } from '../standins/caller/caller-settings.js';
import { ZipfKeys } from '../standins/caller/zipf-keys.js';
import { StandinRandomSource } from '../standins/random-source.js';

/** Attempts at a non-repeatable request; all carry the same idempotency key. */
const ORDER_ATTEMPTS = 5;
/** Attempts at a read, each at a different router, if the connection fails. */
const READ_ATTEMPTS = 3;
const DEFAULT_KEY_PREFIX = 'key/';

const streamsSchema = z.array(callerSettingsSchema.shape.streams.element);

function keyPrefixOf(keyspaces: readonly KeyspaceDefinition[]): string {
  const named = keyspaces.find((keyspace) => keyspace.kind === 'prefix' && keyspace.match !== '');
  return named?.match ?? DEFAULT_KEY_PREFIX;
}

/** A phase and its interval of the run. */
interface PhaseInterval {
  readonly phase: WorkloadPhase;
  readonly fromSeconds: number;
  readonly toSeconds: number;
}

/** Phases in sequence, scaled to `seconds` in total. */
function schedulePhases(phases: readonly WorkloadPhase[], seconds: number): PhaseInterval[] {
  const total = phases.reduce((sum, phase) => sum + phase.seconds, 0);
  let from = 0;
  return phases.map((phase) => {
    const length = (phase.seconds / total) * seconds;
    const interval = { phase, fromSeconds: from, toSeconds: from + length };
    from += length;
    return interval;
  });
}

function planStream(
  interval: PhaseInterval,
  share: WorkloadShare,
  service: ServiceDefinition,
  { callers, leaveShare, declared }: CallerShare,
): z.input<typeof streamsSchema.element> {
  const shares = interval.phase.mix.reduce((sum, other) => sum + other.share, 0);
  const rate = (interval.phase.requestsPerSecond * share.share) / shares / callers;
  return {
    service: share.service,
    method: share.method,
    keyCount: declared ? 0 : share.keys,
    keyPrefix: keyPrefixOf(service.keyspaces),
    hotKeys: service.keyspaces.filter(({ kind }) => kind === 'exact').map(({ match }) => match),
    zipfExponent: share.skew,
    repeatable: service.repeatable,
    coalesced: service.coalesce && !declared,
    deadlineMillis: service.deadlineMillis,
    leaveShare: service.repeatable ? leaveShare : 0,
    attempts: service.repeatable ? READ_ATTEMPTS : ORDER_ATTEMPTS,
    rates: [
      { fromSeconds: interval.fromSeconds, requestsPerSecond: rate },
      { fromSeconds: interval.toSeconds, requestsPerSecond: 0 },
    ],
  };
}

/** The part of the load of one caller process. */
export interface CallerShare {
  /** Number of callers that share the load evenly. */
  readonly callers: number;
  /** Share of the reads whose caller disconnects before the answer. */
  readonly leaveShare: number;
  /** Whether requests go by declared routes, and have no keys. */
  readonly declared: boolean;
}

/** Streams of one caller process, over `seconds` in total. */
export function planStreams(deployment: Deployment, seconds: number, caller: CallerShare): CallerStream[] {
  const services = new Map(deployment.services.map((service) => [service.name, service]));
  const streams = schedulePhases(deployment.workload.phases, seconds).flatMap((interval) =>
    interval.phase.mix.map((share) =>
      planStream(interval, share, services.get(share.service) as ServiceDefinition, caller),
    ),
  );
  return streamsSchema.parse(streams);
}

/** Every key of a service that the load requests, most popular first. */
export function keysOfService(deployment: Deployment, service: ServiceDefinition): string[] {
  const counts = deployment.workload.phases
    .flatMap((phase) => phase.mix)
    .filter((share) => share.service === service.name)
    .map((share) => share.keys);
  const hotKeys = service.keyspaces.filter(({ kind }) => kind === 'exact').map(({ match }) => match);
  const prefix = keyPrefixOf(service.keyspaces);
  return new ZipfKeys(prefix, Math.max(0, ...counts), 0, new StandinRandomSource(1), hotKeys).all();
}
