/** State and services shared by all parts of one simulation. */

import type { EventQueue } from '../virtual/event-queue.js';
import type { SimControl } from './control/sim-control.js';
import type { Network } from './network.js';
import type { ProcessClock } from './process-clock.js';
import type { Random } from './random.js';
import type { SimRangeServer } from './ranges/sim-range-server.js';
import type { Recorder } from './recorder.js';
import type { SimRouter } from './router/sim-router.js';
import type { SabotageName } from './sabotages.js';
import type { SimSizes } from './sim-sizes.js';
import type { SimUpstream } from './upstream/sim-upstream.js';

export interface World {
  readonly time: EventQueue;
  readonly network: Network;
  readonly recorder: Recorder;
  readonly sizes: SimSizes;
  readonly sabotage: SabotageName | null;
  /** Whether routers carry connections of others. */
  readonly hasRelays: boolean;
  /** How long a control member may be silent before the leader replaces it by itself; 0: only operators replace members. */
  readonly replaceAfterMillis: number;
  readonly controls: SimControl[];
  readonly routers: SimRouter[];
  readonly upstreams: SimUpstream[];
  /** Whether upstreams give back the caller's id of a request, which all its attempts share. */
  readonly hasSharedIds: boolean;
  /** Whether servers with ranges leave some calls unanswered and carry them out late. */
  readonly hasLateCalls: boolean;
  /** Servers that hold ranges of numeric keys; none by default. */
  readonly rangeServers: SimRangeServer[];
  /** Run of a server that the first call of a grant reached, by run of the control member, upstream and fence. */
  readonly firstGrantRuns: Map<string, string>;
  /** Random stream of the faults. */
  readonly faultRandom: Random;
  /** Contents of requests that crash each upstream that begins to process them. */
  readonly crashingContents: Set<string>;
  /** Contents of requests whose work takes seconds. */
  readonly longContents: Set<string>;
  /** Zones from the request to evacuate them until their restoration is confirmed. */
  readonly evacuatedZones: Set<string>;
  /** Whether no fault has disturbed any process or link recently; crashing requests don't count. */
  isCalm(): boolean;
  /** True time since which the process of a router's run has run without a pause. */
  runningSince(router: string): number;
  /** Whether a router's run or the network was disturbed recently. */
  isExcused(router: string): boolean;
  /** Creates a clock with its own offset, rate error and skew. */
  makeClock(): ProcessClock;
  /** Creates an independent random stream. */
  makeRandom(): Random;
  /** Returns a number that is unique within this run. */
  nextNumber(): number;
  /** Returns a small number that is unique among the changes of this run. */
  nextMarker(): number;
}
