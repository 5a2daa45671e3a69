/** Settings of a stand-in caller. */
import { z } from 'zod';
import { REQUEST_FORM_NAMES } from './request-form.js';

/** A period of the load: `requestsPerSecond` from `fromSeconds` until the next period starts. */
const ratePointSchema = z.strictObject({
  fromSeconds: z.number().min(0),
  requestsPerSecond: z.number().min(0),
});

/** One kind of request. */
const streamSchema = z.strictObject({
  service: z.string().min(1),
  method: z.enum(['GET', 'POST']).default('GET'),
  /** Number of keys `<keyPrefix><number>`; 0: the service isn't keyed. */
  keyCount: z.number().int().min(0).default(0),
  keyPrefix: z.string().default(''),
  /** Keys of the first ranks, instead of numbered ones. */
  hotKeys: z.array(z.string()).default([]),
  /** Exponent of the Zipf distribution of keys; 0: uniform. */
  zipfExponent: z.number().min(0).default(1),
  repeatable: z.boolean().default(true),
  /** Whether several callers may share an answer; the target then doesn't contain the request's id. */
  coalesced: z.boolean().default(false),
  deadlineMillis: z.number().positive(),
  /** Maximum attempts at one request; a request that must not be repeated has the same idempotency key in each. */
  attempts: z.number().int().min(1).default(1),
  /** Share of the requests whose caller disconnects after `leaveMillis` without an answer. */
  leaveShare: z.number().min(0).max(1).default(0),
  leaveMillis: z.number().positive().default(20),
  retryDelayMillis: z.number().min(0).default(200),
  rates: z.array(ratePointSchema).min(1),
});

export const callerSettingsSchema = z.strictObject({
  name: z.string().min(1),
  /** Local IP address of outgoing connections. */
  host: z.string().min(1),
  seed: z.number().int(),
  /** `host:port` of an endpoint whose `POST /start` begins the load. Without it the load begins at once. */
  control: z.string().min(1).optional(),
  seconds: z.number().positive(),
  connectionsPerRouter: z.number().int().min(1).default(64),
  /** How requests are addressed. */
  form: z.enum(REQUEST_FORM_NAMES).default('by-service'),
  /** Maximum number of reads pipelined on a connection; 1: each waits for the preceding answer. */
  pipelining: z.number().int().min(1).default(1),
  routers: z.array(z.strictObject({ name: z.string(), address: z.string() })).min(1),
  streams: z.array(streamSchema).min(1),
  journal: z.string().min(1),
  /** File of the JSON summary, written at the end. */
  summary: z.string().min(1),
});

export type CallerSettings = z.infer<typeof callerSettingsSchema>;
export type CallerStream = z.infer<typeof streamSchema>;
export type RatePoint = z.infer<typeof ratePointSchema>;
