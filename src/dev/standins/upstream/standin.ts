/** What a process of stand-in upstreams needs of each of them. */
import type { FaultSwitchboard } from './fault-switchboard.js';

export interface Standin {
  readonly faults: FaultSwitchboard;
  start(): Promise<void>;
  /** Graceful shutdown: leaves, completes running requests, then closes. */
  stop(): Promise<void>;
}
