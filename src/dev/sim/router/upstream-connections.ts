/** A router's connections to upstreams: one request at a time on each, kept for the next when the answer came whole. */
import type { Address } from '../../../model/identifiers.js';
import type { RunCheck } from '../../../routing/types.js';
import { Connection } from '../connection.js';
import type { AnswerFrame } from '../upstream/attempt-frame.js';
import type { SimUpstream } from '../upstream/sim-upstream.js';
import type { World } from '../world.js';
import type { SimAttempt } from './sim-attempt.js';
import type { SimRouter } from './sim-router.js';

const CONNECT_TIMEOUT_MILLIS = 300;

export class UpstreamConnections {
  private readonly idle = new Map<string, UpstreamConnection[]>();

  constructor(
    readonly world: World,
    readonly router: SimRouter,
  ) {}

  /** Sends an attempt on a connection that is free, or on a new one. */
  start(attempt: SimAttempt, address: Address): void {
    const host = address.slice(0, address.lastIndexOf(':'));
    const upstream = this.world.upstreams.find((candidate) => candidate.host === host);
    if (upstream === undefined) {
      this.router.schedule(0, () => attempt.failToConnect(), true);
      return;
    }
    const free = this.idle.get(host)?.pop();
    if (free !== undefined) {
      free.send(attempt);
      return;
    }
    this.dial(attempt, upstream);
  }

  /** Looks whether anything takes connections at an address. */
  check(address: Address, done: (check: RunCheck) => void): void {
    const { world, router } = this;
    const { network } = world;
    const host = address.slice(0, address.lastIndexOf(':'));
    const upstream = world.upstreams.find((candidate) => candidate.host === host);
    const isBlocked =
      upstream === undefined || network.isBlocked(router, upstream) || network.isBlocked(upstream, router);
    if (isBlocked || (upstream.state === 'stopped' && upstream.isSilent)) {
      router.schedule(CONNECT_TIMEOUT_MILLIS, () => done('silent'));
      return;
    }
    const took = 2 * network.latency(router, upstream);
    router.schedule(took, () => done(upstream.state === 'stopped' ? 'gone' : 'there'));
  }

  /** A connection has nothing to do. */
  release(connection: UpstreamConnection, host: string): void {
    const free = this.idle.get(host) ?? [];
    free.push(connection);
    this.idle.set(host, free);
  }

  /** A connection is gone. */
  forget(connection: UpstreamConnection, host: string): void {
    const free = this.idle.get(host) ?? [];
    this.idle.set(
      host,
      free.filter((other) => other !== connection),
    );
  }

  private dial(attempt: SimAttempt, upstream: SimUpstream): void {
    const { world, router } = this;
    const { network } = world;
    const isBlocked = network.isBlocked(router, upstream) || network.isBlocked(upstream, router);
    if (isBlocked || (upstream.state === 'stopped' && upstream.isSilent)) {
      router.schedule(CONNECT_TIMEOUT_MILLIS, () => attempt.failToConnect());
      return;
    }
    const took = 2 * network.latency(router, upstream) + upstream.service.template.connectMillis;
    router.schedule(took, () => {
      if (attempt.isOver) {
        return;
      }
      if (upstream.state === 'stopped') {
        attempt.failToConnect();
        return;
      }
      new UpstreamConnection(this, upstream).send(attempt);
    });
  }
}

/** One connection. */
export class UpstreamConnection {
  private readonly connection: Connection;
  private attempt: SimAttempt | null = null;
  private closed = false;

  constructor(
    private readonly pool: UpstreamConnections,
    private readonly upstream: SimUpstream,
  ) {
    this.connection = new Connection(
      pool.world.network,
      { process: pool.router, onBroken: () => this.broken() },
      { process: upstream, onBroken: () => this.abortServer() },
    );
  }

  send(attempt: SimAttempt): void {
    this.attempt = attempt;
    attempt.sentOn(this);
    const { upstream, connection } = this;
    const { frame } = attempt;
    const { requestId } = frame;
    const respond = (part: AnswerFrame): void => connection.sendToClient(() => this.receive(part));
    this.served = frame;
    connection.sendToServer(() =>
      upstream.takeAttempt(frame, {
        send: respond,
        refuse: (refusal, said) => respond({ type: 'refusal', requestId, refusal, ...(said && { said }) }),
        close: () => connection.close(upstream),
      }),
    );
  }

  /** Its attempt is given up: an answer is still owed, so it can't be used again. */
  cancel(): void {
    this.attempt = null;
    if (this.pool.world.sabotage === 'connection-reused-after-cancel') {
      this.pool.release(this, this.upstream.host);
      return;
    }
    this.close();
  }

  private served: SimAttempt['frame'] | null = null;

  private abortServer(): void {
    if (this.served !== null) {
      this.upstream.abort(this.served);
    }
  }

  private receive(part: AnswerFrame): void {
    const { attempt } = this;
    if (this.closed) {
      return;
    }
    if (attempt === null) {
      this.takeUnasked();
      return;
    }
    if (!attempt.take(part)) {
      this.close();
      this.attempt = null;
      attempt.broke();
      return;
    }
    if (attempt.isOver) {
      this.attempt = null;
      this.pool.release(this, this.upstream.host);
    }
  }

  /** An answer that nobody waits for: the connection is out of step. */
  private takeUnasked(): void {
    if (this.pool.world.sabotage !== 'connection-reused-after-cancel') {
      this.close();
    }
  }

  private close(): void {
    this.closed = true;
    this.pool.forget(this, this.upstream.host);
    this.connection.close(this.pool.router);
  }

  private broken(): void {
    this.closed = true;
    this.pool.forget(this, this.upstream.host);
    const { attempt } = this;
    this.attempt = null;
    attempt?.broke();
  }
}
