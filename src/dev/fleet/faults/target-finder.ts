/** Finds the process or upstream that a fault is meant for, at the moment when it is due. */
import { TernmountError } from '../../../errors/ternmount-error.js';
import type { UpstreamId } from '../../../model/identifiers.js';
import type { Fleet } from '../fleet.js';
import { type ControlPlan, type UpstreamPlan, upstreamsOf } from '../fleet-plan.js';

/** Nothing fits the target now. */
export class TargetNotFoundError extends TernmountError {
  constructor(target: string) {
    super({ code: 'TERNMOUNT_FAULT_TARGET', retriable: false }, `a fault's target isn't there: ${target}`);
  }
}

export class TargetFinder {
  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** The process of a target: a role, an upstream with a process of its own, or a process by its name. */
  async process(target: string): Promise<string> {
    switch (target) {
      case 'leader':
        return (await this.leader()).name;
      case 'follower':
        return (await this.follower()).name;
      case 'owner':
        return this.owner();
      case 'unkeyed':
        return this.#alone(({ keyed }) => !keyed);
      case 'router':
        return this.#running(this.#fleet.plan.routers.map(({ name }) => name));
      default:
        return this.#fleet.specOf(target).name;
    }
  }

  async leader(): Promise<ControlPlan> {
    const leader = await this.#fleet.admin.findLeader();
    const control = this.#fleet.plan.control.find(({ admin }) => admin === leader?.admin);
    return control ?? this.#fail('leader');
  }

  async follower(): Promise<ControlPlan> {
    const leader = await this.leader();
    const { plan, supervisor } = this.#fleet;
    const follower = plan.control.find(({ name }) => name !== leader.name && supervisor.isRunning(name));
    return follower ?? this.#fail('follower');
  }

  /** Of the keyed upstreams with a process of their own, the one that owns most shards. */
  async owner(): Promise<UpstreamId> {
    const counts = new Map<UpstreamId, number>();
    for (const { owner } of await this.#fleet.admin.shards()) {
      if (owner !== null) {
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
      }
    }
    const owners = this.#aloneAndRunning().filter(({ keyed, id }) => keyed && counts.has(id));
    owners.sort((left, right) => (counts.get(right.id) as number) - (counts.get(left.id) as number));
    return owners[0]?.id ?? this.#fail('owner');
  }

  /** The upstream with this id, whichever process it is in. */
  upstream(id: UpstreamId): UpstreamPlan {
    return upstreamsOf(this.#fleet.plan).find((upstream) => upstream.id === id) ?? this.#fail(id);
  }

  #aloneAndRunning(): UpstreamPlan[] {
    const { plan, supervisor } = this.#fleet;
    return plan.upstreams
      .filter(({ name, upstreams }) => upstreams.length === 1 && supervisor.isRunning(name))
      .flatMap(({ upstreams }) => upstreams);
  }

  #alone(fits: (upstream: UpstreamPlan) => boolean): UpstreamId {
    return this.#aloneAndRunning().find(fits)?.id ?? this.#fail('upstream with a process of its own');
  }

  #running(names: readonly string[]): string {
    return names.find((name) => this.#fleet.supervisor.isRunning(name)) ?? this.#fail('running process');
  }

  #fail(target: string): never {
    throw new TargetNotFoundError(target);
  }
}
