/**
 * What a control member does while it leads: session leases and the placement of shards. It begins once the registry
 * holds everything that earlier leaders committed, and keeps nothing from one leadership to the next.
 */

import type { SessionCall, SessionChange, SessionView } from '../lease/granter-types.js';
import { LeaseGranter } from '../lease/lease-granter.js';
import { DEFAULT_RANGE_TIMINGS } from '../lease/range-timings.js';
import type { SessionAnswer } from '../lease/types.js';
import type { MonotonicMillis, Term, UpstreamId } from '../model/identifiers.js';
import type { LeaderCommand, RegistryChange } from '../registry/types.js';
import { FleetRoom, type FleetStatus } from './fleet-room/fleet-room.js';
import { roomUpstreams } from './fleet-room/room-upstreams.js';
import { LeaderProposals } from './leader-proposals.js';
import type { ControlToRouter, LoadReport, UpstreamReport } from './messages.js';
import { UpstreamNeeds } from './needs/upstream-needs.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { HeardHeartbeat } from './ranges/heard-heartbeat.js';
import type { HolderCall, HolderCallId, HolderOutcome } from './ranges/holder-call.js';
import type { AnswerHeartbeat } from './ranges/open-heartbeats.js';
import { RangeCoordinator } from './ranges/range-coordinator.js';
import type { LogRanges } from './ranges/range-service.js';
import type { ReportingRouter } from './router-requests.js';
import type { ServiceMeasures } from './service-measures.js';
import { ShardCoordinator } from './shard-coordinator.js';
import type { ConnectionId, ControlConfig, NeedyUpstream, RangeWork } from './types.js';

/**
 * Shortest time between the beginnings of two quorum rounds. Renewals ask for their round a sixteenth of the renewal time
 * ahead, so nothing waits for this, and with many upstreams one round stands for all that fell due meanwhile.
 */
const ROUND_GAP_MILLIS = 20;
/** How long to wait before a quorum round that failed is tried again. */
const ROUND_RETRY_MILLIS = 20;

/** A leader that hears no quorum steps down after one election timeout; as long again is for clocks and the way of a message. */
const DEPOSED_TIMEOUTS = 2;

export interface LeaderDutiesParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly call: (call: SessionCall) => void;
  readonly callHolder: (call: HolderCall) => void;
  /** How many routers there are, about. */
  readonly routers: () => number;
  readonly sendRouter: (connection: ConnectionId, message: ControlToRouter) => void;
  readonly log: LogRanges;
}

/** A session with the time of the upstream's last answer of any kind in this leadership. */
export interface HeardSession extends SessionView {
  readonly heardAt: MonotonicMillis | null;
}

export class LeaderDuties {
  readonly #heardAt = new Map<UpstreamId, MonotonicMillis>();
  readonly #parts: LeaderDutiesParts;
  readonly #granter: LeaseGranter;
  readonly #proposals: LeaderProposals;
  readonly #coordinator: ShardCoordinator;
  readonly #ranges: RangeCoordinator;
  readonly #needs: UpstreamNeeds;
  readonly #fleet: FleetRoom;
  #isReady = false;
  #isRoundOut = false;
  #roundNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #isOver = false;

  constructor(parts: LeaderDutiesParts, term: Term, electedAt: MonotonicMillis) {
    const { config, propose } = parts;
    this.#parts = parts;
    this.#granter = new LeaseGranter({
      cluster: config.cluster,
      leader: config.self,
      term,
      electedAt,
      timings: config.lease,
      seed: config.seed,
    });
    this.#proposals = new LeaderProposals(propose);
    this.#coordinator = new ShardCoordinator({
      granter: this.#granter,
      proposals: this.#proposals,
      registry: () => parts.raft.registry,
      warmTimeoutMillis: config.warmTimeoutMillis,
    });
    this.#needs = new UpstreamNeeds(
      {
        send: parts.sendRouter,
        log: parts.log,
        routers: parts.routers,
        registry: () => parts.raft.registry,
        propose,
        deposedMillis: DEPOSED_TIMEOUTS * config.raft.electionTimeoutMillis,
      },
      electedAt,
    );
    this.#fleet = new FleetRoom(
      { term, upstreams: () => roomUpstreams(parts.raft.registry), log: parts.log },
      electedAt,
    );
    this.#ranges = new RangeCoordinator(
      {
        registry: () => parts.raft.registry,
        term,
        propose,
        confirm: (now, mayWait, settle) =>
          parts.raft.read(now, (confirmed) => settle(confirmed && !this.#isOver), mayWait),
        call: parts.callHolder,
        log: parts.log,
        bearings: () => this.#needs.bearings(),
        timings: config.ranges ?? DEFAULT_RANGE_TIMINGS,
      },
      electedAt,
    );
    this.#catchUp(electedAt);
  }

  /** The leadership is over: answers that still come to this object change nothing. */
  end(now: MonotonicMillis): void {
    this.#isOver = true;
    this.#ranges.end(now);
  }

  /** Routing data changed. */
  registryChanged(changes: readonly RegistryChange[], now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#ranges.registryChanged(now);
      this.#coordinator.registryChanged(changes);
    }
  }

  loadReported(report: LoadReport, now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#coordinator.loadReported(report, now);
      this.#ranges.loadReported(report, now);
    }
  }

  /** What a router saw of upstreams without keys; it is told what the fleet knows. */
  fleetReported(report: LoadReport, from: ConnectionId, now: MonotonicMillis): void {
    if (this.#isOver) {
      return;
    }
    const news = this.#fleet.take(report, from, now);
    if (news !== null) {
      this.#parts.sendRouter(from, news);
    }
  }

  /** Speeds of upstreams and room of zones that routers were told. */
  fleet(now: MonotonicMillis): FleetStatus {
    return this.#fleet.status(now);
  }

  /** What a router heard upstreams say, and the permits that it asks for; `false`: it is to ask again. */
  upstreamsReported(report: UpstreamReport, from: ReportingRouter, now: MonotonicMillis): boolean {
    if (this.#isOver) {
      return false;
    }
    this.#needs.take(report, from, now);
    return true;
  }

  /** Upstreams that say that they are in need. */
  needs(now: MonotonicMillis): NeedyUpstream[] {
    return this.#needs.list(now);
  }

  routerGone(connection: ConnectionId): void {
    this.#needs.gone(connection);
    this.#fleet.gone(connection);
  }

  /** A heartbeat of an upstream came; `answer` is told once what it renews. */
  upstreamHeard(heartbeat: HeardHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#ranges.heard(heartbeat, answer, now);
    } else {
      answer(null, now);
    }
  }

  /** A call to an upstream that takes plain grants ended. */
  holderAnswered(call: HolderCallId, outcome: HolderOutcome, now: MonotonicMillis): void {
    this.#ranges.callEnded(call, outcome, now);
  }

  /** Whether an upstream may hold ranges of keys; before this leader has caught up, any may. */
  mayHold(upstream: UpstreamId, now: MonotonicMillis): boolean {
    return !this.#isReady || this.#ranges.mayHold(upstream, now);
  }

  upstreamAnswered(
    upstream: UpstreamId,
    sequence: number,
    answer: SessionAnswer,
    now: MonotonicMillis,
  ): void {
    this.#heardAt.set(upstream, now);
    this.#granter.answered(upstream, sequence, answer, now);
    this.#coordinator.sessionChanged(upstream);
  }

  upstreamFailed(upstream: UpstreamId, sequence: number, now: MonotonicMillis): void {
    this.#granter.failed(upstream, sequence, now);
    this.#coordinator.sessionChanged(upstream);
  }

  run(now: MonotonicMillis): void {
    if (!this.#isReady || this.#isOver) {
      return;
    }
    this.#needs.run(now);
    this.#proposals.expire(now);
    this.#coordinator.run(now);
    this.#ranges.run(now);
    for (const call of this.#granter.takeCalls(now)) {
      this.#parts.call(call);
    }
    this.#proposeChanges(now);
    this.#confirmLeadership(now);
  }

  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    if (!this.#isReady) {
      return this.#roundNotBefore > now ? this.#roundNotBefore : Number.POSITIVE_INFINITY;
    }
    const round = this.#roundNotBefore > now ? this.#roundNotBefore : Number.POSITIVE_INFINITY;
    return Math.min(
      round,
      this.#proposals.nextDeadline(),
      this.#coordinator.nextDeadline(now),
      this.#ranges.nextDeadline(),
      this.#needs.nextDeadline(),
      this.#granter.nextDeadline(),
    );
  }

  rangeWork(): RangeWork {
    return this.#ranges.work();
  }

  sessions(): HeardSession[] {
    return this.#granter
      .views()
      .map((view) => ({ ...view, heardAt: this.#heardAt.get(view.upstream) ?? null }));
  }

  /** What is measured of each keyed service in this leadership. */
  measures(now: MonotonicMillis): ServiceMeasures[] {
    return this.#coordinator.measures(now);
  }

  #catchUp(now: MonotonicMillis): void {
    this.#parts.raft.read(now, (confirmed, settledAt) => {
      if (this.#isOver) {
        return;
      }
      if (!confirmed) {
        this.#catchUp(settledAt);
        return;
      }
      this.#isReady = true;
      this.#coordinator.begin(settledAt);
    });
  }

  #proposeChanges(now: MonotonicMillis): void {
    for (const change of this.#granter.changes(now)) {
      const name = `session ${change.upstream}`;
      if (this.#proposals.isFree(name)) {
        this.#proposals.propose([name], toCommand(change));
      }
    }
  }

  /** One round at a time; renewals that fall due meanwhile share the next. */
  #confirmLeadership(now: MonotonicMillis): void {
    if (this.#isRoundOut || now < this.#roundNotBefore || !this.#granter.wantsRound(now)) {
      return;
    }
    this.#isRoundOut = true;
    this.#roundNotBefore = now + ROUND_GAP_MILLIS;
    const mark = this.#granter.markRound();
    this.#parts.raft.read(now, (confirmed, settledAt) => {
      this.#isRoundOut = false;
      if (confirmed && !this.#isOver) {
        this.#granter.confirmed(mark, settledAt);
      } else {
        this.#roundNotBefore = settledAt + ROUND_RETRY_MILLIS;
      }
    });
  }
}

function toCommand(change: SessionChange): LeaderCommand {
  const { upstream, incarnation } = change;
  return change.type === 'open'
    ? { type: 'session-open', upstream, incarnation, previous: change.previous }
    : { type: 'session-end', upstream, incarnation };
}
