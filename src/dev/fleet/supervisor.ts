/** Starts the processes of a fleet, disturbs them on command, and sees to it that none outlives the run. */
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { Address } from '../../model/identifiers.js';
import { parseAddress } from '../../wire/address.js';
import type { ProcessKind, ProcessSpec } from './process-spec.js';

const READY_TIMEOUT_MILLIS = 20_000;
const READY_POLL_MILLIS = 25;

/** A process ended, or never came up, when it should run. */
export class ProcessFailedError extends TernmountError {
  constructor(name: string, problem: string, log: string) {
    const options = { code: 'TERNMOUNT_PROCESS_FAILED', retriable: false, info: { name, log } };
    super(options, `${name} ${problem}; its log is ${log}`);
  }
}

/** How a process that was asked to stop ended. */
export type StopResult = 'ended' | 'killed';

interface RunningProcess {
  readonly spec: ProcessSpec;
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
  frozen: boolean;
  /** Set when the fleet wants it gone. */
  expectedToEnd: boolean;
}

/** Whether something accepts connections at `address`. */
async function acceptsConnections(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

export class Supervisor {
  readonly #running = new Map<string, RunningProcess>();
  readonly #unexpected: string[] = [];
  readonly #profileFolder: string | null;

  /** `profileFolder`: where each process leaves a processor profile when it ends; `null`: none. */
  constructor(profileFolder: string | null = null) {
    this.#profileFolder = profileFolder;
  }

  /** Processes that ended by themselves although nobody asked them to. */
  get unexpectedEnds(): readonly string[] {
    return this.#unexpected;
  }

  isRunning(name: string): boolean {
    return this.#running.has(name);
  }

  /** Number of processes that run. */
  get count(): number {
    return this.#running.size;
  }

  /** Processes of a kind that run. */
  namesOf(kind: ProcessKind): string[] {
    return [...this.#running.values()].filter(({ spec }) => spec.kind === kind).map(({ spec }) => spec.name);
  }

  pidOf(name: string): number | undefined {
    return this.#running.get(name)?.child.pid;
  }

  /** File with all that a process wrote. */
  logOf(spec: ProcessSpec): string {
    return join(spec.folder, 'log.jsonl');
  }

  /** Starts a process and waits until it is up. */
  async start(spec: ProcessSpec): Promise<void> {
    const process = this.#spawn(spec);
    const deadline = Date.now() + READY_TIMEOUT_MILLIS;
    while (spec.readyAddress !== null && !(await acceptsConnections(spec.readyAddress))) {
      if (!this.#running.has(spec.name)) {
        throw new ProcessFailedError(spec.name, 'ended before it was up', this.logOf(spec));
      }
      if (Date.now() > deadline) {
        throw new ProcessFailedError(spec.name, "isn't up in time", this.logOf(spec));
      }
      await delay(READY_POLL_MILLIS);
    }
    if (process.child.pid === undefined) {
      throw new ProcessFailedError(spec.name, "can't be started", this.logOf(spec));
    }
  }

  /** Runs a program to its end; throws if it fails. */
  async runToEnd(spec: ProcessSpec): Promise<void> {
    const process = this.#spawn(spec);
    process.expectedToEnd = true;
    const code = await process.exited;
    if (code !== 0) {
      throw new ProcessFailedError(spec.name, `ended with status ${code}`, this.logOf(spec));
    }
  }

  /** Resolves when the process has ended. */
  async waitForEnd(name: string): Promise<void> {
    const process = this.#running.get(name);
    if (process) {
      process.expectedToEnd = true;
      await process.exited;
    }
  }

  /** SIGKILL. */
  async kill(name: string): Promise<void> {
    const process = this.#require(name);
    process.expectedToEnd = true;
    process.child.kill('SIGKILL');
    await process.exited;
  }

  /** SIGSTOP. */
  freeze(name: string): void {
    const process = this.#require(name);
    process.frozen = true;
    process.child.kill('SIGSTOP');
  }

  /** SIGCONT; nothing if the process is gone or wasn't frozen. */
  thaw(name: string): void {
    const process = this.#running.get(name);
    if (process?.frozen) {
      process.frozen = false;
      process.child.kill('SIGCONT');
    }
  }

  /** SIGTERM, then SIGKILL once `graceMillis` is over. */
  async stop(name: string, graceMillis: number): Promise<StopResult> {
    const process = this.#running.get(name);
    if (!process) {
      return 'ended';
    }
    process.expectedToEnd = true;
    this.thaw(name);
    process.child.kill('SIGTERM');
    const aborter = new AbortController();
    const grace = delay(graceMillis, 'late' as const, { signal: aborter.signal }).catch(
      () => 'late' as const,
    );
    const first = await Promise.race([process.exited.then(() => 'ended' as const), grace]);
    aborter.abort();
    if (first === 'ended') {
      return 'ended';
    }
    process.child.kill('SIGKILL');
    await process.exited;
    return 'killed';
  }

  /** Stops all that still run; gives the names of those that had to be killed. */
  async stopAll(graceMillis: number): Promise<string[]> {
    const names = [...this.#running.keys()];
    const results = await Promise.all(names.map((name) => this.stop(name, graceMillis)));
    return names.filter((_, index) => results[index] === 'killed');
  }

  /** SIGKILL to all, without waiting: for the end of the runner itself. */
  killAllNow(): void {
    for (const { child } of this.#running.values()) {
      child.kill('SIGKILL');
    }
  }

  #require(name: string): RunningProcess {
    const process = this.#running.get(name);
    if (!process) {
      throw new RangeError(`no process ${name} runs`);
    }
    return process;
  }

  #spawn(spec: ProcessSpec): RunningProcess {
    mkdirSync(spec.folder, { recursive: true });
    const log = openSync(this.logOf(spec), 'a');
    const command = [...this.#profileArguments(spec), ...spec.command];
    const child = spawn(process.execPath, command, { stdio: ['ignore', log, log] });
    closeSync(log);
    const exited = new Promise<number | null>((resolve) => {
      child.once('error', () => resolve(null));
      child.once('exit', (code) => resolve(code));
    });
    const running: RunningProcess = { spec, child, exited, frozen: false, expectedToEnd: false };
    this.#running.set(spec.name, running);
    void exited.then(() => this.#forget(running));
    return running;
  }

  #profileArguments({ name }: ProcessSpec): string[] {
    const folder = this.#profileFolder;
    return folder === null
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`];
  }

  #forget(process: RunningProcess): void {
    const { name } = process.spec;
    if (this.#running.get(name) === process) {
      this.#running.delete(name);
    }
    if (!process.expectedToEnd) {
      this.#unexpected.push(name);
    }
  }
}
