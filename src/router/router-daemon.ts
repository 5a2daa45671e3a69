/** The router daemon: the deterministic router core with its sockets and timers. */
import { randomInt, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ControlToRouter } from '../control/messages.js';
import { createLogger, type Logger } from '../logging/logger.js';
import type { CallerLimits } from '../model/declaration.js';
import type { Address, Incarnation, MonotonicMillis } from '../model/identifiers.js';
import type { RouterConfig, RouterCore, RouterStatus } from '../routing/types.js';
import { nextTurn } from '../wire/event-loop.js';
import {
  DEFAULT_HTTP_LIMITS,
  type HttpLimits,
  HttpListener,
  type HttpListenerOptions,
} from '../wire/http/http-listener.js';
import { createMonitorListener } from '../wire/http/monitor-listener.js';
import { listenPatiently, type WireIdentity } from '../wire/index.js';
import { PathTries } from './attempts/path-tries.js';
import { UpstreamPools } from './attempts/upstream-pools.js';
import { BodyReader } from './caller/body-reader.js';
import { describeRequestFault } from './caller/caller-exchange.js';
import type { ConnectionsUsage } from './caller/caller-exchanges.js';
import { type CallerFrontEnd, createCallerListener } from './caller/caller-listener.js';
import { ControlLinks } from './control-links.js';
import { HealthProbes } from './hints/health-probes.js';
import { PlatformPoll } from './hints/platform-poll.js';
import { UpstreamDirectory } from './hints/upstream-directory.js';
import { RouterMetrics } from './metrics.js';
import { POLICY_TRACE_PATH, PolicyTraces } from './policy-traces.js';
import { RelayDialer } from './relay/relay-dialer.js';
import { NO_RELAY_USAGE, RelayServer, type RelayServerOptions } from './relay/relay-server.js';
import { RouterTask } from './router-task.js';
import {
  type CompleteRouterSettings,
  completeRouterSettings,
  type RouterDaemonSettings,
} from './settings.js';
import { type StopTimes, stopTimesOf } from './stop-times.js';

const MAX_SEED = 2 ** 31 - 1;
/** One megabit a second in bytes a millisecond. */
const BYTES_PER_MILLI_PER_MEGABIT = 125;
const SETTLE_POLL_MILLIS = 10;
const CONFIGURATION_POLL_MILLIS = 10;
/** Header limit if callers can connect before limits are declared. */
const UNDECLARED_HEADER_BYTES = 64 * 1024;
/** Grace time of the admin port's callers. */
const ADMIN_GRACE_MILLIS = 100;
/** Longest wait, once all callers are answered, for work in progress in the core, such as settling claims. */
const MAX_SETTLE_MILLIS = 2000;

/** Creates the core; replaced in tests. */
export type CreateRouterCore = (config: RouterConfig) => RouterCore;

export class RouterDaemon {
  /** Resolves on a fatal error of the daemon; the process must then exit. */
  readonly failed: Promise<Error>;
  readonly incarnation: Incarnation = randomUUID();
  private readonly settings: CompleteRouterSettings;
  private readonly core: RouterCore;
  private readonly task: RouterTask;
  private readonly pools: UpstreamPools;
  private readonly links: ControlLinks;
  private readonly probes: HealthProbes;
  private readonly platform: PlatformPoll | null;
  private readonly traces = new PolicyTraces((on) => this.task.post({ type: 'policy-trace', on }));
  private readonly directory = new UpstreamDirectory();
  private readonly metrics: RouterMetrics;
  private readonly bodies: BodyReader;
  /** Limits for callers: the declared ones if there are any, otherwise those of the settings. */
  private http: HttpLimits;
  private callers: HttpListener | undefined;
  private admin: HttpListener | undefined;
  private relay: RelayServer | undefined;
  private fail: (error: Error) => void = () => {};
  private starting: Promise<void> | undefined;
  /** Ends the waits of a start when the router is stopped. */
  private readonly startAbort = new AbortController();
  private stopping: Promise<void> | undefined;
  /** Control members of the settings, as last read. */
  private control: readonly Address[];
  private areLinksOpen = false;

  constructor(
    settings: RouterDaemonSettings,
    createCore: CreateRouterCore,
    private readonly frontEnd: CallerFrontEnd,
    private readonly log: Logger = createLogger('router'),
  ) {
    this.failed = new Promise((resolve) => {
      this.fail = resolve;
    });
    this.settings = completeRouterSettings(settings);
    this.control = this.settings.control;
    const { limits, timings } = this.settings;
    this.http = this.settings.http;
    this.bodies = new BodyReader(limits);
    this.core = createCore(this.coreConfig());
    this.metrics = new RouterMetrics(
      () => this.core.status(),
      () => this.task.connectionsUsage(),
      () => this.relay?.usage ?? NO_RELAY_USAGE,
    );
    const dialer = this.createRelayDialer();
    const localAddress = settings.outgoing;
    this.pools = new UpstreamPools({
      ...limits,
      ...timings,
      localAddress,
      dialer,
      onClientFailed: (address, error) => this.log.error('upstream-client-failed', { address, error }),
    });
    this.links = this.createLinks();
    this.probes = this.createProbes();
    this.platform = this.createPlatformPoll();
    this.task = new RouterTask({
      settings: this.settings,
      incarnation: this.incarnation,
      core: this.core,
      pools: this.pools,
      pathTries: new PathTries({
        dialer,
        localAddress,
        usualConnectMillis: (address) => this.pools.usualConnectMillis(address),
      }),
      bodies: this.bodies,
      links: this.links,
      metrics: this.metrics,
      log: this.log,
      onCallerLimits: (declared) => this.applyCallerLimits(declared),
      onPolicyTrace: (record) => this.traces.record(record),
      failed: (error) => this.reportFailure(error),
    });
  }

  /**
   * Starts the core and opens the ports. Callers can connect once there is a configuration or `firstConfigurationMillis` have passed;
   * until then their connections fail over to another router. If that setting is 0, their requests wait a short time for the configuration.
   */
  start(): Promise<void> {
    this.starting ??= this.open();
    return this.starting;
  }

  private async open(): Promise<void> {
    const { admin } = this.settings;
    const monitor = createMonitorListener(
      this.metrics.registry,
      () => this.health(),
      (request, response) => this.serveAdmin(request, response),
    );
    this.admin = await this.listenAt(admin, () => HttpListener.listen(admin, DEFAULT_HTTP_LIMITS, monitor));
    this.relay = await this.listenForRouters();
    this.connectToControl();
    this.platform?.start();
    await this.waitForConfiguration();
    // A signal that came while the process was held up is heard before callers can connect.
    await nextTurn();
    if (this.stopping !== undefined) {
      return;
    }
    await this.listenForCallers();
    this.log.info('started', { listen: this.address, admin: this.adminAddress });
  }

  private connectToControl(): void {
    this.areLinksOpen = true;
    this.links.start(this.control);
    this.task.start();
    if (this.control !== this.settings.control) {
      this.task.post({ type: 'control-members', members: this.control });
    }
  }

  private async listenForRouters(): Promise<RelayServer | undefined> {
    const { relay, outgoing } = this.settings;
    if (relay === undefined) {
      return undefined;
    }
    const options: RelayServerOptions = {
      listen: relay,
      identity: this.routerIdentity(['router']),
      localAddress: outgoing,
      log: this.log,
      targetOf: (upstream, answer) => this.task.askRelayTarget(upstream, answer),
    };
    return this.listenAt(relay, () => RelayServer.listen(options));
  }

  /** Waits for an address that is held for a moment, unless the router is stopped. */
  private listenAt<Listener>(address: Address, listen: () => Promise<Listener>): Promise<Listener> {
    return listenPatiently(address, listen, this.startAbort.signal);
  }

  private createRelayDialer(): RelayDialer {
    return new RelayDialer({
      identity: this.routerIdentity(['router']),
      localAddress: this.settings.outgoing,
      onClosing: (router) => this.task.post({ type: 'relay-closing', router }),
    });
  }

  private routerIdentity(expects: WireIdentity['expects']): WireIdentity {
    const { cluster, router, secret, zone } = this.settings;
    return { greeting: { type: 'greeting', cluster, kind: 'router', name: router, zone }, secret, expects };
  }

  private async waitForConfiguration(): Promise<void> {
    const deadline = performance.now() + this.settings.timings.firstConfigurationMillis;
    while (!this.core.status().serving && performance.now() < deadline && this.stopping === undefined) {
      await sleep(CONFIGURATION_POLL_MILLIS);
    }
  }

  private async listenForCallers(): Promise<void> {
    const { listen } = this.settings;
    const onRequest = createCallerListener(this.frontEnd, (request, response) =>
      this.task.accept(request, response),
    );
    const limits = this.core.status().serving ? this.http : withUndeclaredHeaderLimit(this.http);
    const options: HttpListenerOptions = {
      requireHost: false,
      decidesClosings: true,
      describeFault: describeRequestFault,
      onFaultAnswered: (answered) => this.log.info('caller-fault-answered', { ...answered }),
      onCut: (cut) => this.log.info('caller-connection-cut', { ...cut }),
    };
    this.callers = await this.listenAt(listen, () => HttpListener.listen(listen, limits, onRequest, options));
  }

  /**
   * Applies the declared limits. The maximum header size is fixed once callers can connect; the time limit of a whole request is
   * at least that of its header.
   */
  private applyCallerLimits({ headerBytes, bodyBytes, headerMillis, idleMillis }: CallerLimits): void {
    this.bodies.setMaxBodyBytes(bodyBytes);
    this.http = {
      ...this.http,
      maxHeaderBytes: headerBytes,
      headersMillis: headerMillis,
      requestMillis: Math.max(headerMillis, this.settings.http.requestMillis),
      keepAliveMillis: idleMillis,
    };
    this.callers?.resize(this.http);
  }

  /** Address for callers, with the actual port. */
  get address(): Address {
    return this.callers?.address ?? this.settings.listen;
  }

  /** Admin address, with the actual port. */
  get adminAddress(): Address {
    return this.admin?.address ?? this.settings.admin;
  }

  /** Number of callers' requests in progress. */
  get openRequests(): number {
    return this.task.openRequests;
  }

  /** Current resource usage of callers' connections. */
  connectionsUsage(): ConnectionsUsage {
    return this.task.connectionsUsage();
  }

  /** Replaces the control members after the settings were reloaded. */
  setControlMembers(members: readonly Address[]): void {
    this.control = members;
    if (!this.areLinksOpen) {
      return;
    }
    this.links.setConfiguredMembers(members);
    this.task.post({ type: 'control-members', members });
  }

  status(): RouterStatus {
    return this.core.status();
  }

  /** Planned stop: accepts no new connections, finishes every request, then closes everything. */
  stop(): Promise<void> {
    this.startAbort.abort();
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  private async shutDown(): Promise<void> {
    const earliestAt = this.task.earliestSignalAt();
    const heardAt = performance.now();
    const heldUpMillis = Math.round(heardAt - earliestAt);
    this.log.info('stopping', { openRequests: this.task.openRequests, heldUpMillis });
    await this.startToEnd();
    const times = stopTimesOf(this.settings.timings.stopGraceMillis, { earliestAt, heardAt });
    const { closesAt } = times;
    await this.stopCallers(times);
    await this.settle(closesAt);
    await this.relay?.stop(millisUntil(closesAt));
    this.task.stop();
    this.traces.stop();
    this.probes.stop();
    this.platform?.stop();
    this.links.stop();
    await this.pools.stop();
    await this.admin?.stop({ idleMillis: 0, graceMillis: ADMIN_GRACE_MILLIS });
    this.log.info('stopped');
  }

  /** Resolves when no caller is connected any more, at `closesAt` at the latest. */
  private async stopCallers({ answersAt, breaksOffAt, closesAt }: StopTimes): Promise<void> {
    const { lameDuckMillis, idleMillis } = this.settings.timings;
    this.task.beginStop(answersAt, breaksOffAt);
    this.relay?.announceStop();
    const answersMillis = millisUntil(answersAt);
    const graceMillis = millisUntil(closesAt);
    const overdue = setTimeout(() => void this.endConnections(), graceMillis);
    await this.callers?.stop({ lameDuckMillis, idleMillis, answersMillis, graceMillis });
    clearTimeout(overdue);
  }

  /** Breaks off what callers haven't taken: the process ends by itself before it may be killed. */
  private async endConnections(): Promise<void> {
    // Both may be due at once where the process was held up.
    await this.task.lastAnswered;
    await nextTurn();
    this.callers?.cutConnections();
    this.task.endStreamedAnswers();
  }

  /** Waits for work in progress in the core, until `closesAt` at most. */
  private async settle(closesAt: MonotonicMillis): Promise<void> {
    const deadline = Math.min(performance.now() + MAX_SETTLE_MILLIS, closesAt);
    while (this.hasWork() && performance.now() < deadline) {
      await sleep(SETTLE_POLL_MILLIS);
    }
  }

  private hasWork(): boolean {
    const { inFlight, unsettled } = this.core.status();
    return inFlight > 0 || unsettled > 0;
  }

  /** Waits for a start in progress, whose failure `start` reports. */
  private async startToEnd(): Promise<void> {
    await this.starting?.catch((error) => this.log.warn('start-failed', { error }));
  }

  private serveAdmin(request: IncomingMessage, response: ServerResponse): void {
    const path = request.url?.split('?', 1)[0];
    if (request.method === 'GET' && path === POLICY_TRACE_PATH) {
      this.traces.serve(request, response);
    } else {
      response.writeHead(404, { 'content-length': 0 }).end();
    }
  }

  private health(): { readonly healthy: boolean } & RouterStatus {
    const status = this.core.status();
    const isOpen = this.callers !== undefined && this.stopping === undefined;
    return { healthy: status.serving && isOpen, ...status };
  }

  private reportFailure(error: Error): void {
    this.log.error('failed', { error });
    this.fail(error);
  }

  private handleControlMessage(from: Address, message: ControlToRouter): void {
    if (message.type === 'sync-response') {
      this.links.setReportedMembers(message.members);
    }
    if (this.updateDirectory(message)) {
      const addresses = this.directory.list();
      this.probes.probe(addresses);
      this.pools.keepOnly(new Set(addresses.values()));
    }
    this.task.post({ type: 'control-message', from, message });
  }

  /** Returns whether the addresses of upstreams changed. */
  private updateDirectory(message: ControlToRouter): boolean {
    switch (message.type) {
      case 'sync-response':
        return this.directory.applyUpdate(message);
      case 'sync-news':
        return this.directory.applyUpdate({ snapshot: null, delta: message.delta });
      default:
        return false;
    }
  }

  private createLinks(): ControlLinks {
    const { wire } = this.settings;
    return new ControlLinks({
      identity: this.routerIdentity(['control']),
      localAddress: this.settings.outgoing,
      limits: wire,
      log: this.log,
      received: (from, message) => this.handleControlMessage(from, message),
      lost: (from) => this.task.post({ type: 'control-lost', from }),
      connected: (to, zone) => this.task.post({ type: 'control-connected', to, zone }),
    });
  }

  private createProbes(): HealthProbes {
    const { probeMillis, probeTimeoutMillis } = this.settings.timings;
    return new HealthProbes({
      intervalMillis: probeMillis,
      timeoutMillis: probeTimeoutMillis,
      path: this.settings.probePath,
      localAddress: this.settings.outgoing,
      result: (upstream, healthy, load) => this.task.post({ type: 'probe-result', upstream, healthy, load }),
    });
  }

  private createPlatformPoll(): PlatformPoll | null {
    const { platformUrl, timings } = this.settings;
    if (platformUrl == null) {
      return null;
    }
    return new PlatformPoll({
      url: platformUrl,
      intervalMillis: timings.platformMillis,
      log: this.log,
      result: ({ live, leaving }) => this.task.post({ type: 'platform-list', live, leaving }),
    });
  }

  private coreConfig(): RouterConfig {
    const {
      router,
      zone,
      control,
      timings,
      whenOutOfTouch,
      warmup,
      linkMegabits,
      returnTimes,
      roomByRank,
      relay,
      regions,
    } = this.settings;
    return {
      router,
      incarnation: this.incarnation,
      zone,
      seed: randomInt(1, MAX_SEED),
      control,
      configLease: timings.configLease,
      claimTimeoutMillis: timings.claimMillis,
      ...(whenOutOfTouch !== undefined && { whenOutOfTouch }),
      ...(warmup !== undefined && { warmupBounds: warmup }),
      ...(returnTimes !== undefined && { returnTimes }),
      ...(roomByRank !== undefined && { roomByRank }),
      ...(linkMegabits !== undefined && { linkBytesPerMilli: linkMegabits * BYTES_PER_MILLI_PER_MEGABIT }),
      ...(relay !== undefined && { relayAddress: relay }),
      ...(regions !== undefined && { regions }),
      holdsEarlyRequests: timings.firstConfigurationMillis === 0,
    };
  }
}

function millisUntil(at: MonotonicMillis): number {
  return Math.max(0, at - performance.now());
}

/** The maximum header size can't be changed later, so it is large if callers can connect before limits are declared. */
function withUndeclaredHeaderLimit(limits: HttpLimits): HttpLimits {
  return { ...limits, maxHeaderBytes: Math.max(limits.maxHeaderBytes, UNDECLARED_HEADER_BYTES) };
}
