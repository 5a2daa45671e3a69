/**
 * The tasks of a control member while it is the leader: session leases and the placement of shards. They begin once the registry
 * holds everything that earlier leaders committed, and keep no state from one leadership to the next.
 */

import type { SessionCall, SessionChange, SessionView } from '../lease/granter-types.js';
import { LeaseGranter } from '../lease/lease-granter.js';
import { DEFAULT_RANGE_TIMINGS } from '../lease/range-timings.js';
import type { SessionAnswer } from '../lease/types.js';
import type { MonotonicMillis, Term, UpstreamId, Zone } from '../model/identifiers.js';
import type { LeaderCommand, RegistryChange } from '../registry/types.js';
import { UpstreamConstraints } from './constraints/upstream-constraints.js';
import { FleetCapacity, type FleetStatus } from './fleet-capacity/fleet-capacity.js';
import { keylessUpstreams } from './fleet-capacity/keyless-upstreams.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';
import { LeaderProposals } from './leader-proposals.js';
import type { ControlToRouter, LoadReport, UpstreamReport } from './messages.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { HolderCall, HolderCallId, HolderOutcome } from './ranges/holder-call.js';
import type { AnswerHeartbeat } from './ranges/open-heartbeats.js';
import { RangeCoordinator } from './ranges/range-coordinator.js';
import type { LogRangeEvent } from './ranges/range-service.js';
import type { ReceivedHeartbeat } from './ranges/received-heartbeat.js';
import { RelayDirectory } from './relay-directory.js';
import type { ReportingRouter } from './router-requests.js';
import type { ServiceMeasures } from './service-measures.js';
import { ShardCoordinator } from './shard-coordinator.js';
import type { ConnectionId, ConstrainedUpstream, ControlConfig, RangeWork } from './types.js';

/**
 * Minimum time between the starts of two quorum rounds. Renewals request their round a sixteenth of the renewal time ahead, so this
 * delays nothing, and with many upstreams one round covers all renewals that are due by then.
 */
const MIN_ROUND_INTERVAL_MILLIS = 20;
/** Delay before a failed quorum round is retried. */
const ROUND_RETRY_MILLIS = 20;

/** A leader without a quorum steps down after one election timeout; the second one allows for clock error and message delay. */
const DEPOSED_ELECTION_TIMEOUTS = 2;

export interface LeaderDutiesParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly call: (call: SessionCall) => void;
  readonly callHolder: (call: HolderCall) => void;
  readonly nextQuestion: () => QuestionId;
  readonly askIdentity: (question: IdentityQuestion) => void;
  /** Approximate number of routers. */
  readonly routers: () => number;
  readonly sendRouter: (connection: ConnectionId, message: ControlToRouter) => void;
  readonly log: LogRangeEvent;
}

/** A session with the time of the upstream's last response of any kind in this leadership. */
export interface ObservedSession extends SessionView {
  readonly lastResponseAt: MonotonicMillis | null;
}

export class LeaderDuties {
  readonly #lastResponseAt = new Map<UpstreamId, MonotonicMillis>();
  readonly #parts: LeaderDutiesParts;
  readonly #granter: LeaseGranter;
  readonly #proposals: LeaderProposals;
  readonly #coordinator: ShardCoordinator;
  readonly #ranges: RangeCoordinator;
  readonly #needs: UpstreamConstraints;
  readonly #fleet: FleetCapacity;
  readonly #relays: RelayDirectory;
  #isReady = false;
  #isRoundPending = false;
  #roundNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #hasEnded = false;

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
    this.#needs = new UpstreamConstraints(
      {
        send: parts.sendRouter,
        log: parts.log,
        routers: parts.routers,
        registry: () => parts.raft.registry,
        propose,
        deposedMillis: DEPOSED_ELECTION_TIMEOUTS * config.raft.electionTimeoutMillis,
      },
      electedAt,
    );
    this.#fleet = new FleetCapacity(
      { term, upstreams: () => keylessUpstreams(parts.raft.registry), log: parts.log },
      electedAt,
    );
    const isEvacuated = (zone: Zone): boolean =>
      parts.raft.registry.evacuations().some((evacuation) => evacuation.zone === zone);
    this.#relays = new RelayDirectory({ isEvacuated });
    this.#ranges = new RangeCoordinator(
      {
        registry: () => parts.raft.registry,
        term,
        propose,
        confirm: (now, mayWait, settle) =>
          parts.raft.read(now, (confirmed) => settle(confirmed && !this.#hasEnded), mayWait),
        call: parts.callHolder,
        nextQuestion: parts.nextQuestion,
        ask: parts.askIdentity,
        log: parts.log,
        capacityLimits: () => this.#needs.capacityLimits(),
        timings: config.ranges ?? DEFAULT_RANGE_TIMINGS,
      },
      electedAt,
    );
    this.#catchUp(electedAt);
  }

  /** Ends the leadership; responses that arrive later have no effect on this object. */
  end(now: MonotonicMillis): void {
    this.#hasEnded = true;
    this.#ranges.end(now);
  }

  /** Handles changes of the routing data. */
  onRegistryChange(changes: readonly RegistryChange[], now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#ranges.onRegistryChange(now);
      this.#coordinator.registryChanged(changes);
    }
  }

  onLoadReport(report: LoadReport, now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#coordinator.loadReported(report, now);
      this.#ranges.onLoadReport(report, now);
    }
  }

  /** Handles a router's report on upstreams without keys, and sends it the changes of the fleet view. */
  onFleetReport(report: LoadReport, from: ConnectionId, now: MonotonicMillis): void {
    if (this.#hasEnded) {
      return;
    }
    const update = this.#fleet.recordReport(report, from, now);
    if (update !== null) {
      this.#parts.sendRouter(from, update);
    }
  }

  /** Handles a router's report that it can carry connections, and sends it its peers if they changed. */
  onRelayReport({ relay }: LoadReport, from: ConnectionId, now: MonotonicMillis): void {
    if (relay === undefined || this.#hasEnded) {
      return;
    }
    const peers = this.#relays.recordReport(relay, from, now);
    if (peers !== null) {
      this.#parts.sendRouter(from, peers);
    }
  }

  /** Speeds of upstreams and capacities of zones as sent to routers. */
  fleet(now: MonotonicMillis): FleetStatus {
    return this.#fleet.status(now);
  }

  /** Handles a router's report of upstream notices and its request for permits; returns `false` if the router has to retry. */
  onUpstreamReport(report: UpstreamReport, from: ReportingRouter, now: MonotonicMillis): boolean {
    if (this.#hasEnded) {
      return false;
    }
    this.#needs.recordReport(report, from, now);
    return true;
  }

  /** Upstreams with a request limit or a back-off in effect. */
  needs(now: MonotonicMillis): ConstrainedUpstream[] {
    return this.#needs.list(now);
  }

  onRouterDisconnect(connection: ConnectionId): void {
    this.#needs.onRouterDisconnected(connection);
    this.#fleet.onRouterDisconnected(connection);
    this.#relays.onRouterDisconnected(connection);
  }

  /** Handles a heartbeat of an upstream; `answer` is called once with what the heartbeat renews. */
  onHeartbeat(heartbeat: ReceivedHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    if (this.#isReady) {
      this.#ranges.onHeartbeat(heartbeat, answer, now);
    } else {
      answer(null, now);
    }
  }

  /** Handles the end of a call to an upstream that uses plain grants. */
  onHolderCallEnd(call: HolderCallId, outcome: HolderOutcome, now: MonotonicMillis): void {
    this.#ranges.onCallEnd(call, outcome, now);
  }

  /** Handles the result of a question to an upstream's address. */
  onIdentityAnswer(question: QuestionId, answer: IdentityAnswer, now: MonotonicMillis): void {
    this.#ranges.onIdentityAnswer(question, answer, now);
  }

  /** Whether an upstream may hold ranges of keys; `true` for any upstream until this leader has caught up. */
  mayHold(upstream: UpstreamId, now: MonotonicMillis): boolean {
    return !this.#isReady || this.#ranges.mayHold(upstream, now);
  }

  onSessionResponse(
    upstream: UpstreamId,
    sequence: number,
    answer: SessionAnswer,
    now: MonotonicMillis,
  ): void {
    this.#lastResponseAt.set(upstream, now);
    this.#granter.handleAnswer(upstream, sequence, answer, now);
    this.#coordinator.sessionChanged(upstream);
  }

  onSessionFailure(upstream: UpstreamId, sequence: number, now: MonotonicMillis): void {
    this.#granter.handleFailure(upstream, sequence, now);
    this.#coordinator.sessionChanged(upstream);
  }

  run(now: MonotonicMillis): void {
    if (!this.#isReady || this.#hasEnded) {
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

  /** Number of spans of keys compared while moves were planned. */
  get searchedSpans(): number {
    return this.#ranges.searchedSpans;
  }

  sessions(): ObservedSession[] {
    return this.#granter
      .views()
      .map((view) => ({ ...view, lastResponseAt: this.#lastResponseAt.get(view.upstream) ?? null }));
  }

  /** Measurements of each keyed service in this leadership. */
  measures(now: MonotonicMillis): ServiceMeasures[] {
    return this.#coordinator.measures(now);
  }

  #catchUp(now: MonotonicMillis): void {
    this.#parts.raft.read(now, (confirmed, settledAt) => {
      if (this.#hasEnded) {
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
      if (this.#proposals.canPropose(name)) {
        this.#proposals.propose([name], toCommand(change));
      }
    }
  }

  /** Runs one round at a time; renewals that become due during a round share the next one. */
  #confirmLeadership(now: MonotonicMillis): void {
    if (this.#isRoundPending || now < this.#roundNotBefore || !this.#granter.needsRound(now)) {
      return;
    }
    this.#isRoundPending = true;
    this.#roundNotBefore = now + MIN_ROUND_INTERVAL_MILLIS;
    const mark = this.#granter.markRound();
    this.#parts.raft.read(now, (confirmed, settledAt) => {
      this.#isRoundPending = false;
      if (confirmed && !this.#hasEnded) {
        this.#granter.confirmRound(mark, settledAt);
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
