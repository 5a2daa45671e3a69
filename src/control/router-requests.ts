/**
 * The side of a control member that routers talk to: configuration leases and routing data from any member, claims
 * and settlements in the ledger from the leader.
 */
import type { Incarnation, MonotonicMillis, Revision, RouterId, Zone } from '../model/identifiers.js';
import type { RoundPlace, RouterTurn } from '../model/router-turn.js';
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
 * Shortest time between two rounds of news; changes that come meanwhile share the next one. Each round wakes every router, and
 * costs it about 1.5 ms of processor time (800 ranges, three of them changed); owners of ranges change up to 20 times a second.
 */
const NEWS_GAP_MILLIS = 50;

/** What is known of a connected router. */
export interface ConnectedRouter {
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  readonly revision: Revision;
  readonly heardAt: MonotonicMillis;
}

/** Which router a report is of. */
export interface ReportingRouter {
  readonly connection: ConnectionId;
  /** `null`: it hasn't asked for its configuration yet. */
  readonly router: RouterId | null;
}

export interface RouterRequestsParts {
  readonly raft: RaftAdapter;
  readonly configLease: ConfigLeaseTimings;
  /** Zone of this member; `undefined`: not known. */
  readonly zone?: Zone | undefined;
  readonly propose: ProposeCommand;
  readonly send: (connection: ConnectionId, message: ControlToRouter) => void;
  readonly report: (report: LoadReport, from: ConnectionId, now: MonotonicMillis) => void;
  /** `router`: `null` for one that hasn't asked for its configuration yet. */
  readonly crashes: (report: CrashReport, router: RouterId | null) => void;
  /** `false`: this member doesn't lead. */
  readonly upstreams: (report: UpstreamReport, from: ReportingRouter, now: MonotonicMillis) => boolean;
}

export class RouterRequests {
  readonly #parts: RouterRequestsParts;
  readonly #routers = new Map<ConnectionId, ConnectedRouter>();
  /** Up to which revision a router was sent all there is. */
  readonly #told = new Map<ConnectionId, Revision>();
  #hasNews = false;
  #newsNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  readonly #departed = new DepartedRouters();
  readonly #syncs: SyncReads;

  constructor(parts: RouterRequestsParts) {
    this.#parts = parts;
    this.#syncs = new SyncReads({
      read: (now, mayWait, settle) => parts.raft.read(now, settle, mayWait),
      answer: (sync, confirmed) => this.#answerSync(sync, confirmed),
    });
  }

  take(connection: ConnectionId, message: RouterToControl, now: MonotonicMillis): void {
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
        this.#parts.crashes(message, this.#routers.get(connection)?.router ?? null);
        break;
      case 'upstream-report':
        this.#takeReport(connection, message, now);
        break;
    }
  }

  gone(connection: ConnectionId): void {
    const router = this.#routers.get(connection);
    this.#routers.delete(connection);
    this.#told.delete(connection);
    if (router !== undefined && !this.routers().some((other) => other.router === router.router)) {
      this.#departed.left(router);
    }
    this.#syncs.gone(connection);
  }

  /** Begins the read that waits for its time, and sends the news that do. */
  run(now: MonotonicMillis): void {
    this.#syncs.run(now);
    this.#sendNews(now);
  }

  nextDeadline(): MonotonicMillis {
    const newsAt = this.#hasNews ? this.#newsNotBefore : Number.POSITIVE_INFINITY;
    return Math.min(this.#syncs.nextDeadline(), newsAt);
  }

  /** Something that routers hold has changed. */
  notify(now: MonotonicMillis): void {
    this.#hasNews = true;
    this.#sendNews(now);
  }

  /** Sends what changed to the routers that have a lease by this member; others ask another one. */
  #sendNews(now: MonotonicMillis): void {
    if (!this.#hasNews || now < this.#newsNotBefore) {
      return;
    }
    this.#hasNews = false;
    this.#newsNotBefore = now + NEWS_GAP_MILLIS;
    const { configLeaseMillis } = this.#parts.configLease;
    for (const [connection, { heardAt }] of this.#routers) {
      if (now - heardAt < configLeaseMillis) {
        this.#tell(connection);
      }
    }
  }

  /** A router that holds nothing yet, or too little for changes to help, is told to ask. */
  #tell(connection: ConnectionId): void {
    const { revision } = this.#parts.raft.registry;
    const told = this.#told.get(connection) ?? 0;
    if (told >= revision) {
      return;
    }
    const delta = this.#newsSince(told);
    if (delta === null) {
      this.#parts.send(connection, { type: 'change-notice', revision });
      return;
    }
    this.#told.set(connection, delta.to);
    this.#parts.send(connection, { type: 'sync-news', delta });
  }

  /** How many routers there are, about: those of a zone ask the member there, where they can. */
  get count(): number {
    return this.#routers.size * Math.max(1, this.#parts.raft.voterAddresses().length);
  }

  routers(): readonly ConnectedRouter[] {
    return [...this.#routers.values()];
  }

  /** Those that are gone since a while ago. */
  departed(now: MonotonicMillis): readonly DepartedRouter[] {
    return this.#departed.list(now);
  }

  #sync(connection: ConnectionId, request: SyncRequest, now: MonotonicMillis): void {
    const { router, incarnation, zone, have } = request;
    this.#routers.set(connection, { router, incarnation, zone, revision: have, heardAt: now });
    this.#departed.isBack(router);
    const news = this.#newsSince(have);
    if (news !== null) {
      this.#parts.send(connection, { type: 'sync-news', delta: news });
    }
    const held = news?.to ?? have;
    this.#told.set(connection, held);
    const isRenewal = have > 0 && held >= this.#parts.raft.registry.revision;
    this.#syncs.add({ connection, request: { ...request, have: held } }, isRenewal, now);
  }

  /** What a router that holds `have` lacks; `null`: nothing, or more than can be told as changes. */
  #newsSince(have: Revision): RoutingDelta | null {
    const { registry } = this.#parts.raft;
    return have > 0 && have < registry.revision ? (registry.routingDelta(have) ?? null) : null;
  }

  #answerSync({ connection, request }: WaitingSync, confirmed: boolean): void {
    if (this.#routers.has(connection)) {
      this.#parts.send(connection, this.#syncResponse(connection, request, confirmed));
    }
  }

  /** A router that is ahead of this member gets nothing to apply, and no confirmation. */
  #syncResponse(connection: ConnectionId, request: SyncRequest, confirmed: boolean): SyncResponse {
    const { raft } = this.#parts;
    const { registry } = raft;
    const isNews = request.have < registry.revision;
    const delta = this.#newsSince(request.have);
    if (isNews) {
      this.#told.set(connection, registry.revision);
    }
    return {
      type: 'sync-response',
      stamp: request.stamp,
      confirmed: confirmed && request.have <= registry.revision,
      revision: registry.revision,
      snapshot: isNews && delta === null ? registry.routingSnapshot() : null,
      delta,
      leader: raft.leaderAddress(),
      members: raft.voterAddresses(),
      turn: this.#turnOf(connection),
    };
  }

  /**
   * Routers of a zone ask the member there, where they can; another one that numbers some of them takes itself for one of several that
   * do, so that all together never count too few.
   */
  #turnOf(connection: ConnectionId): RouterTurn | null {
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
      inZone: placeOf(router, peers, router.zone === this.#parts.zone ? 1 : members),
      inAll: placeOf(router, all, members),
    };
  }

  /** Permits come from the leader; another member says who that is. */
  #takeReport(connection: ConnectionId, report: UpstreamReport, now: MonotonicMillis): void {
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

/** `members`: how many number routers like these. */
function placeOf(router: ConnectedRouter, peers: readonly ConnectedRouter[], members: number): RoundPlace {
  return { phaseShare: peers.indexOf(router) / peers.length, routers: peers.length * members };
}

function claimResultOf(result: CommandResult) {
  return result.type === 'claim' ? result.result : null;
}
