/** Many simulated upstreams in one process: each is the real fence behind a real HTTP server, without requests. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createFence, createNodeHandler } from '../../../upstream/index.js';
import { machineMillis } from '../../journal/machine-clock.js';
import { SocketMeter } from '../socket-meter.js';
import { sampleUsage, type UsageSample } from '../usage.js';

export interface SimulatedUpstreamStart {
  readonly cluster: string;
  readonly secret: string;
  readonly upstreams: readonly { readonly id: string; readonly service: string }[];
}

export interface GrantCount {
  /** Grants to the upstreams of this process since the last call of `resetGrants`. */
  readonly grants: number;
  /** Time of the last grant, on the machine's clock. */
  readonly lastGrantedAt: number;
}

/** Methods of a process of simulated upstreams. */
export interface SimulatedUpstreamMethods {
  /** Starts the upstreams and returns their addresses by name. */
  start(start: SimulatedUpstreamStart): Promise<Readonly<Record<string, string>>>;
  /** Ends a server abruptly, as a crash does. Returns the time on the machine's clock. */
  kill(id: string): number;
  resetGrants(): void;
  grants(): GrantCount;
  sample(): UsageSample;
}

export function createSimulatedUpstreamRole(): SimulatedUpstreamMethods {
  const meter = new SocketMeter();
  const servers = new Map<string, Server>();
  let grants = 0;
  let lastGrantedAt = 0;
  let messages = 0;

  const startOne = async (
    start: SimulatedUpstreamStart,
    upstream: string,
    service: string,
  ): Promise<string> => {
    const onGranted = (): void => {
      grants += 1;
      lastGrantedAt = machineMillis();
    };
    const fence = createFence({ cluster: start.cluster, secret: start.secret, upstream, service, onGranted });
    const handler = createNodeHandler(fence, (_request, response) => {
      response.end();
    });
    const server = createServer((request, response) => {
      messages += 1;
      handler(request, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.set(upstream, server);
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  return {
    async start(start) {
      meter.start();
      const addresses: Record<string, string> = {};
      for (const { id, service } of start.upstreams) {
        addresses[id] = await startOne(start, id, service);
      }
      return addresses;
    },
    kill(id) {
      const server = servers.get(id);
      server?.close();
      server?.closeAllConnections();
      return machineMillis();
    },
    resetGrants() {
      grants = 0;
    },
    grants: () => ({ grants, lastGrantedAt }),
    sample: () =>
      sampleUsage(meter, {
        messagesIn: messages,
        messagesOut: messages,
        steps: messages,
        stepMillis: 0,
        longestStepMillis: 0,
      }),
  };
}
