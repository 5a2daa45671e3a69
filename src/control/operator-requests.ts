/** Operators' requests: commands go through the log, queries are linearizable reads. */
import { longestLeaseMillis } from '../lease/lease-bound.js';
import { DEFAULT_RANGE_TIMINGS } from '../lease/range-timings.js';
import type { HeldKeys } from '../model/held-keys.js';
import type { MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type { AnnouncementCommand, CommandResult, DeclarationChange } from '../registry/types.js';
import { AddressClaims } from './address-claims.js';
import type { MembershipChanges } from './membership-changes.js';
import type { ProposalOutcome } from './pending-proposals.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { AnswerHeartbeat } from './ranges/open-heartbeats.js';
import { findShards } from './shard-query.js';
import type { ControlConfig, OperationId, OperatorRequest, OperatorResponse } from './types.js';

export interface OperatorRequestsParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly membership: MembershipChanges;
  readonly answer: (operation: OperationId, response: OperatorResponse) => void;
  readonly status: (now: MonotonicMillis) => OperatorResponse;
  /** A heartbeat of an upstream came to the leader; `answer` is told once what it renews. */
  readonly heard: (
    upstream: UpstreamId,
    report: HeldKeys | null,
    answer: AnswerHeartbeat,
    now: MonotonicMillis,
  ) => void;
  readonly takeSnapshot: (now: MonotonicMillis, taken: () => void) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

type AnnounceRequest = Extract<OperatorRequest, { readonly type: 'announce' }>;
type WithdrawCommand = Extract<AnnouncementCommand, { readonly type: 'upstream-withdraw' }>;
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
      | 'get-suspects';
  }
>;

/** An accepted change that may not be in force on every router yet. */
interface WaitingChange {
  readonly operation: OperationId;
  readonly result: CommandResult;
  readonly inForceAt: MonotonicMillis;
}

export class OperatorRequests {
  readonly #parts: OperatorRequestsParts;
  readonly #addresses: AddressClaims;
  #waiting: WaitingChange[] = [];

  constructor(parts: OperatorRequestsParts) {
    this.#parts = parts;
    const { heartbeatMillis } = parts.config.ranges ?? DEFAULT_RANGE_TIMINGS;
    this.#addresses = new AddressClaims({ registry: () => parts.raft.registry, heartbeatMillis });
  }

  begin(operation: OperationId, request: OperatorRequest, now: MonotonicMillis): void {
    const { answer, membership } = this.#parts;
    switch (request.type) {
      case 'command':
        this.#command(operation, request);
        break;
      case 'get-services':
      case 'get-upstreams':
      case 'get-shards':
      case 'get-ledger':
      case 'get-declaration':
      case 'get-suspects':
        this.#query(operation, request, now);
        break;
      case 'declare':
        this.#change(operation, request.change, request.actor);
        break;
      case 'announce':
        this.#announce(operation, request, now);
        break;
      case 'withdraw':
        this.#change(operation, { type: 'upstream-withdraw', upstream: request.upstream }, request.upstream);
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
        membership.begin(operation, request, now);
        break;
    }
  }

  /** Answers those who wait for a change that is now in force everywhere. */
  run(now: MonotonicMillis): void {
    const due = this.#waiting.filter((change) => now > change.inForceAt);
    this.#waiting = this.#waiting.filter((change) => now <= change.inForceAt);
    for (const { operation, result } of due) {
      this.#parts.answer(operation, { type: 'result', result, inForce: true });
    }
  }

  nextDeadline(): MonotonicMillis {
    const deadlines = this.#waiting.map((change) => Math.floor(change.inForceAt) + 1);
    return Math.min(Number.POSITIVE_INFINITY, ...deadlines);
  }

  #command(operation: OperationId, request: CommandRequest): void {
    const { actor, requestId, command, wait } = request;
    const settle = (outcome: ProposalOutcome, now: MonotonicMillis): void => {
      if (wait && outcome.type === 'applied' && outcome.result.type === 'accepted') {
        this.#awaitRouters(operation, outcome.result, now);
      } else {
        this.#parts.answer(operation, this.#responseTo(outcome));
      }
    };
    this.#parts.propose(command, settle, { actor, requestId });
  }

  /** A change that is safe to send again: it needs no entry in the table of request ids. */
  #change(operation: OperationId, command: DeclarationChange | WithdrawCommand, actor: string): void {
    const settle = (outcome: ProposalOutcome): void =>
      this.#parts.answer(operation, this.#responseTo(outcome));
    this.#parts.propose(command, settle, { actor, requestId: null });
  }

  /** Most heartbeats say what is known; only news goes through the log. */
  #announce(operation: OperationId, { definition, report }: AnnounceRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    if (!this.#isNews(definition)) {
      const leader = raft.leaderAddress();
      if (!raft.isLeader() && leader !== null) {
        answer(operation, { type: 'not-leader', leader });
        return;
      }
      this.#takeHeartbeat(operation, definition.id, report, now);
      return;
    }
    const living = raft.isLeader() ? this.#addresses.livingAt(definition, now) : undefined;
    if (living !== undefined) {
      // It isn't acknowledged: a run that really is the next one says so again.
      this.#parts.log('address-contested', { upstream: definition.id, address: definition.address, living });
      answer(operation, { type: 'unknown' });
      return;
    }
    const settle = (outcome: ProposalOutcome, settledAt: MonotonicMillis): void => {
      const isTaken = outcome.type === 'applied' && outcome.result.type === 'accepted';
      if (isTaken) {
        this.#takeHeartbeat(operation, definition.id, report, settledAt);
      } else {
        answer(operation, this.#responseTo(outcome));
      }
    };
    const command = { type: 'upstream-announce', definition } as const;
    this.#parts.propose(command, settle, { actor: definition.id, requestId: null });
  }

  #takeHeartbeat(
    operation: OperationId,
    upstream: UpstreamId,
    report: HeldKeys | null,
    now: MonotonicMillis,
  ): void {
    const { heard, answer } = this.#parts;
    this.#addresses.heard(upstream, now);
    heard(upstream, report, (keys) => answer(operation, { type: 'heartbeat-taken', keys }), now);
  }

  #isNews({ id, leaving }: UpstreamDefinition): boolean {
    const { registry } = this.#parts.raft;
    const known = registry.upstreams().get(id);
    return !registry.isDeparted(id) && (known === undefined || (leaving && !known.definition.leaving));
  }

  /**
   * A change at revision R was applied here at `now`, so it was committed before. A router's configuration lease counts
   * from the stamp of a sync that a read round confirmed after the sync was sent. If that round began after the commit,
   * the answer covers R. Otherwise the stamp is older than the commit, and the lease has ended one lease after `now`,
   * with an allowance for the clocks' rates. Either way no router serves an older revision after that. This holds
   * for routers that this member never heard of, and whoever leads meanwhile.
   */
  #awaitRouters(operation: OperationId, result: CommandResult, now: MonotonicMillis): void {
    const { configLeaseMillis, clockRateError } = this.#parts.config.configLease;
    const longest = longestLeaseMillis({ leaseMillis: configLeaseMillis, clockRateError });
    this.#waiting.push({ operation, result, inForceAt: now + longest });
  }

  #responseTo(outcome: ProposalOutcome): OperatorResponse {
    switch (outcome.type) {
      case 'applied':
        return { type: 'result', result: outcome.result, inForce: false };
      case 'not-leader':
        return { type: 'not-leader', leader: this.#parts.raft.leaderAddress() };
      case 'rejected':
        return { type: 'rejected', message: outcome.reason };
      case 'unknown':
        return { type: 'unknown' };
    }
  }

  #query(operation: OperationId, request: QueryRequest, now: MonotonicMillis): void {
    const { raft, answer } = this.#parts;
    raft.read(now, (confirmed) => {
      const leader = raft.leaderAddress();
      answer(operation, confirmed ? this.#result(request) : { type: 'not-leader', leader });
    });
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
      case 'get-suspects':
        return { type: 'suspects', revision, suspects: registry.suspects() };
      case 'get-declaration':
        return { type: 'declaration', document: registry.declaredDocument() };
      case 'get-ledger':
        return { type: 'ledger', record: registry.ledgerRecord(request.service, request.key) ?? null };
    }
  }
}
