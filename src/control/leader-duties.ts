/**
 * What a control member does while it leads: session leases and the placement of shards. It begins once the registry
 * holds everything that earlier leaders committed, and keeps nothing from one leadership to the next.
 */

import type { SessionCall, SessionChange, SessionView } from '../lease/granter-types.js';
import { LeaseGranter } from '../lease/lease-granter.js';
import type { SessionAnswer } from '../lease/types.js';
import type { MonotonicMillis, Term, UpstreamId } from '../model/identifiers.js';
import type { LeaderCommand } from '../registry/types.js';
import { LeaderProposals } from './leader-proposals.js';
import type { ProposeCommand } from './propose-command.js';
import type { RaftAdapter } from './raft-adapter.js';
import type { ShardAssigner } from './shard-assigner.js';
import { ShardCoordinator } from './shard-coordinator.js';
import type { ControlConfig } from './types.js';

/** How long to wait before a quorum round that failed is tried again. */
const ROUND_RETRY_MILLIS = 20;

export interface LeaderDutiesParts {
  readonly config: ControlConfig;
  readonly raft: RaftAdapter;
  readonly propose: ProposeCommand;
  readonly assigner: ShardAssigner;
  readonly call: (call: SessionCall) => void;
}

export class LeaderDuties {
  readonly #parts: LeaderDutiesParts;
  readonly #granter: LeaseGranter;
  readonly #proposals: LeaderProposals;
  readonly #coordinator: ShardCoordinator;
  #isReady = false;
  #isDirty = true;
  #isRoundOut = false;
  #roundNotBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #isOver = false;

  constructor(parts: LeaderDutiesParts, term: Term, electedAt: MonotonicMillis) {
    const { config, propose, assigner } = parts;
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
      assigner,
    });
    this.#catchUp(electedAt);
  }

  /** The leadership is over: answers that still come to this object change nothing. */
  end(): void {
    this.#isOver = true;
  }

  /** Routing data changed. */
  registryChanged(): void {
    this.#isDirty = true;
  }

  upstreamAnswered(
    upstream: UpstreamId,
    sequence: number,
    answer: SessionAnswer,
    now: MonotonicMillis,
  ): void {
    this.#granter.answered(upstream, sequence, answer, now);
    this.#isDirty = true;
  }

  upstreamFailed(upstream: UpstreamId, sequence: number, now: MonotonicMillis): void {
    this.#granter.failed(upstream, sequence, now);
    this.#isDirty = true;
  }

  run(now: MonotonicMillis): void {
    if (!this.#isReady || this.#isOver) {
      return;
    }
    const isRetryDue = this.#proposals.expire(now);
    if (this.#isDirty || isRetryDue || now >= this.#coordinator.nextDeadline()) {
      this.#isDirty = false;
      this.#coordinator.plan(this.#parts.raft.registry, now);
    }
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
      this.#coordinator.nextDeadline(),
      this.#granter.nextDeadline(now),
    );
  }

  sessions(): SessionView[] {
    return this.#granter.views();
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
      this.#isDirty = true;
    });
  }

  #proposeChanges(now: MonotonicMillis): void {
    for (const change of this.#granter.changes(now)) {
      const name = `session ${change.upstream}`;
      if (this.#proposals.isFree(name, now)) {
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
    const mark = this.#granter.markRound();
    this.#parts.raft.read(now, (confirmed, settledAt) => {
      this.#isRoundOut = false;
      if (confirmed && !this.#isOver) {
        this.#granter.confirmed(mark);
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
