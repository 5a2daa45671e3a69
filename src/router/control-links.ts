/** Task that owns the connections to control members. A message that can't go out now is dropped; the core asks again. */
import type { ControlToRouter, RouterToControl } from '../control/messages.js';
import type { Logger } from '../logging/logger.js';
import type { Address } from '../model/identifiers.js';
import {
  controlToRouterCodecs,
  FrameClient,
  routerToControlCodecs,
  type WireIdentity,
  type WireLimits,
} from '../wire/index.js';

export interface ControlLinksOptions {
  readonly identity: WireIdentity;
  readonly localAddress?: string | undefined;
  readonly limits: WireLimits;
  readonly log: Logger;
  readonly received: (from: Address, message: ControlToRouter) => void;
  readonly lost: (from: Address) => void;
}

/** Members that the settings don't name, but which a member named as leader. */
const MAX_LEARNED_LINKS = 16;

export class ControlLinks {
  private readonly links = new Map<Address, FrameClient>();
  private readonly learned: Address[] = [];

  constructor(private readonly options: ControlLinksOptions) {}

  /** Connects to the members that the settings name. */
  start(members: readonly Address[]): void {
    for (const address of members) {
      this.connect(address);
    }
  }

  send(to: Address, message: RouterToControl): void {
    const link = this.links.get(to) ?? this.learn(to);
    const { kind, payload } = routerToControlCodecs.encode(message);
    if (link.send(kind, payload) === 'queue-full') {
      this.options.log.warn('control-queue-full', { to, message: message.type });
    }
  }

  stop(): void {
    for (const link of this.links.values()) {
      link.stop();
    }
  }

  private learn(address: Address): FrameClient {
    this.learned.push(address);
    if (this.learned.length > MAX_LEARNED_LINKS) {
      const oldest = this.learned.shift() as Address;
      this.links.get(oldest)?.stop();
      this.links.delete(oldest);
    }
    return this.connect(address);
  }

  private connect(address: Address): FrameClient {
    const { identity, localAddress, limits, log, received, lost } = this.options;
    const link = new FrameClient({
      address,
      localAddress,
      identity,
      limits,
      onReady: (peer) => log.info('control-connected', { address, replica: peer.name }),
      onFrame: (frame) => received(address, controlToRouterCodecs.decode(frame.kind, frame.payload)),
      onLost: (reason) => {
        log.debug('control-lost', { address, reason });
        lost(address);
      },
    });
    this.links.set(address, link);
    return link;
  }
}
