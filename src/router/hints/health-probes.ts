/** Task that asks each upstream for its health now and then. A probe costs the upstream time, so there are few. */
import { Agent } from 'node:http';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import { ProbeSchedule } from './probe-schedule.js';

export interface HealthProbesOptions {
  /** 0: no probes. */
  readonly intervalMillis: number;
  readonly timeoutMillis: number;
  /** Path of the health endpoint of upstreams. */
  readonly path: string;
  readonly localAddress?: string | undefined;
  /** 0 to below 1; spreads probes of many routers. */
  readonly random?: () => number;
  readonly result: (upstream: UpstreamId, healthy: boolean, load: number | null) => void;
}

const OK = 200;

export class HealthProbes {
  private addresses: ReadonlyMap<UpstreamId, Address> = new Map();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  private readonly schedule: ProbeSchedule;
  /** Upstreams whose probe isn't answered yet. */
  private readonly asked = new Set<UpstreamId>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HealthProbesOptions) {
    const { intervalMillis, random = Math.random } = options;
    this.schedule = new ProbeSchedule({ intervalMillis, random });
  }

  /** Probes these upstreams from now on, and no others. */
  probe(addresses: ReadonlyMap<UpstreamId, Address>): void {
    if (this.options.intervalMillis <= 0) {
      return;
    }
    this.addresses = new Map(addresses);
    this.schedule.replace(addresses.keys());
    clearTimeout(this.timer);
    if (addresses.size > 0) {
      this.wait();
    }
  }

  stop(): void {
    this.probe(new Map());
    this.agent.destroy();
  }

  private wait(): void {
    this.timer = setTimeout(() => {
      this.wait();
      const upstream = this.schedule.take();
      if (upstream !== undefined && !this.asked.has(upstream)) {
        void this.run(upstream);
      }
    }, this.schedule.gapMillis());
  }

  private async run(upstream: UpstreamId): Promise<void> {
    const address = this.addresses.get(upstream) as Address;
    this.asked.add(upstream);
    const outcome = await this.ask(address);
    this.asked.delete(upstream);
    if (this.addresses.get(upstream) === address) {
      this.options.result(upstream, outcome.healthy, outcome.load);
    }
  }

  private async ask(address: Address): Promise<{ readonly healthy: boolean; readonly load: number | null }> {
    try {
      // Loaded when it is needed: without probes a router starts faster.
      const { got } = await import('got');
      const response = await got(`http://${address}${this.options.path}`, {
        agent: { http: this.agent },
        ...(this.options.localAddress && { localAddress: this.options.localAddress }),
        timeout: { request: this.options.timeoutMillis },
        retry: { limit: 0 },
        throwHttpErrors: false,
        followRedirect: false,
      });
      const load = Number(response.headers[HEADERS.load] ?? Number.NaN);
      const known = Number.isFinite(load) && load >= 0;
      return { healthy: response.statusCode === OK, load: known ? load : null };
    } catch {
      return { healthy: false, load: null };
    }
  }
}
