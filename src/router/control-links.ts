/** Task that owns the connections to control members. A message that can't go out now is dropped; the core asks again. */
import type { ControlToRouter, RouterToControl } from '../control/messages.js';
import type { Logger } from '../logging/logger.js';
import type { Address, Zone } from '../model/identifiers.js';
import {
  type BackoffTimings,
  controlToRouterCodecs,
  type Frame,
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
  /** Messages to a member, which is in `zone`, reach it from now on. */
  readonly connected?: (to: Address, zone: Zone) => void;
  /** Reads a frame; replaced where many routers of one process are sent the same. */
  readonly decode?: (frame: Frame) => ControlToRouter;
}

/** Nothing is served without control, so a member that starts again is found soon. */
const CONTROL_BACKOFF: BackoffTimings = { firstMillis: 20, maxMillis: 200 };

/** How long a connection is kept after the last message to its member, and how often that is looked at. */
const KEEP_MILLIS = 5000;
const RECONCILE_MILLIS = 1000;

/**
 * With many members most connections would only carry heartbeats, so a router keeps those to members that it sends to
 * and, for each, to the next one in the settings, which the core turns to if the first fails. Those that were never met are
 * dialled all the same: one of them may be the one in the own zone.
 */
export class ControlLinks {
  private readonly links = new Map<Address, FrameClient>();
  /** When a message last went to each member. */
  private readonly usedAt = new Map<Address, number>();
  /** Members that there was a connection to. */
  private readonly met = new Set<Address>();
  private settingsMembers: readonly Address[] = [];
  /** As a member named them last. */
  private namedMembers: readonly Address[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ControlLinksOptions) {}

  /** Connects to the members that the settings name, and later lets go of those that aren't needed. */
  start(members: readonly Address[]): void {
    this.settingsMembers = members;
    for (const address of members) {
      this.link(address);
    }
    this.timer = setInterval(() => this.reconcile(), RECONCILE_MILLIS);
  }

  /** A member named the others, which the settings may not. */
  learn(members: readonly Address[]): void {
    this.namedMembers = members;
  }

  /** The settings name other members now. */
  useSettings(members: readonly Address[]): void {
    this.settingsMembers = members;
  }

  /** Sends to a member, also to one that the settings don't name but that another member named as leader. */
  send(to: Address, message: RouterToControl): void {
    this.usedAt.set(to, performance.now());
    const { kind, payload } = routerToControlCodecs.encode(message);
    if (this.link(to).send(kind, payload) === 'queue-full') {
      this.options.log.warn('control-queue-full', { to, message: message.type });
    }
  }

  /** Members that there is a connection to, or tries to make one. */
  get linked(): readonly Address[] {
    return [...this.links.keys()];
  }

  stop(): void {
    clearInterval(this.timer);
    for (const link of this.links.values()) {
      link.stop();
    }
  }

  private reconcile(): void {
    const since = performance.now() - KEEP_MILLIS;
    for (const [address, usedAt] of this.usedAt) {
      if (usedAt < since) {
        this.usedAt.delete(address);
      }
    }
    const wanted = new Set([
      ...[...this.usedAt.keys()].flatMap((address) => [address, this.successorOf(address)]),
      ...[...this.settingsMembers, ...this.namedMembers].filter((address) => !this.met.has(address)),
    ]);
    for (const [address, link] of this.links) {
      if (!wanted.has(address)) {
        link.stop();
        this.links.delete(address);
      }
    }
    for (const address of wanted) {
      this.link(address);
    }
  }

  private successorOf(address: Address): Address {
    const members = this.settingsMembers;
    const position = members.indexOf(address);
    return members[(position + 1) % members.length] ?? address;
  }

  private link(address: Address): FrameClient {
    return this.links.get(address) ?? this.connect(address);
  }

  private connect(address: Address): FrameClient {
    const {
      identity,
      localAddress,
      limits,
      log,
      received,
      lost,
      connected,
      decode = decodeFrame,
    } = this.options;
    const link = new FrameClient({
      address,
      localAddress,
      identity,
      limits,
      backoff: CONTROL_BACKOFF,
      onReady: (peer) => {
        log.info('control-connected', { address, replica: peer.name });
        this.met.add(address);
        connected?.(address, peer.zone);
      },
      onFrame: (frame) => received(address, decode(frame)),
      onLost: (reason) => {
        log.debug('control-lost', { address, reason });
        lost(address);
      },
    });
    this.links.set(address, link);
    return link;
  }
}

function decodeFrame({ kind, payload }: Frame): ControlToRouter {
  return controlToRouterCodecs.decode(kind, payload);
}
