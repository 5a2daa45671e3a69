/** Many simulated routers in one process. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Revision } from '../../../model/identifiers.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { RevisionWatch } from '../revision-watch.js';
import { SharedConfiguration } from '../shared-configuration.js';
import { SharedDecoder } from '../shared-decoder.js';
import { simulateReport } from '../simulated-report.js';
import { SimulatedRouter } from '../simulated-router.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';
import type { RunIdentity } from '../worker-calls.js';

const SERVING_POLL_MILLIS = 10;

export interface SimulatedRouterStart {
  readonly identity: RunIdentity;
  readonly routers: readonly string[];
  readonly zone: string;
  /** Pause between the starts of two routers. */
  readonly pauseMillis: number;
}

export interface RestartResult {
  /** From the first start until every router held a lease. */
  readonly millis: number;
  /** Mean number of bytes that each router received meanwhile. */
  readonly bytesPerRouter: number;
}

/** Methods of a process of simulated routers. */
export interface SimulatedRouterMethods {
  start(start: SimulatedRouterStart): Promise<void>;
  /** Resolves when every router holds this revision, to that time on the machine's clock. */
  whenReached(revision: Revision): Promise<number>;
  /** Resolves to the revision when all shards are owned, none of them by this upstream. */
  whenReplaced(upstream: string): Promise<Revision>;
  /** Number of shards by owner. */
  owned(): Readonly<Record<string, number>>;
  /** Restarts all routers at once, without a configuration. */
  restart(): Promise<RestartResult>;
  /** Returns the number of routers that currently have no lease. */
  countWithoutLease(): number;
  sample(): UsageSample;
}

export function createSimulatedRouterRole(): SimulatedRouterMethods {
  const meter = new SocketMeter();
  const shared = new SharedConfiguration();
  const decoder = new SharedDecoder();
  let routers: SimulatedRouter[] = [];
  let messagesIn = 0;
  let messagesOut = 0;
  let startOptions: SimulatedRouterStart;
  const lowestRevision = (): Revision =>
    routers.reduce((least, router) => Math.min(least, router.revision), Infinity);
  const watch = new RevisionWatch(lowestRevision);

  const createRouter = (router: string, position: number): SimulatedRouter =>
    new SimulatedRouter({
      identity: startOptions.identity,
      router,
      zone: startOptions.zone,
      position,
      shared,
      decoder,
      report: () => simulateReport(shared, position),
      onAdvanced: () => watch.onAdvanced(),
      onMessage: (direction) => {
        messagesIn += direction === 'in' ? 1 : 0;
        messagesOut += direction === 'out' ? 1 : 0;
      },
    });

  const waitUntilServing = async (): Promise<void> => {
    while (routers.some((router) => !router.serving)) {
      await sleep(SERVING_POLL_MILLIS);
    }
  };

  return {
    async start(start) {
      meter.start();
      startOptions = start;
      for (const [position, name] of start.routers.entries()) {
        const router = createRouter(name, position);
        routers.push(router);
        router.start();
        await sleep(start.pauseMillis);
      }
      await waitUntilServing();
    },
    whenReached: (revision) => watch.whenReached(revision),
    async whenReplaced(upstream) {
      const isReplaced = (): boolean =>
        [...shared.owners.values()].every((owner) => owner !== null && owner !== upstream);
      while (!isReplaced()) {
        await sleep(SERVING_POLL_MILLIS);
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
      const names = startOptions.routers;
      for (const router of routers) {
        router.stop();
      }
      const bytesBefore = meter.read().bytesIn;
      const startedAt = machineMillis();
      routers = names.map(createRouter);
      for (const router of routers) {
        router.start();
      }
      await waitUntilServing();
      const millis = machineMillis() - startedAt;
      return { millis, bytesPerRouter: (meter.read().bytesIn - bytesBefore) / names.length };
    },
    countWithoutLease: () => routers.filter((router) => !router.serving).length,
    sample: () =>
      sampleUsage(meter, { messagesIn, messagesOut, steps: messagesIn, stepMillis: 0, longestStepMillis: 0 }),
  };
}
