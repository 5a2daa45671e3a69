/** Task that asks each upstream for its health now and then. A probe costs the upstream time, so there are few. */
import { Agent } from 'node:http';
import got from 'got';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';

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

interface Target {
  readonly address: Address;
  timer: NodeJS.Timeout;
}

/**
 * Upstreams that are probed at the full rate. With more of them the interval grows with the square of their number, so
 * that a router probes ever fewer a second: the more upstreams there are, the more routers ask each of them, and the less
 * a probe tells beside the requests that a router sends by itself.
 */
const FULL_RATE_UPSTREAMS = 40;
/** Intervals vary by this share either way. */
const JITTER = 0.25;
const OK = 200;

export class HealthProbes {
  private readonly targets = new Map<UpstreamId, Target>();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  private readonly random: () => number;

  constructor(private readonly options: HealthProbesOptions) {
    this.random = options.random ?? Math.random;
  }

  /** Probes these upstreams from now on, and no others. */
  probe(addresses: ReadonlyMap<UpstreamId, Address>): void {
    if (this.options.intervalMillis <= 0) {
      return;
    }
    for (const [upstream, target] of this.targets) {
      if (addresses.get(upstream) !== target.address) {
        clearTimeout(target.timer);
        this.targets.delete(upstream);
      }
    }
    const intervalMillis = this.intervalMillis(addresses.size);
    for (const [upstream, address] of addresses) {
      if (!this.targets.has(upstream)) {
        const firstWait = this.random() * intervalMillis;
        const timer = setTimeout(() => this.run(upstream), firstWait);
        this.targets.set(upstream, { address, timer });
      }
    }
  }

  stop(): void {
    this.probe(new Map());
    this.agent.destroy();
  }

  private async run(upstream: UpstreamId): Promise<void> {
    const target = this.targets.get(upstream);
    if (target === undefined) {
      return;
    }
    const outcome = await this.ask(target.address);
    if (this.targets.get(upstream) === target) {
      this.options.result(upstream, outcome.healthy, outcome.load);
      target.timer = setTimeout(() => this.run(upstream), this.wait());
    }
  }

  private async ask(address: Address): Promise<{ readonly healthy: boolean; readonly load: number | null }> {
    try {
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

  private wait(): number {
    const spread = 1 + JITTER * (2 * this.random() - 1);
    return this.intervalMillis(this.targets.size) * spread;
  }

  private intervalMillis(upstreams: number): number {
    return this.options.intervalMillis * Math.max(1, (upstreams / FULL_RATE_UPSTREAMS) ** 2);
  }
}
