/** Options and hooks of the embeddable fence. */
import type { ClusterId, Incarnation, ServiceName, ShardId, UpstreamId } from '../model/identifiers.js';

export interface FenceOptions {
  readonly cluster: ClusterId;
  readonly upstream: UpstreamId;
  readonly service: ServiceName;
  /** Whether requests name a shard that this server must own. Default: true. */
  readonly keyed?: boolean;
  /** The cluster's secret. If set, only messages with a proof of it are accepted. Default: messages need no proof. */
  readonly secret?: string;
  /** Identifies this run of the process and must never repeat. Default: random. */
  readonly incarnation?: Incarnation;
  /** Maximum concurrent requests; more are refused as overloaded. Default: unbounded. */
  readonly maxInFlight?: number;
  /** Retry-After of temporary refusals, in seconds. Default: 1. */
  readonly retryAfterSeconds?: number;
  /** Outstanding work in requests, reported with each response. Default: requests in flight. */
  readonly load?: () => number;
  /**
   * A monotonic clock in milliseconds that includes time in which the machine is suspended. Default: `performance.now` plus the
   * time by which `os.uptime` exceeds it.
   */
  readonly clock?: () => number;
  /** Loads a shard's state before the shard is granted. The shard is warm once this resolves. */
  readonly onWarm?: (shard: ShardId) => void | Promise<void>;
  /** Called when the shard is granted and its requests are admitted. */
  readonly onGranted?: (shard: ShardId) => void;
  /** Called when the shard is released; its state may be dropped. */
  readonly onReleased?: (shard: ShardId) => void;
}

/** How long `drain` waits for the control leader to move the shards away. */
export interface DrainOptions {
  /** Default: 5000 ms. After that, requests for shards still held are refused. */
  readonly moveMillis?: number;
}
