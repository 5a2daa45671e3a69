/** Settings of a process of stand-in upstreams; it may hold several, each with its own address. */
import { z } from 'zod';

const serviceTimeSchema = z.strictObject({
  kind: z.enum(['constant', 'exponential', 'log-normal']).default('log-normal'),
  meanMillis: z.number().min(0),
  /** Spread of the logarithm; `log-normal` only. */
  sigma: z.number().min(0).default(0.5),
});

const coldStartSchema = z.strictObject({
  /** Time after the start over which requests get back to their usual time; 0: starts warm. */
  millis: z.number().min(0).default(0),
  /** How many times longer the first request takes. */
  factor: z.number().min(1).default(1),
  /** Time to load the state of one shard. */
  shardWarmMillis: z.number().min(0).default(0),
});

const loadReportSchema = z.strictObject({
  /** Age of what is reported. */
  lagMillis: z.number().min(0).default(0),
  /** What is reported is the true load times this; 0: always idle. */
  factor: z.number().min(0).default(1),
});

const upstreamSchema = z.strictObject({
  id: z.string().min(1),
  service: z.string().min(1),
  /** `host:port` that it listens on. */
  listen: z.string().min(1),
  zone: z.string().min(1),
  keyed: z.boolean(),
  slots: z.number().int().min(1),
  /** Requests that wait for a slot; one more is shed. */
  queueLimit: z.number().int().min(0).default(32),
  connections: z.number().int().min(1).default(130),
  connectMillis: z.number().min(0).default(1),
  probeMillis: z.number().min(0).default(5),
  payloadBytes: z.number().int().min(0).default(1000),
  serviceTime: serviceTimeSchema,
  coldStart: coldStartSchema.prefault({}),
  loadReport: loadReportSchema.prefault({}),
});

export const upstreamProcessSettingsSchema = z.strictObject({
  name: z.string().min(1),
  cluster: z.string().min(1),
  /** File with the cluster's secret; left out: control need not prove it. */
  secretFile: z.string().min(1).optional(),
  /** `host:port` of the endpoint that takes faults. */
  control: z.string().min(1),
  seed: z.number().int(),
  journal: z.string().min(1),
  upstreams: z.array(upstreamSchema).min(1),
});

export type UpstreamSettings = z.infer<typeof upstreamSchema>;
export type UpstreamProcessSettings = z.infer<typeof upstreamProcessSettingsSchema>;
