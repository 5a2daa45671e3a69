/** Owns the connections to control members. A message that can't be sent now is dropped; the core sends its requests again. */
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
  /** Called when a connection to a member is ready; `zone` is the member's. */
  readonly connected?: (to: Address, zone: Zone) => void;
  /** Decodes a frame; replaced where many routers of one process receive the same frames. */
  readonly decode?: (frame: Frame) => ControlToRouter;
}

/** Short, because a router serves nothing without control and must reconnect to a restarted member soon. */
const CONTROL_BACKOFF: BackoffTimings = { firstMillis: 20, maxMillis: 200 };

/** How long a connection is kept after the last message sent to its member. */
const UNUSED_LINK_MILLIS = 5000;
const RECONCILE_INTERVAL_MILLIS = 1000;

/**
 * Connections to the control members that are in use. With many members most connections would only carry heartbeats, so a
 * router keeps those to members that it sends to and, for each, to the next one in the settings, to which the core fails over.
 * Members without a connection so far are dialled as well: one of them may be in the router's own zone.
 */
export class ControlLinks {
  private readonly links = new Map<Address, FrameClient>();
  /** Time of the last message sent to each member. */
  private readonly lastSentAt = new Map<Address, number>();
  /** Members to which there has been a connection. */
  private readonly everConnected = new Set<Address>();
  private configuredMembers: readonly Address[] = [];
  /** Members in the last report of a control member. */
  private reportedMembers: readonly Address[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ControlLinksOptions) {}

  /** Connects to the configured members; later closes connections that aren't needed. */
  start(members: readonly Address[]): void {
    this.configuredMembers = members;
    for (const address of members) {
      this.link(address);
    }
    this.timer = setInterval(() => this.reconcile(), RECONCILE_INTERVAL_MILLIS);
  }

  /** Sets the members reported by a control member; some may be missing in the settings. */
  setReportedMembers(members: readonly Address[]): void {
    this.reportedMembers = members;
  }

  /** Replaces the members of the settings. */
  setConfiguredMembers(members: readonly Address[]): void {
    this.configuredMembers = members;
  }

  /** Sends to a member, which may be a leader named by another member and missing in the settings. */
  send(to: Address, message: RouterToControl): void {
    this.lastSentAt.set(to, performance.now());
    const { kind, payload } = routerToControlCodecs.encode(message);
    if (this.link(to).send(kind, payload) === 'queue-full') {
      this.options.log.warn('control-queue-full', { to, message: message.type });
    }
  }

  /** Members with a connection or with attempts to connect. */
  get linkedMembers(): readonly Address[] {
    return [...this.links.keys()];
  }

  stop(): void {
    clearInterval(this.timer);
    for (const link of this.links.values()) {
      link.stop();
    }
  }

  private reconcile(): void {
    const since = performance.now() - UNUSED_LINK_MILLIS;
    for (const [address, lastSentAt] of this.lastSentAt) {
      if (lastSentAt < since) {
        this.lastSentAt.delete(address);
      }
    }
    const needed = new Set([
      ...[...this.lastSentAt.keys()].flatMap((address) => [address, this.successorOf(address)]),
      ...[...this.configuredMembers, ...this.reportedMembers].filter(
        (address) => !this.everConnected.has(address),
      ),
    ]);
    for (const [address, link] of this.links) {
      if (!needed.has(address)) {
        link.stop();
        this.links.delete(address);
      }
    }
    for (const address of needed) {
      this.link(address);
    }
  }

  private successorOf(address: Address): Address {
    const members = this.configuredMembers;
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
        this.everConnected.add(address);
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
