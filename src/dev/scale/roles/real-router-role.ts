/** A real router daemon without callers, with a `CountingCore`. */
import { setTimeout as sleep } from 'node:timers/promises';
import { RouterDaemon } from '../../../router/router-daemon.js';
import { createRouterNode } from '../../../routing/index.js';
import type { RouterEffect, RouterInput, RouterStatus } from '../../../routing/types.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { CountingCore } from '../counting-core.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';
import type { RunIdentity } from '../worker-calls.js';

const INPUTS = new Set(['control-message', 'probe-result', 'platform-list']);
const EFFECTS = new Set(['send-control']);
const SERVING_POLL_MILLIS = 2;

export interface RealRouterStart {
  readonly identity: RunIdentity;
  readonly router: string;
  readonly zone: string;
}

export interface RouterStartResult {
  /** From the start of the daemon until it serves. */
  readonly millis: number;
  readonly bytesIn: number;
  /** Processor time until it serves. */
  readonly cpuMillis: number;
  readonly longestStepMillis: number;
}

/** Methods of a real router's process. */
export interface RealRouterMethods {
  start(start: RealRouterStart): Promise<RouterStartResult>;
  status(): RouterStatus;
  sample(): UsageSample;
  stop(): Promise<void>;
}

export function createRealRouterRole(): RealRouterMethods {
  const meter = new SocketMeter();
  let daemon: RouterDaemon;
  let core: CountingCore<RouterInput, RouterEffect, RouterStatus>;
  return {
    async start({ identity, router, zone }) {
      meter.start();
      const settings = { ...identity, router, zone, listen: '127.0.0.1:0', admin: '127.0.0.1:0' };
      daemon = new RouterDaemon(
        settings,
        (config) => {
          core = new CountingCore(createRouterNode(config), INPUTS, EFFECTS);
          return core;
        },
        'node',
      );
      const startedAt = machineMillis();
      const before = sampleUsage(meter, core.read());
      await daemon.start();
      while (!daemon.status().serving) {
        await sleep(SERVING_POLL_MILLIS);
      }
      const after = sampleUsage(meter, core.read());
      return {
        millis: machineMillis() - startedAt,
        bytesIn: after.bytesIn,
        cpuMillis: after.cpuMillis - before.cpuMillis,
        longestStepMillis: after.longestStepMillis,
      };
    },
    status: () => daemon.status(),
    sample: () => sampleUsage(meter, core.read()),
    stop: () => daemon.stop(),
  };
}
