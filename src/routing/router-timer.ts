/** Everything that a router waits for by the clock. */
import type { RunName } from '../model/crash-suspect.js';
import type { Claim } from './claim.js';
import type { ServiceState } from './service-state.js';
import type { Timer } from './timer-heap.js';
import type { RequestNumber } from './types.js';
import type { Member, Work } from './work.js';

export type TimerSubject =
  | { readonly type: 'deadline'; readonly member: Member }
  | { readonly type: 'hold-end'; readonly work: Work }
  | { readonly type: 'policy-recheck'; readonly work: Work }
  | { readonly type: 'claim'; readonly claim: Claim }
  /** The first configuration didn't come in time for a request. */
  | { readonly type: 'early-end'; readonly request: RequestNumber }
  /** Attempts under grants that are over are given up. */
  | { readonly type: 'grants-over' }
  /** Reads in flight are looked at for overdue ones. */
  | { readonly type: 'overdue-sweep' }
  /** A run that left an attempt without an answer is looked at again. */
  | { readonly type: 'run-check'; readonly run: RunName }
  /** Control is told of requests under which upstreams ended. */
  | { readonly type: 'crash-report' }
  /** Requests for large answers that wait for the link are looked at. */
  | { readonly type: 'link-wake' }
  /** Control is told what upstreams say of themselves. */
  | { readonly type: 'upstream-report' }
  /** Waiting work of a service is looked at again: pauses end and hints age without an event. */
  | { readonly type: 'service-wake'; readonly service: ServiceState };

export type RouterTimer = Timer<TimerSubject>;
