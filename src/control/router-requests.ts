/**
 * Handles the messages of routers: any member serves configuration leases and routing data, the leader
 * also serves claims and settlements in the ledger.
 */
import type { Incarnation, MonotonicMillis, Revision, RouterId, Zone } from '../model/identifiers.js';
import type { RoundPosition, RouterTimeSlots } from '../model/router-time-slots.js';
import type { CommandResult, RoutingDelta } from '../registry/types.js';
import { type DepartedRouter, DepartedRouters } from './departed-routers.js';
import type {
  ClaimRequest,
  ConfigLeaseTimings,
  ControlToRouter,
  CrashReport,
  LoadReport,
  RouterToControl,
  SettleRequest,
  SyncRequest,
  SyncResponse,
  UpstreamReport,
} from './messages.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import { SyncReads, type WaitingSync } from './sync-reads.js';
import type { ConnectionId } from './types.js';

/**
 * Minimum time between two rounds of updates; changes in between share the next round. Each round wakes every router, and
 * costs it about 1.5 ms of processor time (800 ranges, three of them changed); owners of ranges change up to 20 times a second.
 */
const MIN_UPDATE_INTERVAL_MILLIS = 50;

/** A connected router, as of its last sync request. */
export interface ConnectedRouter {
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  readonly revision: Revision;
  readonly heardAt: MonotonicMillis;
}

/** The sender of a report. */
export interface ReportingRouter {
  readonly connection: ConnectionId;
  /** `null`: it hasn't sent a sync request yet. */
  readonly router: RouterId | null;
}

export interface RouterRequestsParts {
  readonly raft: RaftAdapter;
  readonly configLease: ConfigLeaseTimings;
  /** Zone of this member; `undefined`: unknown. */
  readonly zone?: Zone | undefined;
  readonly propose: ProposeCommand;
  readonly send: (connection: ConnectionId, message: ControlToRouter) => void;
  readonly report: (report: LoadReport, from: ConnectionId, now: MonotonicMillis) => void;
  /** Handles a crash report; `router` is `null` if the sender hasn't sent a sync request yet. */
  readonly crashes: (report: CrashReport, router: RouterId | null, now: MonotonicMillis) => void;
  /** Handles a report about upstreams; returns `false` if this member isn't the leader. */
  readonly upstreams: (report: UpstreamReport, from: ReportingRouter, now: MonotonicMillis) => boolean;
}

export class RouterRequests {
  readonly #parts: RouterRequestsParts;
  readonly #routers = new Map<ConnectionId, ConnectedRouter>();
  /** The revision up to which each router was sent all changes. */
  readonly #sentRevisions = new Map<ConnectionId, Revision>();
  #hasUpdate = false;
  #earliestUpdateAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  readonly #departed = new DepartedRouters();
  readonly #syncs: SyncReads;

  constructor(parts: RouterRequestsParts) {
    this.#parts = parts;
    this.#syncs = new SyncReads({
      read: (now, mayWait, settle) => parts.raft.read(now, settle, mayWait),
      answer: (sync, confirmed) => this.#answerSync(sync, confirmed),
    });
  }

  handleMessage(connection: ConnectionId, message: RouterToControl, now: MonotonicMillis): void {
    switch (message.type) {
      case 'sync-request':
        this.#sync(connection, message, now);
        break;
      case 'claim-request':
        this.#claim(connection, message);
        break;
      case 'settle-request':
        this.#settle(connection, message);
        break;
      case 'load-report':
        this.#parts.report(message, connection, now);
        break;
      case 'crash-report':
        this.#parts.crashes(message, this.#routers.get(connection)?.router ?? null, now);
        break;
      case 'upstream-report':
        this.#handleUpstreamReport(connection, message, now);
        break;
    }
  }

  removeConnection(connection: ConnectionId): void {
    const router = this.#routers.get(connection);
    this.#routers.delete(connection);
    this.#sentRevisions.delete(connection);
    if (router !== undefined && !this.routers().some((other) => other.router === router.router)) {
      this.#departed.onDisconnect(router);
    }
    this.#syncs.removeConnection(connection);
  }

  /** Begins reads and sends updates that are due. */
  run(now: MonotonicMillis): void {
    this.#syncs.run(now);
    this.#sendUpdates(now);
  }

  nextDeadline(): MonotonicMillis {
    const updateAt = this.#hasUpdate ? this.#earliestUpdateAt : Number.POSITIVE_INFINITY;
    return Math.min(this.#syncs.nextDeadline(), updateAt);
  }

  /** Called after a change of routing data. */
  notify(now: MonotonicMillis): void {
    this.#hasUpdate = true;
    this.#sendUpdates(now);
  }

  /** Sends changes to the routers that have a lease from this member; the others sync with another member. */
  #sendUpdates(now: MonotonicMillis): void {
    if (!this.#hasUpdate || now < this.#earliestUpdateAt) {
      return;
    }
    this.#hasUpdate = false;
    this.#earliestUpdateAt = now + MIN_UPDATE_INTERVAL_MILLIS;
    const { configLeaseMillis } = this.#parts.configLease;
    for (const [connection, { heardAt }] of this.#routers) {
      if (now - heardAt < configLeaseMillis) {
        this.#sendUpdate(connection);
      }
    }
  }

  /** Sends a router its missing changes. If it has no data or too old data for a delta, it gets a notice to sync instead. */
  #sendUpdate(connection: ConnectionId): void {
    const { revision } = this.#parts.raft.registry;
    const sentRevision = this.#sentRevisions.get(connection) ?? 0;
    if (sentRevision >= revision) {
      return;
    }
    const delta = this.#deltaSince(sentRevision);
    if (delta === null) {
      this.#parts.send(connection, { type: 'change-notice', revision });
      return;
    }
    this.#sentRevisions.set(connection, delta.to);
    this.#parts.send(connection, { type: 'sync-news', delta });
  }

  /** Estimated number of all routers: those connected here times the number of members, since routers prefer the member of their zone. */
  get estimatedTotal(): number {
    return this.#routers.size * Math.max(1, this.#parts.raft.voterAddresses().length);
  }

  routers(): readonly ConnectedRouter[] {
    return [...this.#routers.values()];
  }

  /** Returns the routers that disconnected recently. */
  departed(now: MonotonicMillis): readonly DepartedRouter[] {
    return this.#departed.list(now);
  }

  #sync(connection: ConnectionId, request: SyncRequest, now: MonotonicMillis): void {
    const { router, incarnation, zone, have } = request;
    this.#routers.set(connection, { router, incarnation, zone, revision: have, heardAt: now });
    this.#departed.onReconnect(router);
    const delta = this.#deltaSince(have);
    if (delta !== null) {
      this.#parts.send(connection, { type: 'sync-news', delta });
    }
    const heldRevision = delta?.to ?? have;
    this.#sentRevisions.set(connection, heldRevision);
    const isRenewal = have > 0 && heldRevision >= this.#parts.raft.registry.revision;
    this.#syncs.add({ connection, request: { ...request, have: heldRevision } }, isRenewal, now);
  }

  /** Returns the changes after revision `have`; `null`: there are none, or the delta isn't available any more. */
  #deltaSince(have: Revision): RoutingDelta | null {
    const { registry } = this.#parts.raft;
    return have > 0 && have < registry.revision ? (registry.routingDelta(have) ?? null) : null;
  }

  #answerSync({ connection, request }: WaitingSync, confirmed: boolean): void {
    if (this.#routers.has(connection)) {
      this.#parts.send(connection, this.#syncResponse(connection, request, confirmed));
    }
  }

  /** A router with a newer revision than this member gets no data and no confirmation. */
  #syncResponse(connection: ConnectionId, request: SyncRequest, confirmed: boolean): SyncResponse {
    const { raft } = this.#parts;
    const { registry } = raft;
    const isBehind = request.have < registry.revision;
    const delta = this.#deltaSince(request.have);
    if (isBehind) {
      this.#sentRevisions.set(connection, registry.revision);
    }
    return {
      type: 'sync-response',
      stamp: request.stamp,
      confirmed: confirmed && request.have <= registry.revision,
      revision: registry.revision,
      snapshot: isBehind && delta === null ? registry.routingSnapshot() : null,
      delta,
      leader: raft.leaderAddress(),
      members: raft.voterAddresses(),
      turn: this.#timeSlotOf(connection),
    };
  }

  /**
   * Returns the time slots of a router. Routers sync with the member of their zone where they can; a member of another zone that
   * numbers some of them assumes that every member does, so that the total is never too low.
   */
  #timeSlotOf(connection: ConnectionId): RouterTimeSlots | null {
    const router = this.#routers.get(connection);
    if (router === undefined) {
      return null;
    }
    const { configLeaseMillis } = this.#parts.configLease;
    const all = [...this.#routers.values()].filter(
      ({ heardAt }) => router.heardAt - heardAt < configLeaseMillis,
    );
    const peers = all.filter(({ zone }) => zone === router.zone);
    const members = Math.max(1, this.#parts.raft.voterAddresses().length);
    return {
      inZone: positionOf(router, peers, router.zone === this.#parts.zone ? 1 : members),
      inAll: positionOf(router, all, members),
    };
  }

  /** Permits come from the leader; any other member answers with the leader's address. */
  #handleUpstreamReport(connection: ConnectionId, report: UpstreamReport, now: MonotonicMillis): void {
    const router = this.#routers.get(connection)?.router ?? null;
    if (!this.#parts.upstreams(report, { connection, router }, now)) {
      const { stamp } = report;
      const leader = this.#parts.raft.leaderAddress();
      const answer = { type: 'upstream-permits', stamp, waitedMillis: 0, leader, upstreams: [] } as const;
      this.#parts.send(connection, answer);
    }
  }

  #claim(connection: ConnectionId, request: ClaimRequest): void {
    const { type: _type, ...claim } = request;
    this.#parts.propose({ type: 'ledger-claim', ...claim }, (outcome) => {
      const result = outcome.type === 'applied' ? claimResultOf(outcome.result) : null;
      const leader = this.#parts.raft.leaderAddress();
      this.#parts.send(connection, { type: 'claim-response', claimant: request.claimant, result, leader });
    });
  }

  #settle(connection: ConnectionId, request: SettleRequest): void {
    const { type: _type, ...settlement } = request;
    this.#parts.propose({ type: 'ledger-settle', ...settlement }, (outcome) => {
      const settled = outcome.type === 'applied';
      const leader = this.#parts.raft.leaderAddress();
      this.#parts.send(connection, {
        type: 'settle-response',
        claimant: request.claimant,
        settled,
        leader,
      });
    });
  }
}

/** `members`: the assumed number of members that number these routers. */
function positionOf(
  router: ConnectedRouter,
  peers: readonly ConnectedRouter[],
  members: number,
): RoundPosition {
  return { phaseShare: peers.indexOf(router) / peers.length, routers: peers.length * members };
}

function claimResultOf(result: CommandResult) {
  return result.type === 'claim' ? result.result : null;
}
