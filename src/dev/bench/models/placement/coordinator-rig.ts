/**
 * Runs the leader's coordination without network, log or disk: the product's coordinator, granter and registry, real
 * grant holders for the servers, and commands that are applied as soon as they are proposed.
 */
import { LeaderProposals } from '../../../../control/leader-proposals.js';
import type { SettleProposal } from '../../../../control/pending-proposals.js';
import type { ServiceMeasures } from '../../../../control/service-measures.js';
import { ShardCoordinator } from '../../../../control/shard-coordinator.js';
import {
  createGrantHolder,
  DEFAULT_LEASE_TIMINGS,
  type GrantHolder,
  LeaseGranter,
  type SessionCall,
} from '../../../../lease/index.js';
import type { UpstreamId } from '../../../../model/identifiers.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../../../model/service.js';
import { createRegistry, type Registry } from '../../../../registry/index.js';
import type { Command } from '../../../../registry/types.js';

const CLUSTER = 'bench';
const STEP_MILLIS = 1;
const SYSTEM = 'system';
const MAX_STEPS = 10_000;

interface Proposal {
  readonly command: Command;
  readonly settle: SettleProposal;
}

/** The state of one leader beside the registry. */
interface Leadership {
  readonly granter: LeaseGranter;
  readonly proposals: LeaderProposals;
  readonly coordinator: ShardCoordinator;
}

/** Elapsed real time of an operation. */
export interface RealTime {
  readonly millis: number;
  /** Longest uninterrupted run of the coordinator, during which the leader does nothing else. */
  readonly longestRunMillis: number;
}

export class CoordinatorRig {
  readonly registry: Registry = createRegistry();
  /** Virtual time, which is also the clock of every server. */
  now = 0;
  /** Number of server answers processed. */
  answers = 0;
  readonly #holders = new Map<UpstreamId, GrantHolder>();
  readonly #lost = new Set<UpstreamId>();
  #queue: Proposal[] = [];
  #term = 0;
  #leadership: Leadership | undefined;
  #longestRunMillis = 0;

  declareService(definition: ServiceDefinition): void {
    this.#apply({ type: 'service-apply', definition, expected: null });
  }

  /** Declares a server whose session is open. */
  addServer(definition: UpstreamDefinition): void {
    const { id } = definition;
    const incarnation = `${id}#1`;
    this.#holders.set(id, createGrantHolder({ cluster: CLUSTER, upstream: id, incarnation }));
    this.#apply({ type: 'upstream-apply', definition, expected: null });
    this.#apply({ type: 'session-open', upstream: id, incarnation, previous: null });
  }

  /** Starts a new leader from the state of the registry. */
  changeLeader(): RealTime {
    this.#term += 1;
    this.#queue = [];
    const granter = new LeaseGranter({
      cluster: CLUSTER,
      leader: `m${this.#term}`,
      term: this.#term,
      electedAt: this.now,
      timings: DEFAULT_LEASE_TIMINGS,
      seed: this.#term,
    });
    const proposals = new LeaderProposals((command, settle) => this.#queue.push({ command, settle }));
    const coordinator = new ShardCoordinator({ granter, proposals, registry: () => this.registry });
    this.#leadership = { granter, proposals, coordinator };
    return this.#timed(() => {
      coordinator.begin(this.now);
      this.#settle();
    });
  }

  /** Runs until `isDone` returns true; servers answer immediately. */
  runUntil(isDone: () => boolean): RealTime {
    return this.#timed(() => {
      for (let step = 0; !isDone(); step += 1) {
        if (step === MAX_STEPS) {
          throw new Error(`the condition was not met within ${MAX_STEPS} steps`);
        }
        this.now += STEP_MILLIS;
        this.step();
      }
    });
  }

  /** Runs one step of the leader: coordination, commands, calls and their answers, a quorum round. */
  step(): void {
    const { granter } = this.#leader();
    this.#settle();
    for (const call of granter.takeCalls(this.now)) {
      this.#answer(call);
    }
    granter.confirmRound(granter.markRound(), this.now);
  }

  /** Ends the leases of servers and grants their shards to others. */
  loseAndPlace(ids: readonly UpstreamId[]): RealTime {
    return this.#timed(() => {
      for (const upstream of ids) {
        this.#lost.add(upstream);
        this.#apply({ type: 'session-end', upstream, incarnation: `${upstream}#1` });
      }
      this.#settle();
    });
  }

  /** Returns the leader's measurements of each service. */
  measures(): ServiceMeasures[] {
    return this.#leader().coordinator.measures(this.now);
  }

  unowned(service: string): number {
    return this.registry.unownedShards(service).size;
  }

  /** Returns the number of shards that a server holds according to its own grant holder. */
  heldCount(upstream: UpstreamId): number {
    return this.#holders.get(upstream)?.status(this.now).held ?? 0;
  }

  #leader(): Leadership {
    if (this.#leadership === undefined) {
      throw new Error('changeLeader must be called first');
    }
    return this.#leadership;
  }

  #timed(run: () => void): RealTime {
    this.#longestRunMillis = 0;
    const startedAt = performance.now();
    run();
    return { millis: performance.now() - startedAt, longestRunMillis: this.#longestRunMillis };
  }

  #answer({ upstream, request }: SessionCall): void {
    const { granter, coordinator } = this.#leader();
    const holder = this.#holders.get(upstream);
    if (holder === undefined || this.#lost.has(upstream)) {
      granter.handleFailure(upstream, request.sequence, this.now);
    } else {
      const answer = holder.handleSession(request, this.now);
      granter.handleAnswer(upstream, request.sequence, answer, this.now);
      this.answers += 1;
    }
    coordinator.sessionChanged(upstream);
    this.#settle();
  }

  /** Runs the coordinator and applies its proposals until no deadline is due. */
  #settle(): void {
    const { coordinator, proposals } = this.#leader();
    do {
      proposals.expire(this.now);
      const startedAt = performance.now();
      coordinator.run(this.now);
      this.#longestRunMillis = Math.max(this.#longestRunMillis, performance.now() - startedAt);
      this.#applyQueue();
    } while (coordinator.nextDeadline(this.now) <= this.now);
  }

  #applyQueue(): void {
    const queue = this.#queue;
    this.#queue = [];
    for (const { command, settle } of queue) {
      const { result, revision } = this.#apply(command);
      settle({ type: 'applied', result, revision }, this.now);
    }
  }

  #apply(command: Command) {
    const revision = this.registry.revision + 1;
    const envelope = { requestId: null, actor: SYSTEM, at: this.now, command };
    const { result, changes } = this.registry.apply(revision, envelope);
    this.#leadership?.coordinator.registryChanged(changes);
    return { result, revision };
  }
}
