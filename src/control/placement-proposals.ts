/** Turns what the planner decided into commands, many shards in each, and has those looked at anew that came to nothing. */
import { DeadlineQueue } from '../lease/deadline-queue.js';
import type { Epoch, Incarnation, MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import type { PlacementMove } from '../placement/index.js';
import type { LeaderCommand, Registry } from '../registry/types.js';
import { type LeaderProposals, RETRY_MILLIS } from './leader-proposals.js';

/** Shards in one command; an entry then stays far below the largest frame. */
const SHARDS_PER_COMMAND = 1000;

export interface PlacementProposalsParts {
  readonly proposals: LeaderProposals;
  readonly registry: () => Registry;
  readonly incarnationOf: (upstream: UpstreamId) => Incarnation | null;
  /** Whether an upstream can take a grant now. */
  readonly isReady: (upstream: UpstreamId) => boolean;
  /** The registry has a move that was proposed. */
  readonly moveStarted: (move: PlacementMove) => void;
}

/** A grant that its holder gave up for good. */
export interface ShardRelease {
  readonly shard: ShardId;
  /** Epoch of the grant. */
  readonly epoch: Epoch;
}

/** A shard and the upstream that is to be granted it. */
interface ShardTarget {
  readonly shard: ShardId;
  readonly to: UpstreamId;
}

export class PlacementProposals {
  readonly #parts: PlacementProposalsParts;
  /** Shards to look at anew, because a command about them was settled or couldn't be made. */
  readonly #looks = new DeadlineQueue<ShardId>();

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
      this.#send(batch, { type: 'move-start', moves: started }, () => this.#noteStarted(batch));
    }
  }

  /**
   * Proposes that these shards have no owner any more, each under its epoch, and that targets of planned moves are
   * granted theirs. The grants don't wait for the releases to be committed: the log keeps the order, and the registry
   * refuses a grant whose shard isn't released.
   */
  release(releases: readonly ShardRelease[], now: MonotonicMillis): void {
    const { proposals } = this.#parts;
    const due = releases.filter((release) => proposals.isFree(nameOf(release)));
    for (const batch of inBatches(due)) {
      proposals.propose(batch.map(nameOf), { type: 'shard-release', releases: batch });
      const targets = batch.flatMap(({ shard }) => this.#targetOf(shard));
      this.#grant(targets, now);
    }
  }

  takeDue(now: MonotonicMillis): ShardId[] {
    return this.#looks.takeDue(now);
  }

  nextDeadline(): MonotonicMillis {
    return this.#looks.next();
  }

  #grant(batch: readonly ShardTarget[], now: MonotonicMillis): void {
    const grants = batch.flatMap(({ shard, to }) => {
      const incarnation = this.#parts.incarnationOf(to);
      return incarnation === null ? [] : [{ shard, to, incarnation, expectedEpoch: this.#epochOf(shard) }];
    });
    if (grants.length < batch.length) {
      this.#lookAgain(batch, now + RETRY_MILLIS);
    }
    if (grants.length > 0) {
      this.#send(grants, { type: 'grant-batch', grants });
    }
  }

  #send(
    shards: readonly { readonly shard: ShardId }[],
    command: LeaderCommand,
    made: () => void = () => {},
  ): void {
    this.#parts.proposals.proposeOnce(command, (isMade, now) => {
      if (isMade) {
        made();
      }
      this.#lookAgain(shards, isMade ? now : now + RETRY_MILLIS);
    });
  }

  #noteStarted(moves: readonly PlacementMove[]): void {
    for (const move of moves) {
      if (this.#parts.registry().shards().get(move.shard)?.movingTo === move.to) {
        this.#parts.moveStarted(move);
      }
    }
  }

  #lookAgain(shards: readonly { readonly shard: ShardId }[], at: MonotonicMillis): void {
    for (const { shard } of shards) {
      this.#looks.set(shard, at);
    }
  }

  /** The target of a planned move, if there is one that can take a grant. */
  #targetOf(shard: ShardId): ShardTarget[] {
    const to = this.#parts.registry().shards().get(shard)?.movingTo ?? null;
    return to !== null && this.#parts.isReady(to) ? [{ shard, to }] : [];
  }

  #epochOf(shard: ShardId): number {
    return this.#parts.registry().shards().get(shard)?.epoch ?? 0;
  }
}

function nameOf({ shard, epoch }: ShardRelease): string {
  return `release ${shard} ${epoch}`;
}

function* inBatches<Item>(items: readonly Item[]): Iterable<readonly Item[]> {
  for (let start = 0; start < items.length; start += SHARDS_PER_COMMAND) {
    yield items.slice(start, start + SHARDS_PER_COMMAND);
  }
}
