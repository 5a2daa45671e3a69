/** Settings of a process of stand-in upstreams; it may hold several, each with its own address. */
import { z } from 'zod';

const serviceTimeSchema = z.strictObject({
  kind: z.enum(['constant', 'exponential', 'log-normal']).default('log-normal'),
  meanMillis: z.number().min(0),
  /** Standard deviation of the logarithm; `log-normal` only. */
  sigma: z.number().min(0).default(0.5),
});

const coldStartSchema = z.strictObject({
  /** Time after the start until requests take their usual time; 0: starts warm. */
  millis: z.number().min(0).default(0),
  /** Factor by which the first request takes longer. */
  factor: z.number().min(1).default(1),
  /** Time to load the state of one shard. */
  shardWarmMillis: z.number().min(0).default(0),
});

const loadReportSchema = z.strictObject({
  /** Age of the reported load. */
  lagMillis: z.number().min(0).default(0),
  /** Factor of the reported load to the true load; 0: always reports idle. */
  factor: z.number().min(0).default(1),
});

const upstreamSchema = z.strictObject({
  id: z.string().min(1),
  service: z.string().min(1),
  /** `host:port` to listen on. */
  listen: z.string().min(1),
  /** `host:port` under which it is reached; as `listen` if left out. */
  advertised: z.string().min(1).optional(),
  zone: z.string().min(1),
  keyed: z.boolean(),
  slots: z.number().int().min(1),
  /** Maximum number of requests that wait for a slot; further requests are shed. */
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
  /** File with the cluster's secret; without it control isn't authenticated. */
  secretFile: z.string().min(1).optional(),
  /** Admin addresses of the control members, if the upstreams announce themselves instead of embedding the fence. */
  announceTo: z.array(z.string().min(1)).min(1).optional(),
  /** `host:port` of the endpoint that sets faults. */
  control: z.string().min(1),
  seed: z.number().int(),
  journal: z.string().min(1),
  upstreams: z.array(upstreamSchema).min(1),
});

export type UpstreamSettings = z.infer<typeof upstreamSchema>;
export type UpstreamProcessSettings = z.infer<typeof upstreamProcessSettingsSchema>;
