/** Timers of a router. */

import type { RunName } from '../model/crash-suspect.js';
import type { Claim } from './claim.js';
import type { LeftPath } from './paths/hung-attempts.js';
import type { PlannedStop } from './planned-stop.js';
import type { Member, RequestGroup } from './request-group.js';
import type { ServiceState } from './service-state.js';
import type { Timer } from './timer-heap.js';
import type { RequestNumber } from './types.js';

export type TimerSubject =
  | { readonly type: 'deadline'; readonly member: Member }
  | { readonly type: 'hold-end'; readonly group: RequestGroup }
  | { readonly type: 'policy-recheck'; readonly group: RequestGroup }
  | { readonly type: 'claim'; readonly claim: Claim }
  /** The first configuration didn't arrive in time for a request. */
  | { readonly type: 'early-end'; readonly request: RequestNumber }
  /** The time for answers in a planned stop is over. */
  | { readonly type: 'stop-end'; readonly stop: PlannedStop }
  /** Attempts whose grant has ended are abandoned. */
  | { readonly type: 'grants-over' }
  /** Reads in flight are checked for overdue ones. */
  | { readonly type: 'overdue-sweep' }
  /** A run that left an attempt unanswered is checked. */
  | { readonly type: 'run-check'; readonly run: RunName }
  /** Requests under which upstream runs ended are reported to control. */
  | { readonly type: 'crash-report' }
  /** Requests for large answers that wait for link capacity are reconsidered. */
  | { readonly type: 'link-wake' }
  /** Direct paths to upstreams are tried again. */
  | { readonly type: 'path-return' }
  /** Requests that hang on a path that was left are sent again. */
  | { readonly type: 'path-resend'; readonly left: LeftPath }
  /** Notices of upstreams are reported to control. */
  | { readonly type: 'upstream-report' }
  /** Waiting requests of a service are reconsidered, because pauses end and hints expire without an event. */
  | { readonly type: 'service-wake'; readonly service: ServiceState };

export type RouterTimer = Timer<TimerSubject>;
