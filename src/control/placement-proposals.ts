/** Turns the planner's decisions into batched commands, and schedules another check of their shards once a command is settled. */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { Epoch, Incarnation, MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { PlacementMove } from '../placement/index.js';
import type { LeaderCommand, Registry } from '../registry/types.js';
import { type LeaderProposals, PROPOSAL_RETRY_MILLIS } from './leader-proposals.js';

/** Maximum number of shards in a command, which keeps its entry far below the maximum frame size. */
const SHARDS_PER_COMMAND = 1000;

export interface PlacementProposalsParts {
  readonly proposals: LeaderProposals;
  readonly registry: () => Registry;
  readonly incarnationOf: (upstream: UpstreamId) => Incarnation | null;
  /** Returns whether an upstream can be granted a shard now. */
  readonly isReady: (upstream: UpstreamId) => boolean;
  /** Called once a proposed move is in the registry. */
  readonly onMoveStarted: (move: PlacementMove) => void;
}

/** A grant whose holder has released it permanently. */
export interface ShardRelease {
  readonly shard: ShardId;
  /** Epoch of the grant. */
  readonly epoch: Epoch;
}

/** A shard and the upstream to which it is to be granted. */
interface ShardTarget {
  readonly shard: ShardId;
  readonly to: UpstreamId;
}

export class PlacementProposals {
  readonly #parts: PlacementProposalsParts;
  /** When to check shards again whose command was settled or couldn't be proposed. */
  readonly #rechecks = new DeadlineQueue<ShardId>();

  constructor(parts: PlacementProposalsParts) {
    this.#parts = parts;
  }

  propose(moves: readonly PlacementMove[], now: MonotonicMillis): void {
    const grants = moves.filter(({ from }) => from === null);
    const handovers = moves.filter(({ from }) => from !== null);
    for (const batch of inBatches(grants)) {
      this.#grant(batch, now);
    }
    for (const batch of inBatches(handovers)) {
      const started = batch.map(({ shard, to }) => ({ shard, to, epoch: this.#epochOf(shard) }));
      this.#send(batch, { type: 'move-start', moves: started }, () => this.#reportStarted(batch));
    }
  }

  /**
   * Proposes to clear the owners of these shards, each under its epoch, and to grant those with a planned move to
   * their targets. The grants don't wait for the releases to be committed: the log keeps the order, and the registry
   * refuses a grant whose shard isn't released.
   */
  release(releases: readonly ShardRelease[], now: MonotonicMillis): void {
    const { proposals } = this.#parts;
    const due = releases.filter((release) => proposals.canPropose(proposalName(release)));
    for (const batch of inBatches(due)) {
      proposals.propose(batch.map(proposalName), { type: 'shard-release', releases: batch });
      const targets = batch.flatMap(({ shard }) => this.#targetOf(shard));
      this.#grant(targets, now);
    }
  }

  takeDueRechecks(now: MonotonicMillis): ShardId[] {
    return this.#rechecks.takeDue(now);
  }

  nextDeadline(): MonotonicMillis {
    return this.#rechecks.next();
  }

  #grant(batch: readonly ShardTarget[], now: MonotonicMillis): void {
    const grants = batch.flatMap(({ shard, to }) => {
      const incarnation = this.#parts.incarnationOf(to);
      return incarnation === null ? [] : [{ shard, to, incarnation, expectedEpoch: this.#epochOf(shard) }];
    });
    if (grants.length < batch.length) {
      this.#scheduleRecheck(batch, now + PROPOSAL_RETRY_MILLIS);
    }
    if (grants.length > 0) {
      this.#send(grants, { type: 'grant-batch', grants });
    }
  }

  #send(
    shards: readonly { readonly shard: ShardId }[],
    command: LeaderCommand,
    onApplied: () => void = () => {},
  ): void {
    this.#parts.proposals.proposeOnce(command, (isApplied, now) => {
      if (isApplied) {
        onApplied();
      }
      this.#scheduleRecheck(shards, isApplied ? now : now + PROPOSAL_RETRY_MILLIS);
    });
  }

  #reportStarted(moves: readonly PlacementMove[]): void {
    for (const move of moves) {
      if (this.#parts.registry().shards().get(move.shard)?.movingTo === move.to) {
        this.#parts.onMoveStarted(move);
      }
    }
  }

  #scheduleRecheck(shards: readonly { readonly shard: ShardId }[], at: MonotonicMillis): void {
    for (const { shard } of shards) {
      this.#rechecks.set(shard, at);
    }
  }

  /** Returns the target of a planned move, if there is one and it can be granted the shard. */
  #targetOf(shard: ShardId): ShardTarget[] {
    const to = this.#parts.registry().shards().get(shard)?.movingTo ?? null;
    return to !== null && this.#parts.isReady(to) ? [{ shard, to }] : [];
  }

  #epochOf(shard: ShardId): number {
    return this.#parts.registry().shards().get(shard)?.epoch ?? 0;
  }
}

function proposalName({ shard, epoch }: ShardRelease): string {
  return `release ${shard} ${epoch}`;
}

function* inBatches<Item>(items: readonly Item[]): Iterable<readonly Item[]> {
  for (let start = 0; start < items.length; start += SHARDS_PER_COMMAND) {
    yield items.slice(start, start + SHARDS_PER_COMMAND);
  }
}
