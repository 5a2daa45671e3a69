/** Resolves the target of a fault to a process or upstream of the running fleet. */
import { TernmountError } from '../../../errors/ternmount-error.js';
import type { UpstreamId } from '../../../model/identifiers.js';
import type { ShardRecord } from '../../../registry/types.js';
import type { Fleet } from '../fleet.js';
import { type ControlPlan, type UpstreamPlan, upstreamsOf } from '../fleet-plan.js';

/** No running process or upstream matches the target. */
export class TargetNotFoundError extends TernmountError {
  constructor(target: string, seen = '') {
    super(
      { code: 'TERNMOUNT_FAULT_TARGET', retriable: false },
      `no process or upstream matches the fault target ${target}${seen}`,
    );
  }
}

/** For how many tries, and how far apart, a role that nobody has yet is waited for. */
const ROLE_TRIES = 30;
const ROLE_RETRY_MILLIS = 200;

/** Number of shards of each owner; `null`: shards without owner. */
type ShardCounts = ReadonlyMap<UpstreamId | null, number>;

function countByOwner(shards: readonly ShardRecord[]): ShardCounts {
  const counts = new Map<UpstreamId | null, number>();
  for (const { owner } of shards) {
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return counts;
}

export class TargetFinder {
  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Returns the process of a target: a role, an upstream with a dedicated process, or a process name. */
  async process(target: string): Promise<string> {
    switch (target) {
      case 'leader':
        return (await this.leader()).name;
      case 'follower':
        return (await this.follower()).name;
      case 'owner':
        return this.owner();
      case 'unkeyed':
        return this.#firstDedicated(({ keyed }) => !keyed);
      case 'router':
        return this.#firstRunning(this.#fleet.plan.routers.map(({ name }) => name));
      default:
        return this.#fleet.specOf(target).name;
    }
  }

  /** Waits a short time for an election. */
  async leader(): Promise<ControlPlan> {
    const { admin } = this.#fleet;
    let leader = await admin.findLeader();
    for (let tries = 1; leader === undefined && tries < ROLE_TRIES; tries += 1) {
      await this.#fleet.wait(ROLE_RETRY_MILLIS);
      leader = await admin.findLeader();
    }
    const control = this.#fleet.plan.control.find(({ admin }) => admin === leader?.admin);
    return control ?? this.#fail('leader');
  }

  async follower(): Promise<ControlPlan> {
    const leader = await this.leader();
    const { plan, supervisor } = this.#fleet;
    const follower = plan.control.find(({ name }) => name !== leader.name && supervisor.isRunning(name));
    return follower ?? this.#fail('follower');
  }

  /**
   * Returns the keyed upstream with a dedicated process that owns the most shards. Waits a short time: one whose lease has ended, or that came
   * last, owns none until some are moved to it.
   */
  async owner(): Promise<UpstreamId> {
    let counts = await this.#shardCounts();
    for (let tries = 1; this.#largestOwner(counts) === undefined && tries < ROLE_TRIES; tries += 1) {
      await this.#fleet.wait(ROLE_RETRY_MILLIS);
      counts = await this.#shardCounts();
    }
    return this.#largestOwner(counts) ?? this.#fail('owner', counts);
  }

  async #shardCounts(): Promise<ShardCounts> {
    return countByOwner(await this.#fleet.admin.shards());
  }

  #largestOwner(counts: ShardCounts): UpstreamId | undefined {
    const owners = this.#runningDedicated().filter(({ keyed, id }) => keyed && counts.has(id));
    owners.sort((left, right) => (counts.get(right.id) as number) - (counts.get(left.id) as number));
    return owners[0]?.id;
  }

  /** Returns the upstream with this id, in any process. */
  upstream(id: UpstreamId): UpstreamPlan {
    return upstreamsOf(this.#fleet.plan).find((upstream) => upstream.id === id) ?? this.#fail(id);
  }

  #runningDedicated(): UpstreamPlan[] {
    const { plan, supervisor } = this.#fleet;
    return plan.upstreams
      .filter(({ name, upstreams }) => upstreams.length === 1 && supervisor.isRunning(name))
      .flatMap(({ upstreams }) => upstreams);
  }

  #firstDedicated(matches: (upstream: UpstreamPlan) => boolean): UpstreamId {
    return this.#runningDedicated().find(matches)?.id ?? this.#fail('upstream with a dedicated process');
  }

  #firstRunning(names: readonly string[]): string {
    return names.find((name) => this.#fleet.supervisor.isRunning(name)) ?? this.#fail('running process');
  }

  #fail(target: string, counts?: ShardCounts): never {
    const dedicated = this.#runningDedicated().map(({ id }) => id);
    const shards = [...(counts ?? [])].map(([owner, count]) => `${owner ?? 'none'}: ${count}`);
    const seen = `; running with a process of their own: ${dedicated.join(', ')}; shards by owner: ${shards.join(', ')}`;
    throw new TargetNotFoundError(target, counts === undefined ? '' : seen);
  }
}
