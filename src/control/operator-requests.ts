/** Handles operators' requests: commands go through the log, queries are linearizable reads. */

import { longestLeaseMillis } from '../lease/lease-bound.js';
import { DEFAULT_RANGE_TIMINGS } from '../lease/range-timings.js';
import { GRANT_CARRIERS } from '../model/grant-carrier.js';
import { isKeyReport } from '../model/held-keys.js';
import type { MonotonicMillis, UpstreamId, Zone } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type { CommandResult, DeclarationChange, EvacuationCommand, Registry } from '../registry/types.js';
import { problemOfChange, problemOfCommand, problemOfOwnedKeys } from '../registry/validation/sent-change.js';
import { AddressClaims } from './address-claims.js';
import { changeRecord, type ProposalTimes, type TracedRequest } from './change-trace.js';
import { HeartbeatFilter } from './heartbeat-filter.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';
import type { MembershipChanges } from './membership-changes.js';
import type { ProposalOutcome, SettleProposal } from './pending-proposals.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import { grantTermsOf } from './ranges/leader-service.js';
import type { AnswerHeartbeat } from './ranges/open-heartbeats.js';
import type { ReceivedHeartbeat } from './ranges/received-heartbeat.js';
import { findShards } from './shard-query.js';
import type { ControlConfig, OperationId, OperatorRequest, OperatorResponse } from './types.js';

export interface OperatorRequestsParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly membership: MembershipChanges;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
  readonly status: (now: MonotonicMillis) => OperatorResponse;
  /** Handles an upstream's heartbeat that reached the leader; calls `answer` once with the grants that it renews. */
  readonly onHeartbeat: (heartbeat: ReceivedHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis) => void;
  /** Returns whether an upstream may hold keys, judged by the leader's current state. */
  readonly mayHold: (upstream: UpstreamId, now: MonotonicMillis) => boolean;
  /** Requests the identity of the upstream at an address; `onIdentityResponse` receives the response. */
  readonly askIdentity: (question: IdentityQuestion) => void;
  readonly nextQuestion: () => QuestionId;
  readonly takeSnapshot: (now: MonotonicMillis, onTaken: () => void) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Maximum number of characters of an unknown service name that an error message repeats. */
const MAX_SHOWN_CHARACTERS = 100;

type WithdrawRequest = Extract<OperatorRequest, { readonly type: 'withdraw' }>;
type AnnounceRequest = Extract<OperatorRequest, { readonly type: 'announce' }>;
type EvacuateRequest = Extract<OperatorRequest, { readonly type: 'evacuate' }>;
type CommandRequest = Extract<OperatorRequest, { readonly type: 'command' }>;
type QueryRequest = Extract<
  OperatorRequest,
  {
    readonly type:
      | 'get-services'
      | 'get-upstreams'
      | 'get-shards'
      | 'get-ledger'
      | 'get-declaration'
      | 'get-evacuations'
      | 'get-suspects';
  }
>;

/** An accepted change that some routers may not apply yet. */
interface WaitingChange {
  readonly operation: OperationId;
  readonly request: CommandRequest;
  readonly result: CommandResult;
  readonly times: ProposalTimes | undefined;
  readonly inForceAt: MonotonicMillis;
}

export class OperatorRequests {
  readonly #parts: OperatorRequestsParts;
  readonly #addresses: AddressClaims;
  readonly #heartbeats: HeartbeatFilter;
  #waiting: WaitingChange[] = [];

  constructor(parts: OperatorRequestsParts) {
    this.#parts = parts;
    const registry = (): Registry => parts.raft.registry;
    this.#heartbeats = new HeartbeatFilter(registry);
    this.#addresses = new AddressClaims({
      registry,
      timings: parts.config.ranges ?? DEFAULT_RANGE_TIMINGS,
      mayHold: parts.mayHold,
      ask: parts.askIdentity,
      nextQuestion: parts.nextQuestion,
      log: parts.log,
    });
  }

  /** Handles the start or end of a leadership, of this member or another. */
  roleChanged(now: MonotonicMillis): void {
    this.#addresses.onRoleChange(now);
  }

  /** Handles the response to an identity request. */
  onIdentityResponse(question: QuestionId, answer: IdentityAnswer, now: MonotonicMillis): void {
    this.#addresses.onAnswer(question, answer, now);
  }

  begin(operation: OperationId, request: OperatorRequest, now: MonotonicMillis): void {
    const { answer, membership } = this.#parts;
    const problem = problemOfRequest(request) ?? this.#problemOfOwnedKeys(request);
    if (problem !== null) {
      answer(operation, {
        type: 'result',
        result: { type: 'invalid', message: problem },
        inForce: false,
      });
      return;
    }
    switch (request.type) {
      case 'command':
        this.#runCommand(operation, request);
        break;
      case 'get-services':
      case 'get-upstreams':
      case 'get-shards':
      case 'get-ledger':
      case 'get-declaration':
      case 'get-evacuations':
      case 'get-suspects':
        this.#query(operation, request, now);
        break;
      case 'declare':
        this.#proposeTraced(operation, request, request.change);
        break;
      case 'evacuate':
        this.#evacuate(operation, request);
        break;
      case 'announce':
        this.#announce(operation, request, now);
        break;
      case 'withdraw':
        this.#withdraw(operation, request);
        break;
      case 'get-status':
        answer(operation, this.#parts.status(now));
        break;
      case 'take-snapshot':
        this.#parts.takeSnapshot(now, () => answer(operation, { type: 'done' }));
        break;
      case 'add-learner':
      case 'add-voter':
      case 'replace-replica':
      case 'transfer-leadership':
      case 'release-vote':
        membership.begin(operation, request, now);
        break;
    }
  }

  /**
   * Returns why the leader refuses a command that names a service with declared keys. Another member may know an old document. A command that
   * was applied before changes nothing, and gets the result that it had then.
   */
  #problemOfOwnedKeys(request: OperatorRequest): string | null {
    const { raft } = this.#parts;
    const mayChange =
      request.type === 'command' && raft.isLeader() && !raft.registry.wasApplied(request.requestId);
    return mayChange ? problemOfOwnedKeys(request.command, raft.registry) : null;
  }

  /** Answers waiting requests whose change is now in force on every router. */
  run(now: MonotonicMillis): void {
    const due = this.#waiting.filter((change) => now > change.inForceAt);
    this.#waiting = this.#waiting.filter((change) => now <= change.inForceAt);
    for (const { operation, request, result, times } of due) {
      this.#settle(operation, request, { type: 'result', result, inForce: true }, times, now);
    }
  }

  nextDeadline(): MonotonicMillis {
    const deadlines = this.#waiting.map((change) => Math.floor(change.inForceAt) + 1);
    return Math.min(Number.POSITIVE_INFINITY, ...deadlines);
  }

  #runCommand(operation: OperationId, request: CommandRequest): void {
    const { actor, requestId, command, wait } = request;
    const settle: SettleProposal = (outcome, now, times) => {
      if (wait && outcome.type === 'applied' && outcome.result.type === 'accepted') {
        this.#awaitRouters({ operation, request, result: outcome.result, times }, now);
      } else {
        this.#settle(operation, request, this.#responseTo(outcome), times, now);
      }
    };
    this.#parts.propose(command, settle, { actor, requestId });
  }

  /** Proposes an operator's change that is idempotent, so it needs no entry in the table of request ids. */
  #proposeTraced(
    operation: OperationId,
    request: Exclude<TracedRequest, CommandRequest>,
    command: DeclarationChange | EvacuationCommand,
  ): void {
    const settle: SettleProposal = (outcome, now, times) =>
      this.#settle(operation, request, this.#responseTo(outcome), times, now);
    this.#parts.propose(command, settle, { actor: request.actor, requestId: null });
  }

  /** Answers an operator's change and logs how long each of its steps took. */
  #settle(
    operation: OperationId,
    request: TracedRequest,
    response: OperatorResponse,
    times: ProposalTimes | undefined,
    now: MonotonicMillis,
  ): void {
    const { raft, answer } = this.#parts;
    answer(operation, response);
    this.#parts.log('change-settled', { ...changeRecord(request, response, raft.status(), times, now) });
  }

  /** Answers `not-found` for an unknown zone, so that a misspelled name isn't mistaken for an evacuated zone. */
  #evacuate(operation: OperationId, request: EvacuateRequest): void {
    const { zone, isOut } = request;
    if (!this.#isKnownZone(zone)) {
      this.#parts.answer(operation, { type: 'result', result: { type: 'not-found' }, inForce: false });
      return;
    }
    this.#proposeTraced(operation, request, { type: isOut ? 'evacuation-start' : 'evacuation-end', zone });
  }

  #isKnownZone(zone: Zone): boolean {
    const { config, raft } = this.#parts;
    const isOfUpstream = (): boolean =>
      [...raft.registry.upstreams().values()].some(({ definition }) => definition.zone === zone);
    const isOut = raft.registry.evacuations().some((evacuation) => evacuation.zone === zone);
    return (config.zones ?? []).includes(zone) || isOut || isOfUpstream();
  }

  #withdraw(operation: OperationId, { upstream, born }: WithdrawRequest): void {
    const command = { type: 'upstream-withdraw', upstream, ...(born !== undefined && { born }) } as const;
    const settle: SettleProposal = (outcome) => this.#parts.answer(operation, this.#responseTo(outcome));
    this.#parts.propose(command, settle, { actor: upstream, requestId: null });
  }

  /** Only heartbeats with changes go through the log; most of them repeat what is already recorded. */
  #announce(operation: OperationId, request: AnnounceRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    const { definition, report } = request;
    const leader = raft.leaderAddress();
    if (!raft.isLeader() && leader !== null) {
      answer(operation, { type: 'not-leader', leader });
      return;
    }
    const sequence = report?.sequence ?? null;
    if (this.#heartbeats.isLate(definition, sequence)) {
      // A later heartbeat was received, or the run has ended: this one is outdated and proves nothing about the present.
      answer(operation, { type: 'heartbeat-taken', keys: null });
      return;
    }
    const error = this.#unknownServiceError(definition);
    if (error !== null) {
      answer(operation, { type: 'result', result: { type: 'invalid', message: error }, inForce: false });
      return;
    }
    const hasChanged = this.#heartbeats.hasUpdate(definition, now);
    this.#heartbeats.record(definition, this.#setsSequence(request) ? sequence : null, now);
    if (!hasChanged) {
      this.#acceptHeartbeat(operation, request, now);
      return;
    }
    if (!raft.isLeader()) {
      this.#proposeAnnouncement(operation, request);
      return;
    }
    this.#addresses.claim(definition, now, (isAccepted) => {
      if (isAccepted) {
        this.#proposeAnnouncement(operation, request);
      } else {
        // The heartbeat isn't acknowledged: if the run really is the next one at this address, it announces itself again.
        answer(operation, { type: 'unknown' });
      }
    });
  }

  /** Puts a heartbeat's definition into the log, then handles the heartbeat like any other. */
  #proposeAnnouncement(operation: OperationId, request: AnnounceRequest): void {
    const { definition } = request;
    const settle = (outcome: ProposalOutcome, settledAt: MonotonicMillis): void => {
      const isAccepted = outcome.type === 'applied' && outcome.result.type === 'accepted';
      if (isAccepted) {
        this.#acceptHeartbeat(operation, request, settledAt);
      } else {
        this.#parts.answer(operation, this.#responseTo(outcome));
      }
    };
    const command = { type: 'upstream-announce', definition } as const;
    this.#parts.propose(command, settle, { actor: definition.id, requestId: null });
  }

  /**
   * Returns whether heartbeats with a lower sequence count as late from now on. Where heartbeats carry grants, upstreams list their
   * keys: a heartbeat without keys may come from another writer, whose sequence must not make the owner's heartbeats late.
   */
  #setsSequence({ definition, report }: AnnounceRequest): boolean {
    const service = this.#parts.raft.registry.services().get(definition.service);
    const isByHeartbeat = service !== undefined && grantTermsOf(service).carrier === GRANT_CARRIERS.heartbeat;
    return !isByHeartbeat || report === null || isKeyReport(report);
  }

  #acceptHeartbeat(
    operation: OperationId,
    { definition, report }: AnnounceRequest,
    now: MonotonicMillis,
  ): void {
    const { onHeartbeat: handleHeartbeat, answer } = this.#parts;
    const { id: upstream, announced } = definition;
    this.#addresses.onHeartbeat(upstream, now);
    const heartbeat = { upstream, born: announced?.born ?? null, report };
    handleHeartbeat(heartbeat, (keys) => answer(operation, { type: 'heartbeat-taken', keys }), now);
  }

  /**
   * Returns the error for a heartbeat that names an unknown service, or `null` if it is acceptable. A registered upstream stays
   * acceptable, and before anything is declared any service may still be declared later.
   */
  #unknownServiceError({ id, service }: UpstreamDefinition): string | null {
    const { registry } = this.#parts.raft;
    const isUndeclared = registry.declaredDocument() === null;
    const isKnown = isUndeclared || registry.services().has(service) || registry.upstreams().has(id);
    return isKnown
      ? null
      : `service: there is no service ${JSON.stringify(service.slice(0, MAX_SHOWN_CHARACTERS))}`;
  }

  /**
   * A change at revision R was applied here at `now`, so it was committed before. A router's configuration lease counts
   * from the stamp of a sync that a read round confirmed after the sync was sent. If that round began after the commit,
   * the answer covers R. Otherwise the stamp is older than the commit, and the lease has ended one lease after `now`,
   * with an allowance for the clocks' rates. Either way no router serves an older revision after that. This also holds
   * for routers that never connected to this member, and across changes of leader.
   */
  #awaitRouters(change: Omit<WaitingChange, 'inForceAt'>, now: MonotonicMillis): void {
    const { configLeaseMillis, clockRateError } = this.#parts.config.configLease;
    const longest = longestLeaseMillis({ leaseMillis: configLeaseMillis, clockRateError });
    this.#waiting.push({ ...change, inForceAt: now + longest });
  }

  #responseTo(outcome: ProposalOutcome): OperatorResponse {
    switch (outcome.type) {
      case 'applied':
        return { type: 'result', result: outcome.result, inForce: false };
      case 'not-leader':
        return { type: 'not-leader', leader: this.#parts.raft.otherLeaderAddress() };
      case 'rejected':
        return { type: 'rejected', message: outcome.reason };
      case 'unknown':
        return { type: 'unknown' };
    }
  }

  #query(operation: OperationId, request: QueryRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    raft.read(now, (confirmed) => {
      answer(operation, confirmed ? this.#result(request) : this.#unconfirmed());
    });
  }

  /** A leader whose reading isn't confirmed knows nobody who could answer it. */
  #unconfirmed(): OperatorResponse {
    const { raft } = this.#parts;
    return raft.isLeader() ? { type: 'unknown' } : { type: 'not-leader', leader: raft.otherLeaderAddress() };
  }

  #result(request: QueryRequest): OperatorResponse {
    const { registry } = this.#parts.raft;
    const { revision } = registry;
    switch (request.type) {
      case 'get-services':
        return { type: 'services', revision, services: [...registry.services().values()] };
      case 'get-upstreams':
        return { type: 'upstreams', revision, upstreams: [...registry.upstreams().values()] };
      case 'get-shards':
        return { type: 'shards', revision, shards: findShards(registry, request) };
      case 'get-evacuations':
        return { type: 'evacuations', revision, evacuations: registry.evacuations() };
      case 'get-suspects':
        return { type: 'suspects', revision, suspects: registry.suspects() };
      case 'get-declaration':
        return { type: 'declaration', document: registry.declaredDocument() };
      case 'get-ledger':
        return { type: 'ledger', record: registry.ledgerRecord(request.service, request.key) ?? null };
    }
  }
}

/** Returns why a request is refused before it enters the log, with the place; `null` if it isn't. */
function problemOfRequest(request: OperatorRequest): string | null {
  switch (request.type) {
    case 'command':
      return problemOfCommand(request.command);
    case 'declare':
      return problemOfChange(request.change);
    default:
      return null;
  }
}
