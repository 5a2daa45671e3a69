/** A router's connections to upstreams, one pool for each path: one request at a time on each connection, reused after a complete answer. */
import type { Address, RouterId, UpstreamId } from '../../../model/identifiers.js';
import type { RelayPeer } from '../../../model/relay.js';
import { SentIds } from '../../../router/attempts/sent-ids.js';
import { PATH_OUTCOMES, type PathOutcome } from '../../../routing/paths/path-outcome.js';
import type { RelayFailure } from '../../../routing/paths/path-watch.js';
import type { RunCheck } from '../../../routing/types.js';
import { Connection } from '../connection.js';
import type { AnswerFrame } from '../upstream/attempt-frame.js';
import type { SimUpstream } from '../upstream/sim-upstream.js';
import type { World } from '../world.js';
import { RelayedLink, type UpstreamLink } from './relayed-link.js';
import type { SimAttempt } from './sim-attempt.js';
import type { SimRouter } from './sim-router.js';

const CONNECT_TIMEOUT_MILLIS = 300;
const DIRECT_TRY_MILLIS = 120;
const RELAYED_TRY_MILLIS = 400;
/** Time that a relay gives its own connection to an upstream. */
const RELAY_CONNECT_MILLIS = 150;
/** Round trips to a relay before it connects: connection, handshake, request. */
const RELAY_ROUND_TRIPS = 3;

/** An upstream, and the path over which it is reached. */
export interface PathToUpstream {
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly via: RelayPeer | null;
}

/** The result of opening a connection. */
type Opening = 'open' | 'refused' | 'silent' | RelayFailure;

const OUTCOME_OF_OPENING: Readonly<Record<Opening, PathOutcome>> = {
  open: PATH_OUTCOMES.reached,
  refused: PATH_OUTCOMES.refused,
  silent: PATH_OUTCOMES.silent,
  lost: PATH_OUTCOMES.noRelay,
  busy: PATH_OUTCOMES.noRelay,
  closing: PATH_OUTCOMES.noRelay,
  'no-path': PATH_OUTCOMES.noRelay,
};

export class UpstreamConnections {
  private readonly idle = new Map<string, UpstreamConnection[]>();
  private readonly open = new Set<UpstreamConnection>();

  constructor(
    readonly world: World,
    readonly router: SimRouter,
  ) {}

  /** Sends an attempt on an idle connection, or on a new one. */
  start(attempt: SimAttempt, path: PathToUpstream): void {
    const upstream = this.upstreamAt(path.address);
    if (upstream === undefined) {
      this.router.schedule(0, () => attempt.onConnectFailed({}), true);
      return;
    }
    const free = this.idle.get(poolOf(upstream.host, path.via?.router ?? null))?.pop();
    if (free?.mayCarry(attempt) === true) {
      free.send(attempt);
      return;
    }
    free?.closeIdle();
    const relay = this.relayOf(path.via);
    this.connect(upstream, path, CONNECT_TIMEOUT_MILLIS, (opening) => {
      if (attempt.isOver) {
        return;
      }
      if (opening === 'open') {
        new UpstreamConnection(this, upstream, relay).send(attempt);
      } else {
        attempt.onConnectFailed(this.failureOf(opening));
      }
    });
  }

  /** Opens a connection over a path, only to learn whether that is possible. */
  tryPath(path: PathToUpstream, done: (outcome: PathOutcome) => void): void {
    const upstream = this.upstreamAt(path.address);
    if (upstream === undefined) {
      this.router.schedule(0, () => done(PATH_OUTCOMES.silent));
      return;
    }
    const limitMillis = path.via === null ? DIRECT_TRY_MILLIS : RELAYED_TRY_MILLIS;
    this.connect(upstream, path, limitMillis, (opening) => done(OUTCOME_OF_OPENING[opening]));
  }

  /** Checks whether a process accepts connections at an address. */
  check(address: Address, done: (check: RunCheck) => void): void {
    const upstream = this.upstreamAt(address);
    if (upstream === undefined) {
      this.router.schedule(CONNECT_TIMEOUT_MILLIS, () => done('silent'));
      return;
    }
    const { network } = this.world;
    const { router } = this;
    const isSilent = isOutOfReach(this.world, router, upstream);
    const elapsedMillis = isSilent ? CONNECT_TIMEOUT_MILLIS : 2 * network.latency(router, upstream);
    router.schedule(elapsedMillis, () => {
      if (isSilent) {
        done('silent');
      } else {
        done(upstream.state === 'stopped' || network.isRefused(router, upstream) ? 'gone' : 'there');
      }
    });
  }

  /** Closes the idle connections of a path. */
  closePath(address: Address, via: RouterId | null): void {
    const host = hostOf(address);
    const pool = poolOf(host, via);
    for (const connection of this.idle.get(pool) ?? []) {
      connection.closeIdle();
    }
    this.idle.delete(pool);
  }

  /** Whether another router carries an attempt whose answer is on the way. */
  isAnswerOnWayOver(relay: RouterId): boolean {
    return [...this.open].some((connection) => connection.isAnswerOnWayOver(relay));
  }

  /** Resets all direct connections, as a device on the way does. */
  resetDirect(): void {
    for (const connection of [...this.open]) {
      connection.resetIfDirect();
    }
  }

  onOpened(connection: UpstreamConnection): void {
    this.open.add(connection);
  }

  /** Returns an idle connection to the pool. */
  release(connection: UpstreamConnection, pool: string): void {
    const free = this.idle.get(pool) ?? [];
    free.push(connection);
    this.idle.set(pool, free);
  }

  /** Removes a closed connection from the pool. */
  remove(connection: UpstreamConnection, pool: string): void {
    this.open.delete(connection);
    const free = this.idle.get(pool) ?? [];
    this.idle.set(
      pool,
      free.filter((other) => other !== connection),
    );
  }

  private upstreamAt(address: Address): SimUpstream | undefined {
    const host = hostOf(address);
    return this.world.upstreams.find((candidate) => candidate.host === host);
  }

  private relayOf(via: RelayPeer | null): SimRouter | null {
    return this.world.routers.find(({ name }) => name === via?.router) ?? null;
  }

  private connect(
    upstream: SimUpstream,
    { via, upstream: id }: PathToUpstream,
    limitMillis: number,
    done: (opening: Opening) => void,
  ): void {
    if (via === null) {
      this.connectFrom(this.router, upstream, limitMillis, done);
      return;
    }
    const relay = this.relayOf(via);
    const { network } = this.world;
    const isCut =
      relay === null || network.isBlocked(this.router, relay) || network.isBlocked(relay, this.router);
    if (isCut || relay.state === 'paused') {
      this.router.schedule(limitMillis, () => done('lost'));
      return;
    }
    const elapsedMillis = 2 * RELAY_ROUND_TRIPS * network.latency(this.router, relay);
    this.router.schedule(elapsedMillis, () => {
      const target = relay.relayTargetOf(id);
      if (target === null) {
        done('lost');
      } else if (target.type !== 'address') {
        done('no-path');
      } else {
        this.connectFrom(relay, upstream, RELAY_CONNECT_MILLIS, done);
      }
    });
  }

  private connectFrom(
    from: SimRouter,
    upstream: SimUpstream,
    limitMillis: number,
    done: (opening: Opening) => void,
  ): void {
    const { world, router } = this;
    const { network } = world;
    if (network.isRefused(from, upstream)) {
      router.schedule(2 * network.latency(from, upstream), () => done('refused'));
      return;
    }
    if (isOutOfReach(world, from, upstream)) {
      router.schedule(limitMillis, () => done('silent'));
      return;
    }
    const elapsedMillis = 2 * network.latency(from, upstream) + upstream.service.template.connectMillis;
    router.schedule(elapsedMillis, () => done(upstream.state === 'stopped' ? 'refused' : 'open'));
  }

  /** Where routers can't ask one another, a refused connection counts like any other that failed, as seeds of earlier runs have it. */
  private failureOf(opening: Exclude<Opening, 'open'>): {
    readonly refused?: boolean;
    readonly relayFailure?: RelayFailure;
  } {
    if (opening === 'refused') {
      return this.world.hasRelays ? { refused: true } : {};
    }
    return opening === 'silent' ? {} : { relayFailure: opening };
  }
}

/** A connection to one upstream, direct or carried by another router. */
export class UpstreamConnection {
  private readonly link: UpstreamLink;
  private readonly pool: string;
  private attempt: SimAttempt | null = null;
  /** Whose answer the upstream has sent. */
  private answeredAttempt: SimAttempt | null = null;
  private closed = false;
  private readonly sentIds = new SentIds();

  constructor(
    private readonly connections: UpstreamConnections,
    private readonly upstream: SimUpstream,
    private readonly relay: SimRouter | null,
  ) {
    this.pool = poolOf(upstream.host, relay?.name ?? null);
    const { network } = connections.world;
    const own = { process: connections.router, onBroken: () => this.broken() };
    const server = { process: upstream, onBroken: () => this.abortServer() };
    this.link =
      relay === null
        ? new Connection(network, own, server)
        : new RelayedLink(network, own, relay, server, () => this.relayLost());
    connections.onOpened(this);
  }

  /** Whether the id of an attempt tells its answer from all others on this connection. */
  mayCarry({ frame }: SimAttempt): boolean {
    const { hasSharedIds, sabotage } = this.connections.world;
    return !hasSharedIds || sabotage === 'id-twice-on-connection' || this.sentIds.mayCarry(frame.requestId);
  }

  send(attempt: SimAttempt): void {
    this.attempt = attempt;
    this.sentIds.add(attempt.frame.requestId);
    attempt.onSent(this);
    const { upstream, link } = this;
    const { frame } = attempt;
    const { requestId } = frame;
    const respond = (part: AnswerFrame): void => {
      this.answeredAttempt = attempt;
      link.sendToClient(() => this.receive(part));
    };
    this.servedFrame = frame;
    link.sendToServer(() =>
      upstream.handleAttempt(frame, {
        send: respond,
        refuse: (refusal, reported) => {
          const part = { type: 'refusal', requestId, refusal, ...(reported && { reported }) } as const;
          respond(part);
          upstream.sendAgain(() => link.sendToClient(() => this.receive(part)));
        },
        close: () => link.close(upstream),
      }),
    );
  }

  /** Cancels the attempt and closes the connection, which can't be reused because an answer is still outstanding. */
  cancel(): void {
    this.attempt = null;
    if (this.connections.world.sabotage === 'connection-reused-after-cancel') {
      this.connections.release(this, this.pool);
      return;
    }
    this.close();
  }

  closeIdle(): void {
    this.close();
  }

  isAnswerOnWayOver(relay: RouterId): boolean {
    return this.relay?.name === relay && this.attempt !== null && this.attempt === this.answeredAttempt;
  }

  resetIfDirect(): void {
    if (this.relay === null) {
      this.link.close(this.connections.router);
      this.broken();
    }
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
      this.connections.release(this, this.pool);
    }
  }

  /** Closes the connection on an unexpected answer, since it is out of sync. */
  private onUnexpectedPart(): void {
    if (this.connections.world.sabotage !== 'connection-reused-after-cancel') {
      this.close();
    }
  }

  private close(): void {
    this.closed = true;
    this.connections.remove(this, this.pool);
    this.link.close(this.connections.router);
  }

  private broken(): void {
    this.takeAttempt()?.onBroken();
  }

  private relayLost(): void {
    this.takeAttempt()?.onRelayLost();
  }

  /** Ends the connection; returns the attempt that it carried. */
  private takeAttempt(): SimAttempt | null {
    this.closed = true;
    this.connections.remove(this, this.pool);
    const { attempt } = this;
    this.attempt = null;
    return attempt;
  }
}

function hostOf(address: Address): string {
  return address.slice(0, address.lastIndexOf(':'));
}

function poolOf(host: string, via: RouterId | null): string {
  return via === null ? host : `${host} ${via}`;
}

/** Whether nothing comes back from an upstream: its path is cut, or its machine is lost. */
function isOutOfReach({ network }: World, from: SimRouter, upstream: SimUpstream): boolean {
  const isBlocked = network.isBlocked(from, upstream) || network.isBlocked(upstream, from);
  return isBlocked || (upstream.state === 'stopped' && upstream.isSilent);
}
