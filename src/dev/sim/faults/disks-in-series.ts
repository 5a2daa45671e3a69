/**
 * Control members lose their disks one after the other while operators make changes all the time: the next one as soon as the platform
 * may lose it, or as soon as the new replica has its vote; at times the others lose power at the same moment. Each loss is checked: a
 * leader, an accepted change and the new replica's vote, each within a bound. Not among `FAULT_KINDS`, so that the runs of existing seeds
 * stay the same; needs `replaceAfterMillis` and a long fault phase.
 */
import type { SimControl } from '../control/sim-control.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import { pickIfAllRunning } from './disk-faults.js';
import type { FaultKind } from './fault.js';

/** Until the whole run's fault phase ends. */
const SERIES_MILLIS = 60_000;
/** The platform may lose the next disk this long after all members run again; the new replica must have its vote by then. */
const NEXT_LOSS_MILLIS = 4000;
/** A leader is elected and a change is accepted within this time after all members run again. */
const CHANGE_BOUND_MILLIS = 2500;
const MAX_DOWN_MILLIS = 1200;
const LOOK_MILLIS = 10;
/** Time between a vote and a loss directly after it. */
const MAX_SOON_MILLIS = 60;
const LEADER_STRUCK_SHARE = 0.5;
const POWER_LOST_SHARE = 0.3;
const SOON_SHARE = 0.3;
/** Changes that are under way when a disk is lost. */
const BURST_CHANGES = 4;
const MAX_BURST_AGE_MILLIS = 60;

/** Names under which a run counts losses. */
export const DISK_LOSS_COUNTS = {
  alone: 'disk lost while all others ran',
  others: 'disk lost while all others lost power',
  leader: 'disk of the leader lost',
  soon: 'disk lost directly after a vote',
  voted: 'vote of a new replica in time',
} as const;

class DiskLossSeries {
  readonly #simulation: Simulation;
  readonly #random: Random;
  #losses = 0;

  constructor(simulation: Simulation, random: Random) {
    this.#simulation = simulation;
    this.#random = random;
  }

  /** Makes changes, and loses the disk of `victim` while they are under way. */
  begin(victim: SimControl): void {
    this.#simulation.firstOperator().burst(BURST_CHANGES);
    const burstAgeMillis = this.#random.between(0, MAX_BURST_AGE_MILLIS);
    this.#simulation.time.after(burstAgeMillis, () => this.#lose(victim));
  }

  #lose(victim: SimControl): void {
    const { controls, recorder, time } = this.#simulation;
    this.#losses += 1;
    const others = controls.filter((control) => control !== victim);
    const dark = this.#random.chance(POWER_LOST_SHARE) ? others : [];
    recorder.count(dark.length > 0 ? DISK_LOSS_COUNTS.others : DISK_LOSS_COUNTS.alone);
    recorder.note({ diskLost: victim.name, dark: dark.map(({ name }) => name), at: time.now });
    for (const control of [victim, ...dark]) {
      control.losesPower = true;
      control.crash(true);
    }
    victim.loseDisk();
    let backAt = time.now;
    for (const control of [victim, ...dark]) {
      const downMillis = this.#random.between(0, MAX_DOWN_MILLIS);
      backAt = Math.max(backAt, time.now + downMillis);
      time.after(downMillis, () => control.start());
    }
    time.at(backAt, () => this.#follow(victim));
  }

  /** Checks what must hold after a loss, from when all members run again, and plans the next loss. */
  #follow(victim: SimControl): void {
    const { time, recorder } = this.#simulation;
    const number = this.#losses;
    const accepted = this.#acceptedChanges();
    const ifLast = (look: () => void) => () => {
      if (this.#losses === number) {
        look();
      }
    };
    let hasVoted = false;
    const checkChange = (): void => {
      this.#observe(`leader after the loss of ${victim.name}`, this.#simulation.leader() !== undefined);
      this.#observe(`changes after the loss of ${victim.name}`, this.#acceptedChanges() > accepted);
    };
    const checkVote = (): void => {
      this.#observe(`vote of ${victim.replica}`, hasVoted);
      this.#continue();
    };
    const isNextSoon = this.#random.chance(SOON_SHARE);
    const onVote = (): void => {
      hasVoted = true;
      recorder.count(DISK_LOSS_COUNTS.voted);
      if (isNextSoon && !this.#simulation.areFaultsOver) {
        recorder.count(DISK_LOSS_COUNTS.soon);
        time.after(
          this.#random.between(0, MAX_SOON_MILLIS),
          ifLast(() => this.#continue()),
        );
      }
    };
    time.after(CHANGE_BOUND_MILLIS, ifLast(checkChange));
    time.after(NEXT_LOSS_MILLIS, ifLast(checkVote));
    const lookForVote = ifLast(() => {
      if (this.#hasVote(victim)) {
        onVote();
      } else {
        time.after(LOOK_MILLIS, lookForVote);
      }
    });
    lookForVote();
  }

  #continue(): void {
    const { areFaultsOver, controls } = this.#simulation;
    if (areFaultsOver) {
      this.#simulation.isRepairing = false;
      return;
    }
    const leader = this.#simulation.leader();
    const isLeaderStruck = leader !== undefined && this.#random.chance(LEADER_STRUCK_SHARE);
    if (isLeaderStruck) {
      this.#simulation.recorder.count(DISK_LOSS_COUNTS.leader);
    }
    this.begin(isLeaderStruck ? leader : this.#random.pick(controls));
  }

  /** Whether the leader knows that the replica votes, that the change of voters is complete, and that the replica holds it. */
  #hasVote(control: SimControl): boolean {
    const leader = this.#simulation.leader();
    const status = leader?.status();
    if (status === undefined || status === null) {
      return false;
    }
    const { membership, matchIndexes, commitIndex, self } = status;
    const isVoter = membership.voters.includes(control.replica) && membership.outgoingVoters.length === 0;
    const holdsCommitted = self === control.replica || (matchIndexes[control.replica] ?? 0) >= commitIndex;
    return isVoter && holdsCommitted;
  }

  #acceptedChanges(): number {
    const { operations } = this.#simulation.recorder;
    return (operations.get('change accepted') ?? 0) + (operations.get('change accepted in force') ?? 0);
  }

  #observe(subject: string, recovered: boolean): void {
    const { recorder, time } = this.#simulation;
    recorder.record({ type: 'recovery-observed', at: time.now, subject, recovered });
  }
}

export const DISKS_IN_SERIES: readonly FaultKind[] = [
  {
    name: 'disks-in-series',
    durationRange: [SERIES_MILLIS, SERIES_MILLIS],
    inject(simulation, random) {
      const victim = pickIfAllRunning(simulation, random);
      if (victim === undefined) {
        return null;
      }
      simulation.isRepairing = true;
      new DiskLossSeries(simulation, random).begin(victim);
      return { detail: `${victim.name} first`, heal: () => {} };
    },
  },
];
