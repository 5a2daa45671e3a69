/** What the bench and the processes it starts say to each other over the channel of `child_process.fork`. */
import type { Address } from '../../../model/identifiers.js';
import type { LoadResult, LoadRun } from './load-run.js';

/** From the bench. */
export type BenchRequest = { readonly type: 'usage' } | { readonly type: 'load'; readonly run: LoadRun };

/** Processor time in milliseconds since the process began, and memory in bytes. */
export interface ProcessUsage {
  readonly cpuMillis: number;
  /** Time that the main thread was ready to run and had no processor; `null` where the system doesn't tell. */
  readonly starvedMillis: number | null;
  readonly residentBytes: number;
  readonly peakResidentBytes: number;
}

/** From a process. */
export type BenchAnswer =
  /** It is up and listens at these addresses. */
  | { readonly type: 'ready'; readonly addresses: readonly Address[] }
  | { readonly type: 'usage'; readonly usage: ProcessUsage }
  | { readonly type: 'load'; readonly result: LoadResult };

/** Kinds of processes and what each needs to start. */
export type ChildTask =
  | { readonly kind: 'load' }
  | {
      readonly kind: 'upstream';
      readonly count: number;
      readonly answerBytes: number;
      /** Services whose fence stands before the upstreams, one upstream each; `null`: no fence. */
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
