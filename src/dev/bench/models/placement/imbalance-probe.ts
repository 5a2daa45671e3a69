/** Samples the imbalance of the expected load over the ready servers. */
import type { UpstreamId } from '../../../../model/identifiers.js';
import { quantile } from '../../statistics.js';
import type { KeyLoads } from './key-loads.js';
import type { PlacementWorld } from './placement-world.js';

const SAMPLE_MILLIS = 500;

/** One sample of the loads. */
export interface ImbalanceSample {
  readonly at: number;
  /** Load of the most loaded server divided by the lower bound: the larger of the mean and the hottest key's load. */
  readonly boundRatio: number;
  /** Load of the most loaded server divided by the mean. */
  readonly meanRatio: number;
}

export class ImbalanceProbe {
  readonly samples: ImbalanceSample[] = [];

  constructor(
    private readonly world: PlacementWorld,
    private readonly loads: KeyLoads,
    private readonly coalesced: boolean,
  ) {}

  start(): void {
    this.world.queue.after(SAMPLE_MILLIS, () => {
      this.sample();
      this.start();
    });
  }

  averageBoundRatio(): number {
    return mean(this.samples.map(({ boundRatio }) => boundRatio));
  }

  averageMeanRatio(): number {
    return mean(this.samples.map(({ meanRatio }) => meanRatio));
  }

  boundRatioQuantile(share: number): number {
    return quantile(
      this.samples.map(({ boundRatio }) => boundRatio),
      share,
    );
  }

  private sample(): void {
    const keyWork = this.loads.keyWork(this.coalesced);
    const shardWork = this.loads.shardWork(keyWork);
    const work = new Map<UpstreamId, number>();
    for (const { shard, owner } of this.world.shards.values()) {
      if (owner !== null) {
        work.set(owner, (work.get(owner) ?? 0) + (shardWork.get(shard) ?? 0));
      }
    }
    const readyServers = [...this.world.servers.values()].filter(({ state }) => state === 'ready');
    const average = sum(keyWork) / readyServers.length;
    const highest = Math.max(...readyServers.map(({ id }) => work.get(id) ?? 0));
    const bound = Math.max(average, ...keyWork);
    this.samples.push({
      at: this.world.queue.now,
      boundRatio: highest / bound,
      meanRatio: highest / average,
    });
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
