/** Messages between the bench and its child processes over the channel of `child_process.fork`. */
import type { Address } from '../../../model/identifiers.js';
import type { LoadResult, LoadRun } from './load-run.js';

/** Requests from the bench. */
export type BenchRequest = { readonly type: 'usage' } | { readonly type: 'load'; readonly run: LoadRun };

/** Processor time in milliseconds since the process started, and memory in bytes. */
export interface ProcessUsage {
  readonly cpuMillis: number;
  /** Time in which the main thread was runnable without a processor; `null` where the system doesn't report it. */
  readonly starvedMillis: number | null;
  readonly residentBytes: number;
  readonly peakResidentBytes: number;
}

/** Answers from a child process. */
export type BenchAnswer =
  /** The process is ready and listens on these addresses. */
  | { readonly type: 'ready'; readonly addresses: readonly Address[] }
  | { readonly type: 'usage'; readonly usage: ProcessUsage }
  | { readonly type: 'load'; readonly result: LoadResult };

/** Kinds of child processes and their start options. */
export type ChildTask =
  | { readonly kind: 'load' }
  | {
      readonly kind: 'upstream';
      readonly count: number;
      readonly answerBytes: number;
      /** Services whose fence guards the upstreams, one upstream each; `null`: no fence. */
      readonly fencedServices: readonly string[] | null;
    }
  | {
      readonly kind: 'bare-proxy';
      readonly frontEnd: 'koa' | 'node';
      readonly client: UpstreamClientName;
      readonly upstreams: readonly Address[];
    }
  | {
      readonly kind: 'router';
      readonly frontEnd: 'koa' | 'node';
      readonly control: readonly Address[];
    };

export const UPSTREAM_CLIENT_NAMES = ['undici', 'node', 'got'] as const;
export type UpstreamClientName = (typeof UPSTREAM_CLIENT_NAMES)[number];
