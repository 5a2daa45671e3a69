/** What the load-generating process is asked to do, and what it found. */
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
  /** Requests ask for keys `0` to this, in a mixed order. */
  readonly keys: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  /** Each request carries an `Idempotency-Key` of its own. */
  readonly claimed: boolean;
  /** Bytes that each answer must have. */
  readonly answerBytes: number;
}

/** Latencies in milliseconds; of an open loop from the time at which the request was due. */
export interface LoadResult {
  readonly requests: number;
  /** Answers with another status or length than asked for, and broken connections. */
  readonly failures: number;
  readonly perSecond: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}
