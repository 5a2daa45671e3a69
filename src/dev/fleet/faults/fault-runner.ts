/** Carries out the faults of a run when they are due, and takes them back. */
import { rmSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import got from 'got';
import type { Zone } from '../../../model/identifiers.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { LinkRule } from '../../standins/link/link-settings.js';
import type { FaultType, ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { ControlPlan } from '../fleet-plan.js';
import { type OwnedKeys, type OwnerLoss, OwnerLossProbe } from '../observe/owner-loss-probe.js';
import { TargetFinder } from './target-finder.js';

const MILLIS_PER_SECOND = 1000;
/** Pause between two processes of a rolling restart. */
const ROLL_PAUSE_MILLIS = 500;

/** Time before a fault at which its target is looked up. */
const LOOK_UP_MILLIS = 250;
/** Faults of one process or upstream. */
const PROCESS_FAULTS: ReadonlySet<FaultType> = new Set([
  'kill',
  'stop',
  'freeze',
  'drain',
  'lose-disk',
  'second-loss',
  'platform-gone',
]);

/** Who a fault meets. */
interface Target {
  readonly name: string;
  /** What it owned right before, if it is to lose it. */
  readonly owned: OwnedKeys | undefined;
}

/** A fault that was carried out. */
export interface FaultDone {
  readonly fault: ScheduledFault;
  /** Who it met. */
  readonly target: string;
  readonly at: number;
}

export class FaultRunner {
  readonly ownerLosses: OwnerLoss[] = [];
  readonly done: FaultDone[] = [];
  readonly #fleet: Fleet;
  readonly targets: TargetFinder;
  readonly #probe: OwnerLossProbe;
  readonly #watches: Promise<void>[] = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.targets = new TargetFinder(fleet);
    this.#probe = new OwnerLossProbe(fleet);
  }

  /** Carries out all faults; `startedAt` is when the load began, on the machine's clock. */
  async run(faults: readonly ScheduledFault[], startedAt: number): Promise<void> {
    const work = faults.map(async (fault) => {
      const dueAt = startedAt + fault.at * MILLIS_PER_SECOND;
      await this.#wait(dueAt - LOOK_UP_MILLIS - machineMillis());
      const target = await this.#lookUp(fault);
      await this.#wait(dueAt - machineMillis());
      await this.#carryOut(fault, target);
    });
    await Promise.all(work);
    await this.waitForNewOwners();
  }

  async close(): Promise<void> {
    await this.#probe.close();
  }

  async #wait(millis: number): Promise<void> {
    await delay(Math.max(0, millis), undefined, { signal: this.#fleet.signal });
  }

  #note(fault: ScheduledFault, target: string): void {
    this.done.push({ fault, target, at: machineMillis() });
  }

  /** Finds out who is meant, ahead of time, so that faults of one moment don't wait for each other's effects. */
  async #lookUp({ type, target }: ScheduledFault): Promise<Target> {
    if (!PROCESS_FAULTS.has(type)) {
      return { name: target, owned: undefined };
    }
    const name = await this.targets.process(target);
    const losesOwner = type === 'kill' || type === 'freeze';
    return { name, owned: losesOwner ? await this.#ownedBy(name) : undefined };
  }

  async #carryOut(fault: ScheduledFault, target: Target): Promise<void> {
    const length = fault.seconds * MILLIS_PER_SECOND;
    switch (fault.type) {
      case 'kill':
        return this.#kill(fault, target, length);
      case 'stop':
        return this.#stop(fault, target, length);
      case 'freeze':
        return this.#freeze(fault, target, length);
      case 'drain':
        return this.#drain(fault, target, length);
      case 'lose-disk':
        return this.#loseDisk(fault, target, length);
      case 'second-loss':
        await this.#loseDisk(fault, target, length);
        return this.#killLeader(fault, length);
      case 'cut':
      case 'isolate':
      case 'half-open':
        return this.#hold(fault, length);
      case 'platform-gone':
        return this.#lieOfPlatform(fault, target, length);
      case 'roll':
        return this.#roll(fault, length);
    }
  }

  /** Kills a process, watches the keys that it owned, and starts it again. */
  async #kill(fault: ScheduledFault, target: Target, length: number): Promise<void> {
    await this.#killNow(fault, target);
    await this.#wait(length);
    await this.#fleet.startProcess(target.name);
  }

  /** Resolves when each key of the owners lost so far is served by others. */
  async waitForNewOwners(): Promise<void> {
    await Promise.all(this.#watches);
  }

  /** SIGKILL; the loss of an owner is measured in the background until each key has a new one. */
  async killAndWatch(fault: ScheduledFault, name: string): Promise<void> {
    await this.#killNow(fault, { name, owned: await this.#ownedBy(name) });
  }

  /** What has just been repaired must be enough for the next loss. */
  async #killLeader(fault: ScheduledFault, length: number): Promise<void> {
    const { name } = await this.targets.leader();
    await this.#kill(fault, { name, owned: undefined }, length);
  }

  async #killNow(fault: ScheduledFault, { name, owned }: Target): Promise<void> {
    const { journal, supervisor } = this.#fleet;
    journal.write({ event: 'killed', process: name });
    this.#note(fault, name);
    const killed = supervisor.kill(name);
    this.#watch(owned);
    await killed;
  }

  async #ownedBy(process: string): Promise<OwnedKeys | undefined> {
    const isUpstream = this.#fleet.specOf(process).kind === 'upstream';
    return isUpstream ? this.#probe.keysOf(process) : undefined;
  }

  #watch(owned: OwnedKeys | undefined): void {
    if (owned !== undefined && owned.keys.length > 0) {
      this.#watches.push(this.#probe.watch(owned).then((loss) => void this.ownerLosses.push(loss)));
    }
  }

  async #stop(fault: ScheduledFault, { name }: Target, length: number): Promise<void> {
    this.#note(fault, name);
    await this.#fleet.stopProcess(name);
    await this.#wait(length);
    await this.#fleet.startProcess(name);
  }

  async #freeze(fault: ScheduledFault, { name, owned }: Target, length: number): Promise<void> {
    const { journal, supervisor } = this.#fleet;
    journal.write({ event: 'frozen', process: name });
    this.#note(fault, name);
    supervisor.freeze(name);
    this.#watch(owned);
    try {
      await this.#wait(length);
    } finally {
      journal.write({ event: 'thawed', process: name });
      supervisor.thaw(name);
    }
  }

  async #drain(fault: ScheduledFault, { name: upstream }: Target, length: number): Promise<void> {
    const { journal, operator } = this.#fleet;
    this.#note(fault, upstream);
    await operator.must(['upstream', 'drain', upstream, '--no-wait']);
    journal.write({ event: 'drain-accepted', upstream });
    await this.#wait(length);
    journal.write({ event: 'return-accepted', upstream });
    await operator.must(['upstream', 'drain', upstream, '--undo', '--no-wait']);
  }

  /** A killed member comes back with an empty disk, as a new replica, and takes the old one's place. */
  async #loseDisk(fault: ScheduledFault, { name }: Target, length: number): Promise<void> {
    const { admin, journal, operator, supervisor } = this.#fleet;
    const control = this.#fleet.plan.control.find((member) => member.name === name) as ControlPlan;
    const oldReplica = (await admin.statusOf(control.admin)).raft.self;
    journal.write({ event: 'disk-lost', process: name });
    this.#note(fault, name);
    await supervisor.kill(name);
    rmSync(control.dataFolder, { recursive: true });
    await this.#wait(length);
    const newReplica = await this.#fleet.joinControl(control);
    const { advertised } = control.internal;
    await operator.must(['control', 'replace', oldReplica, newReplica, '--address', advertised]);
    journal.write({ event: 'repaired', process: name });
  }

  async #hold(fault: ScheduledFault, length: number): Promise<void> {
    const directions = this.#directionsOf(fault);
    this.#note(fault, fault.target);
    for (const zones of directions) {
      this.#fleet.journal.write({ event: 'cut', zones });
    }
    await this.#applyRules(directions, 'hold');
    try {
      await this.#wait(length);
    } finally {
      for (const zones of directions) {
        this.#fleet.journal.write({ event: 'healed', zones });
      }
      await this.#applyRules(directions, 'open');
    }
  }

  /** Directions from zone to zone in which bytes wait. */
  #directionsOf({ type, target }: ScheduledFault): (readonly [Zone, Zone])[] {
    const both = (one: Zone, other: Zone): (readonly [Zone, Zone])[] => [
      [one, other],
      [other, one],
    ];
    if (type === 'half-open') {
      const [from = '', to = ''] = target.split('>');
      return [[from, to]];
    }
    if (type === 'cut') {
      const [one = '', other = ''] = target.split('|');
      return both(one, other);
    }
    const others = this.#fleet.plan.deployment.zones.filter((zone) => zone !== target);
    return others.flatMap((zone) => both(target, zone));
  }

  async #applyRules(directions: readonly (readonly [Zone, Zone])[], state: LinkRule['state']): Promise<void> {
    const calls = this.#fleet.plan.links.flatMap(({ admin }) =>
      directions.map(([from, to]) => got.post(`http://${admin}/rules`, { json: { from, to, state } })),
    );
    await Promise.all(calls);
  }

  async #lieOfPlatform(fault: ScheduledFault, { name: upstream }: Target, length: number): Promise<void> {
    const { journal, plan } = this.#fleet;
    const url = `http://${plan.platform.listen}/machines/${upstream}`;
    this.#note(fault, upstream);
    journal.write({ event: 'platform-lied', upstream });
    await got.put(url, { json: { state: 'gone' } });
    await this.#wait(length);
    await got.put(url, { json: { state: 'live' } });
    journal.write({ event: 'platform-corrected', upstream });
  }

  async #roll(fault: ScheduledFault, length: number): Promise<void> {
    for (const name of this.#namesToRoll(fault.target)) {
      this.#note(fault, name);
      await this.#fleet.stopProcess(name);
      await this.#wait(length);
      await this.#fleet.startProcess(name);
      await this.#wait(ROLL_PAUSE_MILLIS);
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
