/** Task that owns the outgoing connections to the other replicas. Messages are sent once; Raft retries them. */
import type { RaftMessage } from '../../consensus/types.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, ReplicaId } from '../../model/identifiers.js';
import {
  type BackoffTimings,
  type Frame,
  FrameClient,
  type FrameConnection,
  raftCodecs,
  type WireIdentity,
  type WireLimits,
} from '../../wire/index.js';
import { splitAppend } from './append-split.js';
import type { Reply } from './leader-forward.js';
import { readPeerMessage } from './peer-message.js';

/** Short, so that members that start at the same time connect soon. */
const PEER_BACKOFF: BackoffTimings = { firstMillis: 20, maxMillis: 500 };

interface PeerLink {
  readonly address: Address;
  readonly client: FrameClient;
}

export interface PeerLinksOptions {
  readonly self: ReplicaId;
  readonly identity: WireIdentity;
  readonly localAddress?: string | undefined;
  readonly limits: WireLimits;
  readonly log: Logger;
  /** Called for a message received on a connection that this replica opened. */
  readonly received: (message: RaftMessage) => void;
  /** Called with each frame first; returns whether it was handled. */
  readonly forwarded: (frame: Frame, reply: Reply) => boolean;
  /** Current addresses of the members in the Raft log. */
  readonly addresses: () => Readonly<Record<ReplicaId, Address>>;
}

export class PeerLinks {
  private readonly links = new Map<ReplicaId, PeerLink>();
  /**
   * Connections opened by other replicas, each the one on which the replica's last Raft message came: used to reach a replica whose address
   * isn't known yet. A replica opens others too, such as those for join requests, on which it reads no answers.
   */
  private readonly incoming = new Map<ReplicaId, FrameConnection>();

  constructor(private readonly options: PeerLinksOptions) {}

  /** Sends a message, or drops it if there is no connection to the replica. */
  send(message: RaftMessage): void {
    const target = this.targetOf(message.to);
    if (target === undefined) {
      return;
    }
    const { maxFrameBytes } = this.options.limits;
    const parts = message.type === 'append-request' ? splitAppend(message, maxFrameBytes) : [message];
    for (const part of parts) {
      const { kind, payload } = raftCodecs.encode(part);
      const result = target.send(kind, payload);
      if (result === 'queue-full') {
        this.options.log.warn('peer-queue-full', { peer: message.to, message: message.type });
      }
    }
  }

  /** Sends a frame that isn't a Raft message; returns `false` if there is no connection to the replica. */
  sendFrame(replica: ReplicaId, kind: number, payload: Uint8Array): boolean {
    return this.targetOf(replica)?.send(kind, payload) === 'queued';
  }

  /** Records that a Raft message came on a connection that the replica opened. */
  heardOn(replica: ReplicaId, connection: FrameConnection): void {
    this.incoming.set(replica, connection);
  }

  disconnected(replica: ReplicaId, connection: FrameConnection): void {
    if (this.incoming.get(replica) === connection) {
      this.incoming.delete(replica);
    }
  }

  /** Drops links to replicas that were removed or moved, and connects to all others in advance, so that an election isn't delayed by connecting. */
  reconcile(): void {
    const addresses = this.options.addresses();
    for (const [replica, link] of this.links) {
      if (addresses[replica] !== link.address) {
        link.client.stop();
        this.links.delete(replica);
      }
    }
    for (const replica of Object.keys(addresses)) {
      if (replica !== this.options.self && !this.links.has(replica)) {
        this.connect(replica);
      }
    }
  }

  stop(): void {
    for (const { client } of this.links.values()) {
      client.stop();
    }
    this.links.clear();
  }

  private targetOf(replica: ReplicaId): FrameClient | FrameConnection | undefined {
    const link = this.links.get(replica) ?? this.connect(replica);
    return link?.client.ready ? link.client : this.incoming.get(replica);
  }

  private connect(replica: ReplicaId): PeerLink | undefined {
    const address = this.options.addresses()[replica];
    if (address === undefined) {
      return undefined;
    }
    const { self, identity, localAddress, limits, log, received, forwarded } = this.options;
    let peerName: ReplicaId | undefined;
    const client = new FrameClient({
      address,
      localAddress,
      identity,
      limits,
      backoff: PEER_BACKOFF,
      onReady: (peer) => {
        peerName = peer.name;
        log.info('peer-connected', { peer: peer.name, address });
      },
      onFrame: (frame) => {
        if (forwarded(frame, (kind, payload) => client.send(kind, payload))) {
          return;
        }
        const message = readPeerMessage(frame, peerName, self);
        if (message !== null) {
          received(message);
        }
      },
      onLost: (reason) => log.debug('peer-lost', { peer: replica, address, reason }),
    });
    const link = { address, client };
    this.links.set(replica, link);
    return link;
  }
}
