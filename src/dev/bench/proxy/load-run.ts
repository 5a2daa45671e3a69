/** Options and result of a load run in the load-generating process. */
import type { Address } from '../../../model/identifiers.js';

/** One run of requests against one address. */
export interface LoadRun {
  readonly target: Address;
  readonly connections: number;
  readonly durationMillis: number;
  /** Requests a second at fixed times (open loop); `null`: each connection sends its next request on its answer. */
  readonly requestsPerSecond: number | null;
  /** First segment of the path. */
  readonly service: string;
  /** Number of keys; requests use keys from `0` up to, not including, this number in a mixed order. */
  readonly keys: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  /** Whether each request has its own `Idempotency-Key`. */
  readonly claimed: boolean;
  /** Required length of each answer in bytes. */
  readonly answerBytes: number;
}

/** Latencies in milliseconds; in an open loop they count from the time at which the request was due. */
export interface LoadResult {
  readonly requests: number;
  /** Answers with an unexpected status or length, and broken connections. */
  readonly failures: number;
  readonly perSecond: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}
