/** Router processes in front of one scripted upstream, which are stopped and started again. It serves `reads` and `bulk`. */
import { writeFileSync } from 'node:fs';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import type { UpstreamRecord } from '../../src/registry/types.js';
import { ProcessCluster } from '../contract/process-cluster.js';
import { call } from '../router/router-fixture.js';
import { type Script, ScriptedUpstream } from '../router/scripted-upstream.js';
import { service, upstream } from '../routing/router-harness.js';

const PORT = 8000;
const ADMIN_PORT = 8001;
export const STOP_GRACE_MILLIS = 6000;
const SLOTS = 2000;
const SERVICES = ['reads', 'bulk'] as const;

export interface StoppedRoutersOptions {
  readonly network: number;
  readonly script: Script;
  /** Whether the upstream announces itself, so that its answers may lack a length. */
  readonly announces: boolean;
  /** Modules that are loaded before the routers, in their order; `null`: none. */
  readonly modules: readonly (string | null)[];
}

export class StoppedRouters {
  readonly #cluster: ProcessCluster;
  readonly #upstream: ScriptedUpstream;
  readonly #options: StoppedRoutersOptions;
  #control: ControlStandin | null = null;

  constructor(options: StoppedRoutersOptions) {
    this.#cluster = new ProcessCluster(options.network);
    this.#upstream = new ScriptedUpstream(options.script);
    this.#options = options;
  }

  /** Starts routers 1 to `count`. */
  async startAll(count: number): Promise<void> {
    const control = await this.#startUpstream();
    this.#control = control;
    const address = await control.start();
    const numbers = Array.from({ length: count }, (_, index) => index + 1);
    for (const number of numbers) {
      this.#write(number, address);
    }
    await Promise.all(numbers.map((number) => this.start(number)));
  }

  async start(number: number): Promise<void> {
    const name = nameOf(number);
    const words = ['router', 'run', '--settings', this.#cluster.file(`${name}.yaml`)];
    const module = this.#options.modules[number - 1] ?? null;
    if (module === null) {
      this.#cluster.start(name, ...words);
    } else {
      this.#cluster.startWith(name, module, ...words);
    }
    const admin = `${this.#cluster.host(number)}:${ADMIN_PORT}`;
    await this.#cluster.until(`${name} that serves`, async () => {
      const { status } = await call(admin, { method: 'GET', path: '/healthz', headers: {} });
      return status === 200 ? true : undefined;
    });
  }

  address(number: number): { host: string; port: number } {
    return { host: this.#cluster.host(number), port: PORT };
  }

  signal(number: number, signal: NodeJS.Signals): void {
    this.#cluster.signal(nameOf(number), signal);
  }

  isRunning(number: number): boolean {
    return this.#cluster.isRunning(nameOf(number));
  }

  /** Ends a router; gives its exit code. */
  end(number: number, signal: NodeJS.Signals): Promise<number | null> {
    return this.#cluster.end(nameOf(number), signal);
  }

  logs(): string {
    return this.#cluster.logs();
  }

  async close(): Promise<void> {
    this.#cluster.close();
    await this.#control?.stop();
    await this.#upstream.stop();
  }

  async #startUpstream(): Promise<ControlStandin> {
    const { address } = await this.#upstream.start();
    return new ControlStandin({
      revision: 1,
      services: SERVICES.map((name) =>
        service(name, { slotsPerUpstream: SLOTS, queueLimit: 5000, deadlineMillis: 20_000 }),
      ),
      upstreams: SERVICES.map((name) => this.#upstreamAt(address, name)),
      shards: [],
      routes: [],
      declaration: null,
      ranges: [],
      suspects: [],
    });
  }

  #upstreamAt(address: string, name: string): UpstreamRecord {
    const id = `${name}-1`;
    if (!this.#options.announces) {
      return upstream(id, name, { address, slots: SLOTS } as never);
    }
    return {
      ...upstream(id, name, { address, announced: { slots: SLOTS, warmupMillis: 0 } }),
      incarnation: id,
    };
  }

  #write(number: number, control: string): void {
    const secretFile = this.#cluster.file('bench-secret');
    writeFileSync(secretFile, BENCH_IDENTITY.secret);
    const host = this.#cluster.host(number);
    this.#cluster.write(`${nameOf(number)}.yaml`, {
      ...this.#cluster.shared,
      cluster: BENCH_IDENTITY.cluster,
      secretFile,
      router: nameOf(number),
      listen: `${host}:${PORT}`,
      admin: `${host}:${ADMIN_PORT}`,
      control: [control],
      probeInterval: '0s',
      connectionsPerUpstream: 500,
      lameDuck: '200ms',
      stopGrace: `${STOP_GRACE_MILLIS}ms`,
    });
  }
}

function nameOf(number: number): string {
  return `router-${number}`;
}
