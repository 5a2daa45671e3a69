/**
 * An upstream server in virtual time: slots with a bounded queue, connection and probe cost, cold start, load shedding,
 * and the real grant holder as its fence.
 */
import { createGrantHolder, type GrantHolder, type Ticket } from '../../../lease/index.js';
import type { FenceCredentials, SessionAnswer, SessionRequest } from '../../../lease/types.js';
import type { Epoch, Incarnation, ShardId } from '../../../model/identifiers.js';
import type { UpstreamDefinition } from '../../../model/service.js';
import type { AttemptResult } from '../../../routing/types.js';
import { LoadReporter } from '../../standins/upstream/work-model.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import type { RandomSource } from '../../virtual/random-source.js';
import type { UpstreamTraits } from './upstream-traits.js';

/** One attempt as it reaches the server. */
export interface ServerRequest {
  readonly credentials: FenceCredentials | null;
  /** Virtual time after which the answer is no longer needed. */
  readonly deadlineAt: number;
  /** Called at most once, when the answer leaves the server. */
  readonly respond: (result: AttemptResult) => void;
  /** Set when the caller has disconnected. */
  cancelled: boolean;
}

/** `frozen`: accepts connections but processes nothing. `dead`: refuses connections. */
export type ServerState = 'up' | 'frozen' | 'dead';

interface RunningRequest {
  readonly request: ServerRequest;
  readonly ticket: Ticket | null;
  /** Answered, abandoned or lost with the process; timers that are still pending then do nothing. */
  done: boolean;
}

export class ModelUpstream {
  holder: GrantHolder;
  state: ServerState = 'up';
  /** Factor on request times; 2: requests take twice as long. */
  slowness = 1;
  /** Share of requests whose connection breaks after processing. */
  failureShare = 0;
  /** Open connections of all routers. */
  connectionCount = 0;
  /** Numbers of requests answered and of requests started. */
  answered = 0;
  startedCount = 0;
  /** Set to request that control move the shards away, as a planned shutdown does. */
  leaving = false;
  private drained = false;
  private run = 1;
  private startedAt = 0;
  private busy = 0;
  private readonly waiting: RunningRequest[] = [];
  private readonly open = new Set<RunningRequest>();
  private readonly deferredActions: (() => void)[] = [];
  private readonly grantedEpochs = new Map<ShardId, Epoch>();
  /** Virtual time from which a shard's state is loaded. */
  private readonly loadedAt = new Map<ShardId, number>();
  private reporter: LoadReporter;

  constructor(
    private readonly queue: EventQueue,
    private readonly random: RandomSource,
    readonly definition: UpstreamDefinition,
    readonly keyed: boolean,
    readonly traits: UpstreamTraits,
  ) {
    this.holder = this.makeHolder();
    this.reporter = new LoadReporter(traits.loadLagMillis, 1);
  }

  get incarnation(): Incarnation {
    return `${this.definition.id}#${this.run}`;
  }

  get inFlight(): number {
    return this.open.size;
  }

  /** Whether a request for this shard would be admitted now and the shard's state is loaded. */
  serves(shard: ShardId): boolean {
    const { now } = this.queue;
    const isUp = this.state === 'up' && this.grantedEpochs.has(shard);
    return isUp && now >= (this.loadedAt.get(shard) ?? 0) && this.holder.status(now).leased;
  }

  epochOf(shard: ShardId): Epoch | undefined {
    return this.grantedEpochs.get(shard);
  }

  /** Handles a session request of a control leader. */
  handleSession(request: SessionRequest): SessionAnswer {
    const answer = this.holder.handleSession(request, this.queue.now);
    this.applyHolderEvents();
    return this.leaving ? { ...answer, leaving: true } : answer;
  }

  /** Runs `action` now, or once a frozen server thaws; returns `false` if the server is dead. */
  whenAwake(action: () => void): boolean {
    if (this.state === 'frozen') {
      this.deferredActions.push(action);
      return true;
    }
    if (this.state === 'up') {
      action();
    }
    return this.state === 'up';
  }

  /** Handles a request received on an open connection. */
  serve(request: ServerRequest): void {
    this.whenAwake(() => this.admit(request));
  }

  /** Answers a probe after it has occupied a slot for its cost; at once if no slot is free. */
  probe(respond: (load: number) => void): void {
    if (this.busy >= this.traits.slots) {
      respond(this.load());
      return;
    }
    this.busy += 1;
    const { run } = this;
    this.queue.after(this.traits.probeMillis, () => {
      if (run === this.run) {
        this.busy -= 1;
        this.startWaiting();
        respond(this.load());
      }
    });
  }

  /** Kills the process: connections break and open requests aren't answered. */
  kill(): void {
    this.state = 'dead';
    for (const running of this.open) {
      running.done = true;
      if (!running.request.cancelled) {
        running.request.respond({ type: 'broken' });
      }
    }
    this.reset();
  }

  /** Starts a new run of the process, cold and without grants. */
  restart(): void {
    this.run += 1;
    this.startedAt = this.queue.now;
    this.state = 'up';
    this.leaving = false;
    this.drained = false;
    this.reset();
    this.holder = this.makeHolder();
    this.reporter = new LoadReporter(this.traits.loadLagMillis, 1);
  }

  /** Rejects all further requests, as the last phase of a planned shutdown does. */
  drain(): void {
    this.drained = true;
  }

  /** Whether the leader may still consider this server the owner of a shard. */
  holdsAny(): boolean {
    const { held, unreported } = this.holder.status(this.queue.now);
    return held + unreported > 0;
  }

  /** Suspends the process until `thaw`; requests received meanwhile wait. */
  freeze(): void {
    this.state = 'frozen';
  }

  thaw(): void {
    this.state = 'up';
    for (const action of this.deferredActions.splice(0)) {
      action();
    }
  }

  private reset(): void {
    this.busy = 0;
    this.connectionCount = 0;
    this.waiting.length = 0;
    this.open.clear();
    this.deferredActions.length = 0;
    this.grantedEpochs.clear();
    this.loadedAt.clear();
  }

  private makeHolder(): GrantHolder {
    const { id } = this.definition;
    return createGrantHolder({ cluster: 'bench', upstream: id, incarnation: this.incarnation });
  }

  private applyHolderEvents(): void {
    for (const event of this.holder.takeEvents()) {
      switch (event.type) {
        case 'granted':
          this.grantedEpochs.set(event.shard, event.epoch);
          this.loadedAt.set(event.shard, this.queue.now + (event.warmed ? 0 : this.traits.shardLoadMillis));
          break;
        case 'revoked':
        case 'released':
          this.grantedEpochs.delete(event.shard);
          break;
        case 'warm':
          this.warm(event.shard);
      }
    }
  }

  private warm(shard: ShardId): void {
    const { run } = this;
    this.queue.after(this.traits.shardLoadMillis, () => {
      if (run === this.run && this.state === 'up') {
        this.holder.markWarmed(shard);
      }
    });
  }

  private admit(request: ServerRequest): void {
    if (request.cancelled) {
      return;
    }
    if (this.drained) {
      request.respond({ type: 'refused', refusal: 'draining', retryAfterMillis: null });
      return;
    }
    if (this.open.size >= this.traits.slots + this.traits.queueLimit) {
      request.respond({ type: 'refused', refusal: 'overloaded', retryAfterMillis: null });
      return;
    }
    const ticket = this.passFence(request);
    if (ticket !== undefined) {
      const running: RunningRequest = { request, ticket, done: false };
      this.open.add(running);
      this.waitForShard(running);
    }
  }

  /** Returns `null` for services that aren't keyed, and `undefined` if the request was refused. */
  private passFence(request: ServerRequest): Ticket | null | undefined {
    const { now } = this.queue;
    if (!this.keyed || request.credentials === null) {
      if (!this.holder.status(now).draining) {
        return null;
      }
      request.respond({ type: 'refused', refusal: 'draining', retryAfterMillis: null });
      return undefined;
    }
    const admission = this.holder.admit(request.credentials, now);
    if (admission.type === 'admitted') {
      return admission.ticket;
    }
    request.respond({ type: 'refused', refusal: admission.refusal, retryAfterMillis: null });
    return undefined;
  }

  /** Delays a request until its shard, if granted cold, is loaded; the request holds no slot meanwhile. */
  private waitForShard(running: RunningRequest): void {
    const loadedAt = running.ticket === null ? 0 : (this.loadedAt.get(running.ticket.shard) ?? 0);
    if (loadedAt > this.queue.now) {
      this.queue.at(loadedAt, () => this.takeSlot(running));
      return;
    }
    this.takeSlot(running);
  }

  private takeSlot(running: RunningRequest): void {
    if (running.done) {
      return;
    }
    if (this.busy >= this.traits.slots) {
      this.waiting.push(running);
      return;
    }
    this.start(running);
  }

  private start(running: RunningRequest): void {
    this.busy += 1;
    this.startedCount += 1;
    const { run } = this;
    this.queue.after(this.drawServiceMillis(), () => {
      if (run === this.run) {
        this.whenAwake(() => this.finish(running));
      }
    });
  }

  private finish(running: RunningRequest): void {
    if (running.done) {
      return;
    }
    this.busy -= 1;
    const { request, ticket } = running;
    const confirmed = ticket === null || this.holder.confirmEffect(ticket, this.queue.now);
    this.close(running);
    this.startWaiting();
    if (request.cancelled) {
      return;
    }
    if (!confirmed) {
      request.respond({ type: 'refused', refusal: 'lease-over', retryAfterMillis: null });
      return;
    }
    if (this.failureShare > 0 && this.random.fraction() < this.failureShare) {
      request.respond({ type: 'broken' });
      return;
    }
    this.answered += 1;
    request.respond({ type: 'answered', status: 200, load: this.load(), stored: null });
  }

  private close(running: RunningRequest): void {
    running.done = true;
    this.open.delete(running);
    if (running.ticket !== null) {
      this.holder.finish(running.ticket, this.queue.now);
      this.applyHolderEvents();
    }
  }

  /** Starts waiting requests while slots are free; skips cancelled and expired ones. */
  private startWaiting(): void {
    while (this.busy < this.traits.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      if (next.request.cancelled || next.request.deadlineAt <= this.queue.now) {
        this.close(next);
      } else {
        this.start(next);
      }
    }
  }

  private load(): number {
    const { now } = this.queue;
    this.reporter.observe(this.open.size, now);
    return this.reporter.report(now);
  }

  private drawServiceMillis(): number {
    const { serviceMillis, sigma, coldMillis, coldFactor } = this.traits;
    const age = this.queue.now - this.startedAt;
    const isCold = this.run > 1 && age < coldMillis;
    const cold = isCold ? 1 + (coldFactor - 1) * (1 - age / coldMillis) : 1;
    return this.random.logNormal(serviceMillis, sigma) * cold * this.slowness;
  }
}
