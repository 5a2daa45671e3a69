/** A router in virtual time: the real core, its upstream connections, its probes, and its connections to control. */
import type { ControlToRouter } from '../../../control/messages.js';
import { DEFAULT_CONFIG_LEASE_TIMINGS } from '../../../control/messages.js';
import type { Address, RouterId, ServiceName, UpstreamId, Zone } from '../../../model/identifiers.js';
import { ConfigurationView, createRouterNode, type PickerName } from '../../../routing/index.js';
import type {
  ArrivedRequest,
  AttemptNumber,
  AttemptResult,
  RouterCore,
  RouterEffect,
  RouterInput,
} from '../../../routing/types.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import type { RandomSource } from '../../virtual/random-source.js';
import { CoreTimer } from './core-timer.js';
import { type ModelControl, type RouterLink, WALL_START } from './model-control.js';
import type { ModelNetwork } from './model-network.js';
import type { ModelUpstream, ServerRequest } from './model-upstream.js';
import { UpstreamConnections } from './upstream-connections.js';

const CLAIM_TIMEOUT_MILLIS = 1000;
const CONNECT_TIMEOUT_MILLIS = 500;
const PROBE_INTERVAL_MILLIS = 1000;

/** The final answer to a caller. */
export type FinalAnswer =
  | { readonly type: 'delivered' }
  | (Extract<RouterEffect, { type: 'refuse' }> & { readonly arrivedAt: number; readonly answeredAt: number });

type DispatchEffect = Extract<RouterEffect, { type: 'dispatch' }>;

interface OpenAttempt {
  readonly upstream: ModelUpstream;
  /** `null` until the request is sent. */
  sent: ServerRequest | null;
  /** Whether the attempt holds a connection. */
  connected: boolean;
  ended: boolean;
}

/** Numbers of attempts of a router on upstreams of one service. */
export interface AttemptCounts {
  all: number;
  /** First attempts of requests. */
  first: number;
  /** Attempts on upstreams in the router's own zone. */
  local: number;
}

interface OpenRequest {
  readonly arrivedAt: number;
  attempted: boolean;
  readonly answer: (answer: FinalAnswer) => void;
}

export interface RouterParts {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly network: ModelNetwork;
  readonly control: ModelControl;
  readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>;
}

export interface RouterIdentity {
  readonly id: RouterId;
  readonly zone: Zone;
  readonly seed: number;
  readonly picker: PickerName;
}

export class ModelRouter implements RouterLink {
  /** Copy of the configuration that the core holds. */
  readonly view = new ConfigurationView();
  private readonly attemptCounts = new Map<ServiceName, AttemptCounts>();
  private readonly core: RouterCore;
  private readonly timer: CoreTimer;
  private readonly attempts = new Map<AttemptNumber, OpenAttempt>();
  private readonly requests = new Map<number, OpenRequest>();
  private readonly connections = new UpstreamConnections();
  private requestCount = 0;

  constructor(
    private readonly parts: RouterParts,
    private readonly identity: RouterIdentity,
  ) {
    this.core = createRouterNode({
      router: identity.id,
      incarnation: `${identity.id}-1`,
      zone: identity.zone,
      seed: identity.seed,
      control: parts.control.addresses,
      configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
      claimTimeoutMillis: CLAIM_TIMEOUT_MILLIS,
      picker: identity.picker,
    });
    const tick = (): void => this.step({ type: 'tick' });
    this.timer = new CoreTimer(parts.queue, () => this.core.nextDeadline(), tick);
    parts.control.connect(identity.id, this);
  }

  get zone(): Zone {
    return this.identity.zone;
  }

  get serving(): boolean {
    return this.core.status().serving;
  }

  start(): void {
    this.timer.schedule();
    for (const upstream of this.parts.upstreams.values()) {
      const firstWait = this.parts.random.fraction() * PROBE_INTERVAL_MILLIS;
      this.parts.queue.after(firstWait, () => this.probe(upstream));
    }
  }

  attemptsOn(service: ServiceName): Readonly<AttemptCounts> {
    return this.attemptCounts.get(service) ?? { all: 0, first: 0, local: 0 };
  }

  /** Handles a caller's request; `answer` is called once, when the final answer leaves the router. */
  handleRequest(request: Omit<ArrivedRequest, 'request'>, answer: (answer: FinalAnswer) => void): void {
    this.requestCount += 1;
    const number = this.requestCount;
    this.requests.set(number, { arrivedAt: this.parts.queue.now, attempted: false, answer });
    this.step({ type: 'request', request: { ...request, request: number } });
  }

  receive(from: Address, message: ControlToRouter): void {
    if (message.type === 'sync-response') {
      if (message.snapshot !== null) {
        this.view.applySnapshot(message.snapshot);
      } else if (message.delta !== null) {
        this.view.applyDelta(message.delta);
      }
    } else if (message.type === 'sync-news') {
      this.view.applyDelta(message.delta);
    }
    this.step({ type: 'control-message', from, message });
  }

  onConnectionLost(from: Address): void {
    this.step({ type: 'control-lost', from });
  }

  private step(input: RouterInput): void {
    const { now } = this.parts.queue;
    for (const effect of this.core.step(input, now, WALL_START + now)) {
      this.applyEffect(effect);
    }
    this.timer.schedule();
  }

  private applyEffect(effect: RouterEffect): void {
    switch (effect.type) {
      case 'send-control':
        this.parts.control.sendFromRouter(this.identity.id, effect.to, effect.message);
        return;
      case 'dispatch':
        this.dispatch(effect);
        return;
      case 'cancel-attempt':
        this.cancel(effect.attempt);
        return;
      case 'deliver':
      case 'deliver-stored':
        this.finish(effect.request, () => ({ type: 'delivered' }));
        return;
      case 'refuse':
        this.finish(effect.request, (arrivedAt) => ({
          ...effect,
          arrivedAt,
          answeredAt: this.parts.queue.now,
        }));
        return;
      case 'check-run': {
        // Modelled servers never terminate because of a request.
        const { run } = effect;
        this.parts.queue.after(0, () => this.step({ type: 'run-checked', run, check: 'there' }));
        return;
      }
      case 'log':
        return;
    }
  }

  private finish(number: number, make: (arrivedAt: number) => FinalAnswer): void {
    const open = this.requests.get(number);
    this.requests.delete(number);
    open?.answer(make(open.arrivedAt));
  }

  private dispatch(effect: DispatchEffect): void {
    const upstream = this.parts.upstreams.get(effect.upstream) as ModelUpstream;
    const attempt: OpenAttempt = { upstream, sent: null, connected: false, ended: false };
    this.attempts.set(effect.attempt, attempt);
    this.countAttempt(upstream, effect.request);
    if (this.connections.takeIdle(upstream)) {
      attempt.connected = true;
      this.send(effect, attempt);
      return;
    }
    this.connect(effect, attempt);
  }

  private countAttempt({ definition }: ModelUpstream, request: number): void {
    const counts = { ...this.attemptsOn(definition.service) };
    this.attemptCounts.set(definition.service, counts);
    counts.all += 1;
    counts.local += definition.zone === this.zone ? 1 : 0;
    const open = this.requests.get(request);
    if (open !== undefined && !open.attempted) {
      open.attempted = true;
      counts.first += 1;
    }
  }

  /** Opens a connection, which takes a round trip and the server's connect time. */
  private connect(effect: DispatchEffect, attempt: OpenAttempt): void {
    const { network, queue } = this.parts;
    const { upstream } = attempt;
    const { zone } = upstream.definition;
    const roundTrip = network.oneWay(this.zone, zone) + network.oneWay(zone, this.zone);
    const fail = (): void => this.end(effect.attempt, { type: 'connect-failed' }, 'close');
    if (network.isCut(this.zone, zone)) {
      queue.after(CONNECT_TIMEOUT_MILLIS, fail);
      return;
    }
    queue.after(roundTrip, () => {
      if (attempt.ended) {
        return;
      }
      if (upstream.state === 'dead' || !this.connections.open(upstream)) {
        fail();
        return;
      }
      attempt.connected = true;
      queue.after(upstream.traits.connectMillis, () => this.send(effect, attempt));
    });
  }

  private send(effect: DispatchEffect, attempt: OpenAttempt): void {
    if (attempt.ended) {
      return;
    }
    const { network, queue } = this.parts;
    const { upstream } = attempt;
    const { zone } = upstream.definition;
    const request: ServerRequest = {
      credentials: effect.credentials,
      deadlineAt: queue.now + effect.deadlineMillis,
      cancelled: false,
      respond: (result) => {
        network.send(zone, this.zone, () => this.end(effect.attempt, result, 'keep'));
      },
    };
    attempt.sent = request;
    network.send(this.zone, zone, () => {
      if (upstream.state === 'dead') {
        request.respond({ type: 'broken' });
      } else {
        upstream.serve(request);
      }
    });
  }

  /** Cancels an attempt; the upstream observes the closed connection one message delay later. */
  private cancel(number: AttemptNumber): void {
    const attempt = this.attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    const { sent, upstream } = attempt;
    if (sent === null) {
      this.endLater(number, { type: 'connect-failed', cancelled: true });
      return;
    }
    this.parts.network.send(this.zone, upstream.definition.zone, () => {
      sent.cancelled = true;
    });
    this.endLater(number, { type: 'cancelled' });
  }

  /** Ends an attempt in a later event, never during a step of the core. */
  private endLater(number: AttemptNumber, result: AttemptResult): void {
    this.parts.queue.after(0, () => this.end(number, result, 'close'));
  }

  private end(number: AttemptNumber, result: AttemptResult, connection: 'keep' | 'close'): void {
    const attempt = this.attempts.get(number);
    if (attempt === undefined || attempt.ended) {
      return;
    }
    attempt.ended = true;
    this.attempts.delete(number);
    const keepAlive = connection === 'keep' && (result.type === 'answered' || result.type === 'refused');
    if (attempt.connected) {
      this.connections.release(attempt.upstream, keepAlive);
    }
    this.step({ type: 'attempt-ended', attempt: number, result });
  }

  private probe(upstream: ModelUpstream): void {
    const { network, queue, random } = this.parts;
    const { zone, id } = upstream.definition;
    queue.after(PROBE_INTERVAL_MILLIS * (0.75 + random.fraction() / 2), () => this.probe(upstream));
    if (network.isCut(this.zone, zone) || upstream.state !== 'up') {
      const input: RouterInput = { type: 'probe-result', upstream: id, healthy: false, load: null };
      queue.after(CONNECT_TIMEOUT_MILLIS, () => this.step(input));
      return;
    }
    network.send(this.zone, zone, () =>
      upstream.probe((load) => {
        const input: RouterInput = { type: 'probe-result', upstream: id, healthy: true, load };
        network.send(zone, this.zone, () => this.step(input));
      }),
    );
  }
}
