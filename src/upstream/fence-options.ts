/** Settings and hooks of the embeddable fence. */
import type { ClusterId, Incarnation, ServiceName, ShardId, UpstreamId } from '../model/identifiers.js';

export interface FenceOptions {
  readonly cluster: ClusterId;
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  /** Whether requests name a shard that this server must own. Default: true. */
  readonly keyed?: boolean;
  /** The cluster's secret. With it, only messages of control members that prove it are followed. Default: any are. */
  readonly secret?: string;
  /** Names this run of the process; a random one by default. Must never repeat. */
  readonly incarnation?: Incarnation;
  /** Requests worked on at once; more are refused as overloaded. Default: no bound. */
  readonly maxInFlight?: number;
  /** Seconds in Retry-After of refusals that pass by themselves. Default: 1. */
  readonly retryAfterSeconds?: number;
  /** Work outstanding, reported with each answer, in requests. Default: requests in flight. */
  readonly load?: () => number;
  /**
   * A monotonic clock in milliseconds that counts suspensions of the machine. Default: `performance.now` and what `os.uptime` shows
   * beyond it.
   */
  readonly clock?: () => number;
  /** Loads a shard's state before it is granted. The shard counts as warm once this resolves. */
  readonly onWarm?: (shard: ShardId) => void | Promise<void>;
  /** Requests of the shard may come from now on. */
  readonly onGranted?: (shard: ShardId) => void;
  /** The shard is given up for good; its state may be dropped. */
  readonly onReleased?: (shard: ShardId) => void;
}

/** How long `drain` waits for the control leader to move the shards away, and how often it looks. */
export interface DrainOptions {
  /** Default: 5000 ms. Shards still held after that are refused from then on. */
  readonly moveMillis?: number;
}
