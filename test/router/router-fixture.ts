/** A router daemon with real sockets, a stand-in for control, and test callers. */
import { Agent, request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { DEFAULT_CONFIG_LEASE_TIMINGS } from '../../src/control/messages.js';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import type { Logger } from '../../src/logging/logger.js';
import type { ServiceDefinition } from '../../src/model/service.js';
import type { RoutingSnapshot, UpstreamRecord } from '../../src/registry/types.js';
import type { CallerFrontEnd } from '../../src/router/caller/caller-listener.js';
import { type CreateRouterCore, RouterDaemon } from '../../src/router/router-daemon.js';
import type { RouterDaemonSettings } from '../../src/router/settings.js';
import { createRouterNode } from '../../src/routing/index.js';
import { service, upstream } from '../routing/router-harness.js';
import type { ScriptedUpstream } from './scripted-upstream.js';

const ANY_PORT = '127.0.0.1:0';
/** Short interval, so that the router gets its configuration soon. */
const FAST_SYNC = { ...DEFAULT_CONFIG_LEASE_TIMINGS, syncMillis: 20 };
const ANNOUNCED = { slots: 64, warmupMillis: 0 };
const POLL_INTERVAL_MILLIS = 5;
const WAIT_MILLIS = 10_000;

export interface FixtureOptions {
  /** Changes to the service `reads`, whose requests are repeatable. */
  readonly reads?: Partial<ServiceDefinition>;
  /** Changes to the service `orders`, whose requests aren't. */
  readonly orders?: Partial<ServiceDefinition>;
  readonly settings?: Partial<RouterDaemonSettings>;
  readonly frontEnd?: CallerFrontEnd;
  /** Whether upstreams announce themselves, so that their answers may lack a length. */
  readonly announced?: boolean;
  /** Logger of the daemon; that of a process if left out. */
  readonly log?: Logger;
  /** Creates the core; that of routers if left out. */
  readonly createCore?: CreateRouterCore;
}

/** Configuration in which the upstream at each address serves `reads` and `orders`, neither of them keyed. */
export function snapshotOf(
  addresses: readonly string[],
  options: Pick<FixtureOptions, 'reads' | 'orders' | 'announced'>,
): RoutingSnapshot {
  return {
    revision: 10,
    services: [service('reads', options.reads), service('orders', { repeatable: false, ...options.orders })],
    upstreams: addresses.flatMap((address, index) =>
      ['reads', 'orders'].map((name) => {
        const id = `${name}-${index + 1}`;
        return options.announced === true
          ? { ...upstream(id, name, { address, announced: ANNOUNCED }), incarnation: id }
          : upstream(id, name, { address });
      }),
    ),
    shards: [],
    routes: [],
    declaration: null,
    ranges: [],
    suspects: [],
  };
}

/** Every upstream serves both services; neither of them is keyed. */
export class RouterFixture {
  readonly daemon: RouterDaemon;
  readonly control: ControlStandin;
  private snapshot: RoutingSnapshot;

  private constructor(snapshot: RoutingSnapshot, control: ControlStandin, daemon: RouterDaemon) {
    this.snapshot = snapshot;
    this.control = control;
    this.daemon = daemon;
  }

  static async start(
    upstreams: readonly Pick<ScriptedUpstream, 'address'>[],
    options: FixtureOptions = {},
  ): Promise<RouterFixture> {
    const snapshot = snapshotOf(
      upstreams.map(({ address }) => address),
      options,
    );
    const control = new ControlStandin(snapshot);
    const address = await control.start();
    const settings: RouterDaemonSettings = {
      ...BENCH_IDENTITY,
      router: 'r1',
      zone: 'a',
      listen: ANY_PORT,
      admin: ANY_PORT,
      control: [address],
      ...options.settings,
      timings: { probeMillis: 0, idleMillis: 0, configLease: FAST_SYNC, ...options.settings?.timings },
    };
    const { createCore = createRouterNode, frontEnd = 'koa', log } = options;
    const daemon = new RouterDaemon(settings, createCore, frontEnd, log);
    await daemon.start();
    const fixture = new RouterFixture(snapshot, control, daemon);
    await until(() => daemon.status().serving);
    return fixture;
  }

  get address(): string {
    return this.daemon.address;
  }

  /** Publishes changed records of upstreams, as control does after a change by an operator. */
  changeUpstreams(change: (record: UpstreamRecord) => UpstreamRecord): void {
    const revision = this.snapshot.revision + 1;
    const upstreams = this.snapshot.upstreams.map((record) => ({ ...change(record), revision }));
    this.snapshot = { ...this.snapshot, revision, upstreams };
    this.control.publish(this.snapshot);
  }

  get(
    path: string,
    headers: Record<string, string> = {},
    body = '',
    signal?: AbortSignal,
  ): Promise<CallerAnswer> {
    return call(this.address, { method: 'GET', path, headers, body, ...(signal && { signal }) });
  }

  /** Sends a POST with its own idempotency key. */
  order(path: string, headers: Record<string, string> = {}, body = ''): Promise<CallerAnswer> {
    const identity = { 'idempotency-key': crypto.randomUUID(), 'idempotency-issued-at': `${Date.now()}` };
    return call(this.address, { method: 'POST', path, headers: { ...identity, ...headers }, body });
  }

  async stop(): Promise<void> {
    await this.daemon.stop();
    await this.control.stop();
  }
}

export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
  /** Agent that keeps connections for further requests; a new one if left out. */
  readonly agent?: Agent;
}

/** Answer to a caller; `whole` is `false` if its connection broke before the end of the answer. */
export interface CallerAnswer {
  readonly status: number | null;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly whole: boolean;
}

/** Sends one request and reads its answer to the end. */
export function call(address: string, request: CallerRequest): Promise<CallerAnswer> {
  const { method, path, headers, body, signal, agent = new Agent() } = request;
  return new Promise((resolve) => {
    const broken: CallerAnswer = { status: null, headers: {}, body: '', whole: false };
    const options = { method, headers, signal, agent };
    const sent = httpRequest(`http://${address}${path}`, options, (response) => {
      const chunks: Buffer[] = [];
      const end = (whole: boolean): void => {
        const text = Buffer.concat(chunks).toString('latin1');
        resolve({ status: response.statusCode ?? null, headers: response.headers, body: text, whole });
      };
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => end(response.complete));
      response.on('error', () => end(false));
    });
    sent.on('error', () => resolve(broken));
    sent.end(body);
  });
}

/** Polls until the condition is true; throws after `WAIT_MILLIS`. */
export async function until(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_MILLIS;
  while (!condition()) {
    if (Date.now() > deadline) {
      throw new Error(`condition is still false after ${WAIT_MILLIS} ms`);
    }
    await sleep(POLL_INTERVAL_MILLIS);
  }
}
