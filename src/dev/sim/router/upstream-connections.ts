/** A router's connections to upstreams: one request at a time on each, reused after a complete answer. */
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

  /** Sends an attempt on an idle connection, or on a new one. */
  start(attempt: SimAttempt, address: Address): void {
    const host = address.slice(0, address.lastIndexOf(':'));
    const upstream = this.world.upstreams.find((candidate) => candidate.host === host);
    if (upstream === undefined) {
      this.router.schedule(0, () => attempt.onConnectFailed(), true);
      return;
    }
    const free = this.idle.get(host)?.pop();
    if (free !== undefined) {
      free.send(attempt);
      return;
    }
    this.dial(attempt, upstream);
  }

  /** Checks whether a process accepts connections at an address. */
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
    const elapsedMillis = 2 * network.latency(router, upstream);
    router.schedule(elapsedMillis, () => done(upstream.state === 'stopped' ? 'gone' : 'there'));
  }

  /** Returns an idle connection to the pool. */
  release(connection: UpstreamConnection, host: string): void {
    const free = this.idle.get(host) ?? [];
    free.push(connection);
    this.idle.set(host, free);
  }

  /** Removes a closed connection from the pool. */
  remove(connection: UpstreamConnection, host: string): void {
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
      router.schedule(CONNECT_TIMEOUT_MILLIS, () => attempt.onConnectFailed());
      return;
    }
    const elapsedMillis = 2 * network.latency(router, upstream) + upstream.service.template.connectMillis;
    router.schedule(elapsedMillis, () => {
      if (attempt.isOver) {
        return;
      }
      if (upstream.state === 'stopped') {
        attempt.onConnectFailed();
        return;
      }
      new UpstreamConnection(this, upstream).send(attempt);
    });
  }
}

/** A connection to one upstream. */
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
    attempt.onSent(this);
    const { upstream, connection } = this;
    const { frame } = attempt;
    const { requestId } = frame;
    const respond = (part: AnswerFrame): void => connection.sendToClient(() => this.receive(part));
    this.servedFrame = frame;
    connection.sendToServer(() =>
      upstream.handleAttempt(frame, {
        send: respond,
        refuse: (refusal, reported) =>
          respond({ type: 'refusal', requestId, refusal, ...(reported && { reported }) }),
        close: () => connection.close(upstream),
      }),
    );
  }

  /** Cancels the attempt and closes the connection, which can't be reused because an answer is still outstanding. */
  cancel(): void {
    this.attempt = null;
    if (this.pool.world.sabotage === 'connection-reused-after-cancel') {
      this.pool.release(this, this.upstream.host);
      return;
    }
    this.close();
  }

  private servedFrame: SimAttempt['frame'] | null = null;

  private abortServer(): void {
    if (this.servedFrame !== null) {
      this.upstream.abort(this.servedFrame);
    }
  }

  private receive(part: AnswerFrame): void {
    const { attempt } = this;
    if (this.closed) {
      return;
    }
    if (attempt === null) {
      this.onUnexpectedPart();
      return;
    }
    if (!attempt.receive(part)) {
      this.close();
      this.attempt = null;
      attempt.onBroken();
      return;
    }
    if (attempt.isOver) {
      this.attempt = null;
      this.pool.release(this, this.upstream.host);
    }
  }

  /** Closes the connection on an unexpected answer, since it is out of sync. */
  private onUnexpectedPart(): void {
    if (this.pool.world.sabotage !== 'connection-reused-after-cancel') {
      this.close();
    }
  }

  private close(): void {
    this.closed = true;
    this.pool.remove(this, this.upstream.host);
    this.connection.close(this.pool.router);
  }

  private broken(): void {
    this.closed = true;
    this.pool.remove(this, this.upstream.host);
    const { attempt } = this;
    this.attempt = null;
    attempt?.onBroken();
  }
}
