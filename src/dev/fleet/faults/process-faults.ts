/** Faults of processes: kill, planned stop, freeze, loss of a disk, rolling restart. */
import { rmSync } from 'node:fs';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { ControlPlan } from '../fleet-plan.js';
import type { FaultLog, Target } from './fault-log.js';
import type { TargetFinder } from './target-finder.js';

/** Pause between two processes of a rolling restart. */
const ROLL_PAUSE_MILLIS = 500;

export class ProcessFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;
  readonly #targets: TargetFinder;

  constructor(fleet: Fleet, log: FaultLog, targets: TargetFinder) {
    this.#fleet = fleet;
    this.#log = log;
    this.#targets = targets;
  }

  /** SIGKILL, and a restart after `length` milliseconds. */
  async kill(fault: ScheduledFault, target: Target, length: number): Promise<void> {
    await this.killNow(fault, target);
    await this.#fleet.wait(length);
    await this.#fleet.startProcess(target.name);
  }

  /** SIGKILL. */
  async killNow(fault: ScheduledFault, { name, owned }: Target): Promise<void> {
    const { journal, supervisor } = this.#fleet;
    journal.write({ event: 'killed', process: name });
    this.#log.note(fault, name);
    const killed = supervisor.kill(name);
    this.#log.watchLoss(owned);
    await killed;
  }

  /** Planned stop, and a restart after `length` milliseconds. */
  async stop(fault: ScheduledFault, { name }: Target, length: number): Promise<void> {
    this.#log.note(fault, name);
    await this.#fleet.stopProcess(name);
    await this.#fleet.wait(length);
    await this.#fleet.startProcess(name);
  }

  /** SIGSTOP, and SIGCONT after `length` milliseconds. */
  async freeze(fault: ScheduledFault, { name, owned }: Target, length: number): Promise<void> {
    const { journal, supervisor } = this.#fleet;
    journal.write({ event: 'frozen', process: name });
    this.#log.note(fault, name);
    supervisor.freeze(name);
    this.#log.watchLoss(owned);
    try {
      await this.#fleet.wait(length);
    } finally {
      journal.write({ event: 'thawed', process: name });
      supervisor.thaw(name);
    }
  }

  /** Kills a control member and deletes its data; the member rejoins as a new replica that replaces the old one. */
  async loseDisk(fault: ScheduledFault, { name }: Target, length: number): Promise<void> {
    const { admin, journal, operator, supervisor } = this.#fleet;
    const control = this.#fleet.plan.control.find((member) => member.name === name) as ControlPlan;
    const oldReplica = (await admin.statusOf(control.admin)).raft.self;
    journal.write({ event: 'disk-lost', process: name });
    this.#log.note(fault, name);
    await supervisor.kill(name);
    rmSync(control.dataFolder, { recursive: true });
    await this.#fleet.wait(length);
    const newReplica = await this.#fleet.joinControl(control);
    const { advertised } = control.internal;
    await operator.runOrThrow(['control', 'replace', oldReplica, newReplica, '--address', advertised]);
    journal.write({ event: 'repaired', process: name });
  }

  /** Kills the leader as soon as the repair of another member's lost disk is reported. */
  async loseDiskThenLeader(fault: ScheduledFault, target: Target, length: number): Promise<void> {
    const leader = await this.#targets.leader();
    await this.loseDisk(fault, target, length);
    await this.kill(fault, { name: leader.name, owned: undefined }, length);
  }

  /** Planned stop and restart of one process after the other. */
  async roll(fault: ScheduledFault, length: number): Promise<void> {
    for (const name of this.#namesToRoll(fault.target)) {
      this.#log.note(fault, name);
      await this.#fleet.stopProcess(name);
      await this.#fleet.wait(length);
      await this.#fleet.startProcess(name);
      await this.#fleet.wait(ROLL_PAUSE_MILLIS);
    }
  }

  #namesToRoll(target: string): string[] {
    const { control, routers, upstreams } = this.#fleet.plan;
    switch (target) {
      case 'control':
        return control.map(({ name }) => name);
      case 'routers':
        return routers.map(({ name }) => name);
      default:
        return upstreams.filter((process) => process.upstreams.length === 1).map(({ name }) => name);
    }
  }
}
