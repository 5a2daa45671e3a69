/** Task that owns the internal port, which receives messages of other replicas and of routers. */
import type { RaftMessage } from '../../consensus/types.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, ReplicaId } from '../../model/identifiers.js';
import {
  controlToRouterCodecs,
  type Frame,
  type FrameConnection,
  FrameServer,
  routerToControlCodecs,
  type WireIdentity,
  type WireLimits,
} from '../../wire/index.js';
import type { ControlToRouter, Greeting, JoinRequest, RouterToControl } from '../messages.js';
import type { ConnectionId } from '../types.js';
import type { Reply } from './leader-forward.js';
import { readJoinRequest, readPeerMessage } from './peer-message.js';

export interface InternalServerOwner {
  onPeerMessage(message: RaftMessage, connection: FrameConnection): void;
  /** Returns whether the frame of a control member was a forwarded request or a response to one. */
  onForwarded(frame: Frame, reply: Reply): boolean;
  onJoinRequest(request: JoinRequest): void;
  onPeerDisconnected(replica: ReplicaId, connection: FrameConnection): void;
  onRouterMessage(connection: ConnectionId, message: RouterToControl): void;
  onRouterDisconnected(connection: ConnectionId): void;
}

export interface InternalServerOptions {
  readonly listen: Address;
  readonly self: ReplicaId;
  readonly identity: WireIdentity;
  readonly limits: WireLimits;
  readonly log: Logger;
  readonly owner: InternalServerOwner;
}

export class InternalServer {
  private server: FrameServer | undefined;
  private readonly routers = new Map<ConnectionId, FrameConnection>();
  private readonly routerIds = new Map<FrameConnection, ConnectionId>();
  private connectionCount = 0;

  constructor(private readonly options: InternalServerOptions) {}

  async start(): Promise<void> {
    const { listen, identity, limits } = this.options;
    this.server = await FrameServer.listen({
      listen,
      identity,
      limits,
      owner: {
        ready: (connection, peer) => this.onReady(connection, peer),
        received: (connection, frame) => this.onFrame(connection, frame),
        closed: (connection, reason) => this.onClosed(connection, reason),
      },
    });
  }

  /** The listening address, with the actual port. */
  get address(): Address {
    return this.server?.address ?? this.options.listen;
  }

  /** Sends to a router. If its queue is full, the connection is closed, and the router reconnects and resynchronizes. */
  sendToRouter(id: ConnectionId, message: ControlToRouter): void {
    const connection = this.routers.get(id);
    if (connection === undefined) {
      return;
    }
    const { kind, payload } = controlToRouterCodecs.encode(message);
    if (connection.send(kind, payload) === 'queue-full') {
      this.options.log.warn('router-queue-full', { router: connection.peer?.name });
      connection.destroy(null);
    }
  }

  async stop(): Promise<void> {
    await this.server?.stop();
  }

  private onReady(connection: FrameConnection, peer: Greeting): void {
    if (peer.kind === 'control') {
      return;
    }
    this.connectionCount += 1;
    const id = `router-${this.connectionCount}`;
    this.routers.set(id, connection);
    this.routerIds.set(connection, id);
    this.options.log.info('router-connected', { router: peer.name, connection: id });
  }

  private onFrame(connection: FrameConnection, frame: Frame): void {
    const id = this.routerIds.get(connection);
    if (id !== undefined) {
      this.options.owner.onRouterMessage(id, routerToControlCodecs.decode(frame.kind, frame.payload));
      return;
    }
    const joinRequest = readJoinRequest(frame, connection.peer?.name);
    if (joinRequest !== null) {
      this.options.owner.onJoinRequest(joinRequest);
      return;
    }
    if (this.options.owner.onForwarded(frame, (kind, payload) => connection.send(kind, payload))) {
      return;
    }
    const message = readPeerMessage(frame, connection.peer?.name, this.options.self);
    if (message !== null) {
      this.options.owner.onPeerMessage(message, connection);
    }
  }

  private onClosed(connection: FrameConnection, reason: Error | null): void {
    const { peer } = connection;
    if (reason !== null) {
      this.options.log.warn('connection-closed', { peer: peer?.name, kind: peer?.kind, reason });
    }
    const id = this.routerIds.get(connection);
    if (id !== undefined) {
      this.routerIds.delete(connection);
      this.routers.delete(id);
      this.options.owner.onRouterDisconnected(id);
    } else if (peer !== null) {
      this.options.owner.onPeerDisconnected(peer.name, connection);
    }
  }
}
