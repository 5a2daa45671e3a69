/** Many hollow routers in one process. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Revision } from '../../../model/identifiers.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { hollowReport } from '../hollow-report.js';
import { HollowRouter } from '../hollow-router.js';
import { RevisionWatch } from '../revision-watch.js';
import { SharedConfiguration } from '../shared-configuration.js';
import { SharedDecoder } from '../shared-decoder.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';
import type { RunIdentity } from '../worker-calls.js';

const SERVING_CHECK_MILLIS = 10;

export interface HollowRouterStart {
  readonly identity: RunIdentity;
  readonly routers: readonly string[];
  readonly zone: string;
  /** Pause between two starts. */
  readonly pauseMillis: number;
}

export interface RestartResult {
  /** From the first start until every router held a lease. */
  readonly millis: number;
  /** Bytes each router was sent meanwhile, on average. */
  readonly bytesPerRouter: number;
}

/** Methods of a process of hollow routers. */
export interface HollowRouterMethods {
  start(start: HollowRouterStart): Promise<void>;
  /** Resolves when every router held this revision; gives when, on the machine's clock. */
  reached(revision: Revision): Promise<number>;
  /** Resolves when all shards are owned, none of them by this upstream; gives the revision. */
  replaced(upstream: string): Promise<Revision>;
  /** Number of shards by owner. */
  owned(): Readonly<Record<string, number>>;
  /** Stops and starts all routers at once, with nothing held. */
  restart(): Promise<RestartResult>;
  /** Routers that hold no lease now. */
  withoutLease(): number;
  sample(): UsageSample;
}

export function createHollowRouterRole(): HollowRouterMethods {
  const meter = new SocketMeter();
  const shared = new SharedConfiguration();
  const decoder = new SharedDecoder();
  let routers: HollowRouter[] = [];
  let messagesIn = 0;
  let messagesOut = 0;
  let started: HollowRouterStart;
  const lowest = (): Revision =>
    routers.reduce((least, router) => Math.min(least, router.revision), Infinity);
  const watch = new RevisionWatch(lowest);

  const make = (router: string, position: number): HollowRouter =>
    new HollowRouter({
      identity: started.identity,
      router,
      zone: started.zone,
      position,
      shared,
      decoder,
      report: () => hollowReport(shared, position),
      advanced: () => watch.advanced(),
      counted: (direction) => {
        messagesIn += direction === 'in' ? 1 : 0;
        messagesOut += direction === 'out' ? 1 : 0;
      },
    });

  const allServing = async (): Promise<void> => {
    while (routers.some((router) => !router.serving)) {
      await sleep(SERVING_CHECK_MILLIS);
    }
  };

  return {
    async start(start) {
      meter.start();
      started = start;
      for (const [position, name] of start.routers.entries()) {
        const router = make(name, position);
        routers.push(router);
        router.start();
        await sleep(start.pauseMillis);
      }
      await allServing();
    },
    reached: (revision) => watch.reached(revision),
    async replaced(upstream) {
      const isReplaced = (): boolean =>
        [...shared.owners.values()].every((owner) => owner !== null && owner !== upstream);
      while (!isReplaced()) {
        await sleep(SERVING_CHECK_MILLIS);
      }
      return shared.revision;
    },
    owned: () => {
      const counts: Record<string, number> = {};
      for (const owner of shared.owners.values()) {
        counts[owner ?? ''] = (counts[owner ?? ''] ?? 0) + 1;
      }
      return counts;
    },
    async restart() {
      const names = started.routers;
      for (const router of routers) {
        router.stop();
      }
      const bytesBefore = meter.read().bytesIn;
      const startedAt = machineMillis();
      routers = names.map(make);
      for (const router of routers) {
        router.start();
      }
      await allServing();
      const millis = machineMillis() - startedAt;
      return { millis, bytesPerRouter: (meter.read().bytesIn - bytesBefore) / names.length };
    },
    withoutLease: () => routers.filter((router) => !router.serving).length,
    sample: () =>
      sampleUsage(meter, { messagesIn, messagesOut, steps: messagesIn, stepMillis: 0, longestStepMillis: 0 }),
  };
}
