/** Task of a replica that is not a member, or no longer one: sends join requests to the members until it is added. */
import type { RaftStatus } from '../../consensus/types.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, ReplicaId } from '../../model/identifiers.js';
import { FrameClient, joinRequestCodec, type WireIdentity, type WireLimits } from '../../wire/index.js';
import { JoinWatch } from '../join-watch.js';

const JOIN_REQUEST_INTERVAL_MILLIS = 1000;

export interface JoinTaskOptions {
  readonly self: ReplicaId;
  /** Address at which the others reach this replica. */
  readonly address: Address;
  readonly peers: readonly Address[];
  readonly localAddress?: string | undefined;
  readonly identity: WireIdentity;
  readonly limits: WireLimits;
  readonly log: Logger;
  readonly status: () => RaftStatus;
}

export class JoinTask {
  private clients: FrameClient[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly watch = new JoinWatch();
  private peers: readonly Address[];

  constructor(private readonly options: JoinTaskOptions) {
    this.peers = options.peers;
  }

  /** Replaces the members that join requests are sent to. */
  setPeers(peers: readonly Address[]): void {
    if (peers.join() !== this.peers.join()) {
      this.peers = peers;
      this.disconnect();
    }
  }

  start(): void {
    this.timer = setInterval(() => this.check(), JOIN_REQUEST_INTERVAL_MILLIS);
    this.check();
  }

  stop(): void {
    clearInterval(this.timer);
    this.disconnect();
  }

  private check(): void {
    const status = this.options.status();
    this.watch.look(status);
    if (this.watch.shouldRequestJoin) {
      this.ask(status);
    } else {
      this.disconnect();
    }
  }

  private ask(status: RaftStatus): void {
    if (this.clients.length === 0) {
      this.clients = this.watch.addresses(this.peers, status).map((peer) => this.connect(peer));
    }
    for (const client of this.clients) {
      this.sendTo(client);
    }
  }

  private connect(peer: Address): FrameClient {
    const { identity, limits, localAddress, log } = this.options;
    const client: FrameClient = new FrameClient({
      address: peer,
      localAddress,
      identity,
      limits,
      onReady: () => this.sendTo(client),
      onLost: (reason) => log.debug('join-peer-lost', { peer, reason }),
    });
    return client;
  }

  private sendTo(client: FrameClient): void {
    const { self: replica, address } = this.options;
    client.send(joinRequestCodec.kind, joinRequestCodec.encode({ type: 'join-request', replica, address }));
  }

  private disconnect(): void {
    for (const client of this.clients) {
      client.stop();
    }
    this.clients = [];
  }
}
