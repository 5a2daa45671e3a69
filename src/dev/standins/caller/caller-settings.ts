/** Settings of a stand-in caller. */
import { z } from 'zod';

/** A stretch of the load: `requestsPerSecond` from `fromSeconds` on, until the next one starts. */
const ratePointSchema = z.strictObject({
  fromSeconds: z.number().min(0),
  requestsPerSecond: z.number().min(0),
});

/** One kind of request. */
const streamSchema = z.strictObject({
  service: z.string().min(1),
  method: z.enum(['GET', 'POST']).default('GET'),
  /** Keys are `<keyPrefix><number>`; 0: the service isn't keyed. */
  keyCount: z.number().int().min(0).default(0),
  keyPrefix: z.string().default(''),
  /** Keys of the first ranks, in place of numbered ones. */
  hotKeys: z.array(z.string()).default([]),
  /** Exponent of the Zipf distribution of keys; 0: all alike. */
  zipfExponent: z.number().min(0).default(1),
  repeatable: z.boolean().default(true),
  /** Whether one answer may serve several callers; the request's id is then no part of its target. */
  coalesced: z.boolean().default(false),
  deadlineMillis: z.number().positive(),
  /** Attempts at one request; a request that may not be repeated carries the same idempotency key in each. */
  attempts: z.number().int().min(1).default(1),
  /** Share of the requests whose caller goes away after `leaveMillis` without an answer. */
  leaveShare: z.number().min(0).max(1).default(0),
  leaveMillis: z.number().positive().default(20),
  retryDelayMillis: z.number().min(0).default(200),
  rates: z.array(ratePointSchema).min(1),
});

export const callerSettingsSchema = z.strictObject({
  name: z.string().min(1),
  /** Own IP number, from which connections go out. */
  host: z.string().min(1),
  seed: z.number().int(),
  /** `host:port` of an endpoint; the load then begins with `POST /start`. Left out: at once. */
  control: z.string().min(1).optional(),
  seconds: z.number().positive(),
  connectionsPerRouter: z.number().int().min(1).default(64),
  /** Reads that may be sent behind one another on a connection; 1: each waits for the answer before it. */
  pipelining: z.number().int().min(1).default(1),
  routers: z.array(z.strictObject({ name: z.string(), address: z.string() })).min(1),
  streams: z.array(streamSchema).min(1),
  journal: z.string().min(1),
  /** File for the JSON summary, written at the end. */
  summary: z.string().min(1),
});

export type CallerSettings = z.infer<typeof callerSettingsSchema>;
export type CallerStream = z.infer<typeof streamSchema>;
export type RatePoint = z.infer<typeof ratePointSchema>;
