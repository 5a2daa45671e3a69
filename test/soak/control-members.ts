/** Three control members as real processes, with disks that can be lost, hang or be full; what ends by itself is started again. */
import { cpSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { StatusBody } from '../../src/cli/api-types.js';
import { ProcessCluster } from '../contract/process-cluster.js';
import { type DiskFault, diskFaultFile } from './disk-fault.js';

export const MEMBERS = [1, 2, 3] as const;
const FAULTY_DISK = fileURLToPath(new URL('./faulty-disk.js', import.meta.url));
const ADMIN_PORT = 8001;
const INTERNAL_PORT = 8002;
const RESTART_MILLIS = 500;
/** As the platform: a stop that takes longer is ended by force. */
const GRACE_MILLIS = 6000;
const POLL_MILLIS = 20;
/** A process whose start takes longer is on a machine that is slowed: it counts as back only this long before it answers. */
const START_MILLIS = 500;

export class ControlMembers {
  /** What was done to the members, and when. */
  readonly events: string[] = [];
  /** Members that ended without a signal. */
  readonly endedByThemselves: string[] = [];
  readonly #cluster: ProcessCluster;
  readonly #replacesReplicas: boolean;
  readonly #startedAt = performance.now();
  /** Members that ought to run. */
  readonly #wanted = new Set<number>();
  readonly #runSince = new Map<number, number>();
  /** When the process of each member counts as running again, once it answers. */
  readonly #starts = new Map<number, Promise<number>>();
  #isBootstrap = true;
  #isOver = false;
  #disturbances = 0;
  #disturbedAt = performance.now();

  /** `network`: second number of the addresses. `replacesReplicas`: whether a new replica gets the vote of a lost one; not in a sabotage. */
  constructor(network: number, replacesReplicas: boolean) {
    this.#replacesReplicas = replacesReplicas;
    this.#cluster = new ProcessCluster(network);
  }

  get addresses(): string[] {
    return MEMBERS.map((number) => `${this.#cluster.host(number)}:${ADMIN_PORT}`);
  }

  /** Time since the last disturbance ended; 0 while one lasts. */
  get calmMillis(): number {
    return this.#disturbances > 0 ? 0 : performance.now() - this.#disturbedAt;
  }

  note(text: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1000;
    this.events.push(`${seconds.toFixed(2)} ${text}`);
  }

  start(): void {
    for (const number of MEMBERS) {
      this.run(number);
      void this.#supervise(number);
    }
  }

  /** Called once the whole system has started: settings that are written from now on say so. */
  endBootstrap(): void {
    this.#isBootstrap = false;
  }

  /** Counts as a disturbance until `deed` ends. */
  async disturb(deed: () => Promise<void>): Promise<void> {
    this.#disturbances += 1;
    try {
      await deed();
    } finally {
      this.#disturbances -= 1;
      this.#disturbedAt = performance.now();
    }
  }

  run(number: number): void {
    this.#wanted.add(number);
    if (this.#isOver || this.#cluster.isRunning(nameOf(number))) {
      return;
    }
    this.#runSince.set(number, performance.now());
    const settings = this.#cluster.write(`${nameOf(number)}.yaml`, this.#settingsOf(number));
    this.#cluster.startWith(nameOf(number), FAULTY_DISK, 'control', 'run', '--settings', settings);
    this.#starts.set(number, this.#followStart(number));
  }

  /** When the member's process counts as running; resolves once it answers or has ended. */
  started(number: number): Promise<number> {
    return this.#starts.get(number) ?? Promise.resolve(Number.NEGATIVE_INFINITY);
  }

  /** Time since the member's process was started; 0 if it doesn't run. */
  ageMillis(number: number): number {
    const isRunning = this.#cluster.isRunning(nameOf(number));
    return isRunning ? performance.now() - (this.#runSince.get(number) ?? 0) : 0;
  }

  signal(number: number, signal: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#cluster.signal(nameOf(number), signal);
  }

  async kill(number: number): Promise<void> {
    this.#wanted.delete(number);
    if (this.#cluster.isRunning(nameOf(number))) {
      await this.#cluster.end(nameOf(number), 'SIGKILL');
    }
  }

  /** Stops a member as planned, by force after the grace time. */
  async stop(number: number): Promise<void> {
    this.#wanted.delete(number);
    const name = nameOf(number);
    const until = performance.now() + GRACE_MILLIS;
    this.#cluster.signal(name, 'SIGTERM');
    while (this.#cluster.isRunning(name) && performance.now() < until) {
      await sleep(POLL_MILLIS);
    }
    await this.kill(number);
  }

  /** Kills a member and takes its disk away. */
  async loseDisk(number: number): Promise<void> {
    await this.kill(number);
    rmSync(this.#dataFolder(number), { recursive: true, force: true });
  }

  breakDisk(number: number, fault: DiskFault): void {
    writeFileSync(this.#faultFile(number), fault);
  }

  mendDisk(number: number): void {
    rmSync(this.#faultFile(number), { force: true });
  }

  status(number: number): Promise<StatusBody | undefined> {
    return this.#cluster.status(number);
  }

  /** The member that counts itself as leader, with the highest term if there are several. */
  async leader(): Promise<number | undefined> {
    const leaders = (await this.#rafts()).filter(({ raft }) => raft?.role === 'leader');
    leaders.sort((one, other) => (other.raft?.term ?? 0) - (one.raft?.term ?? 0));
    return leaders[0]?.number;
  }

  /** Whether the replica that runs as this member has a vote and no change of voters is under way. */
  async hasVote(number: number): Promise<boolean> {
    const raft = (await this.status(number))?.raft;
    return (
      raft?.membership.voters.includes(raft.self) === true && raft.membership.outgoingVoters.length === 0
    );
  }

  /** Whether all members have joined: each votes, follows a leader or leads, and has entries on its disk. */
  async haveAllJoined(): Promise<boolean> {
    const rafts = await this.#rafts();
    return rafts.every(({ raft }) => {
      const isVoter = raft?.membership.voters.includes(raft.self) === true;
      return isVoter && raft.leader !== null && raft.commitIndex > 0;
    });
  }

  /** Number of members that run with a vote by the membership of the leader; 0 without leader. */
  async runningVoters(): Promise<number> {
    const rafts = await this.#rafts();
    const leader = rafts.find(({ raft }) => raft?.role === 'leader')?.raft;
    return rafts.filter(({ raft }) => raft !== undefined && leader?.membership.voters.includes(raft.self))
      .length;
  }

  /** The last line of a member's log for each of the events. */
  lastLines(number: number, events: readonly string[]): string[] {
    const lines = readFileSync(this.#cluster.file(`${nameOf(number)}.log`), 'utf8').split('\n');
    return events.flatMap((event) => {
      const line = lines.findLast((candidate) => candidate.includes(`"event":"${event}"`));
      return line === undefined ? [] : [`${nameOf(number)}: ${line}`];
    });
  }

  /** Copies the logs to a folder, which outlasts `close`. */
  keepLogs(folder: string): void {
    const isKept = (path: string): boolean =>
      path === this.#cluster.folder || /\.(log|yaml)$/.test(basename(path));
    cpSync(this.#cluster.folder, folder, { recursive: true, filter: isKept });
  }

  close(): void {
    this.#isOver = true;
    this.#cluster.close();
  }

  async #rafts() {
    return Promise.all(MEMBERS.map(async (number) => ({ number, raft: (await this.status(number))?.raft })));
  }

  async #followStart(number: number): Promise<number> {
    const spawnedAt = performance.now();
    this.#disturbances += 1;
    while (this.#cluster.isRunning(nameOf(number)) && (await this.status(number)) === undefined) {
      await sleep(POLL_MILLIS);
    }
    const startedAt = Math.max(spawnedAt, performance.now() - START_MILLIS);
    this.#disturbances -= 1;
    this.#disturbedAt = Math.max(this.#disturbedAt, startedAt);
    return startedAt;
  }

  async #supervise(number: number): Promise<void> {
    while (!this.#isOver) {
      await sleep(POLL_MILLIS);
      if (this.#wanted.has(number) && !this.#cluster.isRunning(nameOf(number)) && !this.#isOver) {
        this.endedByThemselves.push(nameOf(number));
        this.note(`${nameOf(number)} ended by itself`);
        await this.disturb(() => sleep(RESTART_MILLIS));
        this.run(number);
      }
    }
  }

  #dataFolder(number: number): string {
    return this.#cluster.file(`data-${number}`);
  }

  #faultFile(number: number): string {
    return diskFaultFile(this.#cluster.file(`${nameOf(number)}.yaml`));
  }

  #settingsOf(number: number): object {
    const host = this.#cluster.host(number);
    return {
      cluster: 'soak',
      replicaName: nameOf(number),
      zone: `zone-${number}`,
      zones: MEMBERS.map((each) => `zone-${each}`),
      dataFolder: this.#dataFolder(number),
      listen: `${host}:${INTERNAL_PORT}`,
      outgoing: host,
      admin: `${host}:${ADMIN_PORT}`,
      bootstrap: this.#isBootstrap,
      seeds: MEMBERS.map((each) => `${this.#cluster.host(each)}:${INTERNAL_PORT}`),
      toleratedLosses: 1,
      ...(this.#replacesReplicas && { replaceAfter: '2s' }),
      trustedNetwork: true,
      lockFolder: false,
      timings: { electionTimeout: '450ms', heartbeat: '150ms', configSync: '900ms' },
    };
  }
}

export function nameOf(number: number): string {
  return `control-${number}`;
}
