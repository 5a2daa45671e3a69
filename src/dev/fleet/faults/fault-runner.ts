/** Applies the faults of a run when they are due, and reverts them. */
import { machineMillis } from '../../journal/machine-clock.js';
import { FAULT_KINDS } from '../../standins/upstream/fault-switchboard.js';
import type { FaultType, ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import { AnnouncedFaults } from './announced-faults.js';
import { FaultLog, type Target } from './fault-log.js';
import { NetworkFaults } from './network-faults.js';
import { ProcessFaults } from './process-faults.js';
import { ProcessTurns } from './process-turns.js';
import { TargetFinder } from './target-finder.js';
import { UpstreamFaults } from './upstream-faults.js';

const MILLIS_PER_SECOND = 1000;
/** Time before a fault at which its target is resolved. */
const TARGET_LOOKUP_MILLIS = 250;
/** Faults whose target is one process or upstream. */
const SINGLE_TARGET_TYPES: ReadonlySet<FaultType> = new Set([
  'kill',
  'stop',
  'freeze',
  'drain',
  'lose-disk',
  'second-loss',
  'platform-gone',
  'platform-leaving',
  'platform-leaving-all',
  ...FAULT_KINDS,
]);
/** Faults after which their process is started or goes on again. */
const RESTART_TYPES: ReadonlySet<FaultType> = new Set(['kill', 'stop', 'freeze', 'lose-disk']);
/** Faults that a process is told of, which it must run for. */
const TOLD_TYPES: ReadonlySet<FaultType> = new Set(FAULT_KINDS);
/** Faults that make an owner lose its keys without a planned handover. */
const OWNER_LOSS_TYPES: ReadonlySet<FaultType> = new Set(['kill', 'freeze']);

export class FaultRunner {
  readonly log: FaultLog;
  readonly #fleet: Fleet;
  readonly #targets: TargetFinder;
  readonly #processes: ProcessFaults;
  readonly #network: NetworkFaults;
  readonly #announced: AnnouncedFaults;
  readonly #upstreams: UpstreamFaults;
  readonly #turns = new ProcessTurns();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.log = new FaultLog(fleet);
    this.#targets = new TargetFinder(fleet);
    this.#processes = new ProcessFaults(fleet, this.log, this.#targets);
    this.#network = new NetworkFaults(fleet, this.log);
    this.#announced = new AnnouncedFaults(fleet, this.log);
    this.#upstreams = new UpstreamFaults(fleet, this.log);
  }

  /** Applies all faults; `startedAt` is the start of the load on the machine's clock. */
  async run(faults: readonly ScheduledFault[], startedAt: number): Promise<void> {
    await Promise.all(faults.map((fault) => this.#runOne(fault, startedAt)));
    await this.log.waitForNewOwners();
  }

  /** Kills an owner, waits until other owners serve its keys, and restarts it. Returns its name. */
  async killOwnerAndRestart(): Promise<string> {
    const fault = { type: 'kill', target: 'owner', at: 0, seconds: 0 } as const;
    const target = await this.#resolveTarget(fault);
    await this.#processes.killNow(fault, target);
    await this.log.waitForNewOwners();
    await this.#fleet.startProcess(target.name);
    return target.name;
  }

  async #runOne(fault: ScheduledFault, startedAt: number): Promise<void> {
    const dueAt = startedAt + fault.at * MILLIS_PER_SECOND;
    await this.#fleet.wait(dueAt - TARGET_LOOKUP_MILLIS - machineMillis());
    const target = await this.#resolveTarget(fault);
    await this.#fleet.wait(dueAt - machineMillis());
    const length = fault.seconds * MILLIS_PER_SECOND;
    if (!RESTART_TYPES.has(fault.type)) {
      if (TOLD_TYPES.has(fault.type)) {
        await this.#turns.untilFree(target.name);
      }
      return this.#apply(fault, target, length);
    }
    await this.#turns.take(target.name, async (hasWaited) => {
      const now = hasWaited ? await this.#targetNamed(fault.type, target.name) : target;
      await this.#apply(fault, now, length);
    });
  }

  /** Resolves the target ahead of time, so that simultaneous faults don't wait for each other's effects. */
  async #resolveTarget({ type, target }: ScheduledFault): Promise<Target> {
    if (!SINGLE_TARGET_TYPES.has(type)) {
      return { name: target, owned: undefined };
    }
    return this.#targetNamed(type, await this.#targets.process(target));
  }

  async #targetNamed(type: FaultType, name: string): Promise<Target> {
    return { name, owned: OWNER_LOSS_TYPES.has(type) ? await this.log.ownedBy(name) : undefined };
  }

  async #apply(fault: ScheduledFault, target: Target, length: number): Promise<void> {
    switch (fault.type) {
      case 'kill':
        return this.#processes.kill(fault, target, length);
      case 'stop':
        return this.#processes.stop(fault, target, length);
      case 'freeze':
        return this.#processes.freeze(fault, target, length);
      case 'lose-disk':
        return this.#processes.loseDisk(fault, target, length);
      case 'second-loss':
        return this.#processes.loseDiskThenLeader(fault, target, length);
      case 'roll':
        return this.#processes.roll(fault, length);
      case 'drain':
        return this.#announced.drain(fault, target, length);
      case 'platform-gone':
        return this.#announced.listFalseState(fault, target, 'gone', length);
      case 'platform-leaving':
      case 'platform-leaving-all':
        return this.#announced.listFalseState(fault, target, 'leaving', length);
      case 'cut':
      case 'isolate':
      case 'half-open':
        return this.#network.hold(fault, length);
      case 'end-connections':
        return this.#network.endConnections(fault, length);
      default:
        return this.#upstreams.hold(fault, fault.type, target, length);
    }
  }
}
