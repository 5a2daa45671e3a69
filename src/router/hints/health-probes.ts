/** Probes the health endpoint of each upstream at intervals. A probe costs the upstream time, so there are few. */
import { Agent, type ClientRequest } from 'node:http';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import { limitReceivedBytes } from '../../wire/http/received-bytes.js';
import { ProbeSchedule } from './probe-schedule.js';

export interface HealthProbesOptions {
  /** Interval between two probes of an upstream; 0 disables probes. */
  readonly intervalMillis: number;
  readonly timeoutMillis: number;
  /** Path of the health endpoint of upstreams. */
  readonly path: string;
  readonly localAddress?: string | undefined;
  /** Returns a number from 0 to below 1; spreads the probes of many routers. */
  readonly random?: () => number;
  readonly result: (upstream: UpstreamId, healthy: boolean, load: number | null) => void;
}

/** Largest response of a health endpoint, head included; a longer one counts as unhealthy. */
const MAX_RESPONSE_BYTES = 64 * 1024;
const OK = 200;

export class HealthProbes {
  private addresses: ReadonlyMap<UpstreamId, Address> = new Map();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  private readonly schedule: ProbeSchedule;
  /** Upstreams whose probe is pending. */
  private readonly asked = new Set<UpstreamId>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HealthProbesOptions) {
    const { intervalMillis, random = Math.random } = options;
    this.schedule = new ProbeSchedule({ intervalMillis, random });
  }

  /** Replaces the set of probed upstreams. */
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
      const upstream = this.schedule.next();
      if (upstream !== undefined && !this.asked.has(upstream)) {
        void this.run(upstream);
      }
    }, this.schedule.nextDelayMillis());
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
    const tooLong = new AbortController();
    try {
      // Loaded on first use, so that a router without probes starts faster.
      const { got } = await import('got');
      const probe = got(`http://${address}${this.options.path}`, {
        agent: { http: this.agent },
        ...(this.options.localAddress && { localAddress: this.options.localAddress }),
        timeout: { request: this.options.timeoutMillis },
        retry: { limit: 0 },
        throwHttpErrors: false,
        followRedirect: false,
        decompress: false,
        signal: tooLong.signal,
      });
      probe.on('request', (outgoing: ClientRequest) =>
        limitReceivedBytes(outgoing, MAX_RESPONSE_BYTES, () => tooLong.abort()),
      );
      const response = await probe;
      const load = Number(response.headers[HEADERS.load] ?? Number.NaN);
      const isValid = Number.isFinite(load) && load >= 0;
      return { healthy: response.statusCode === OK, load: isValid ? load : null };
    } catch {
      return { healthy: false, load: null };
    }
  }
}
