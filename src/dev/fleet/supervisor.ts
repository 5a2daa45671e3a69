/** Starts, signals and stops the processes of a fleet, and ensures that none outlives the run. */
import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, mkdirSync, openSync, readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { Address } from '../../model/identifiers.js';
import { parseAddress } from '../../wire/address.js';
import type { ProcessKind, ProcessSpec } from './process-spec.js';

const READY_TIMEOUT_MILLIS = 20_000;
const READY_POLL_MILLIS = 25;
/** How much of a log's end an error names: the folder of a fleet is often removed with its run. */
const LOG_TAIL_BYTES = 4096;

/** A process exited unexpectedly or did not become ready. */
export class ProcessFailedError extends TernmountError {
  constructor(name: string, problem: string, log: string) {
    const options = { code: 'TERNMOUNT_PROCESS_FAILED', retriable: false, info: { name, log } };
    super(options, `${name} ${problem}; its log is ${log}, which ends with:\n${endOf(log)}`);
  }
}

/** How a process ended: with a status, by a signal, or because it couldn't be started. */
type ProcessEnd =
  | { readonly status: number }
  | { readonly signal: NodeJS.Signals }
  | { readonly error: Error };

/** How a process ended after a stop request. */
export type StopResult = 'ended' | 'killed';

interface RunningProcess {
  readonly spec: ProcessSpec;
  readonly child: ChildProcess;
  readonly exited: Promise<ProcessEnd>;
  frozen: boolean;
  /** Set when the runner expects the process to end. */
  expectedToEnd: boolean;
}

/** Returns the last bytes of a log, or why they can't be read. */
function endOf(log: string): string {
  try {
    return readFileSync(log).subarray(-LOG_TAIL_BYTES).toString();
  } catch (thrown) {
    return toError(thrown).message;
  }
}

function describeEnd(end: ProcessEnd): string {
  if ('status' in end) {
    return `status ${end.status}`;
  }
  return 'signal' in end ? end.signal : end.error.message;
}

/** Returns whether `address` accepts connections. */
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
  readonly #unexpectedNames: string[] = [];
  readonly #profileFolder: string | null;

  /** `profileFolder`: folder for the CPU profile that each process writes when it ends; `null`: none. */
  constructor(profileFolder: string | null = null) {
    this.#profileFolder = profileFolder;
  }

  /** Names of processes that ended without a stop request. */
  get unexpectedEnds(): readonly string[] {
    return this.#unexpectedNames;
  }

  isRunning(name: string): boolean {
    return this.#running.has(name);
  }

  /** Number of running processes. */
  get count(): number {
    return this.#running.size;
  }

  /** Names of the running processes of a kind. */
  namesOf(kind: ProcessKind): string[] {
    return [...this.#running.values()].filter(({ spec }) => spec.kind === kind).map(({ spec }) => spec.name);
  }

  pidOf(name: string): number | undefined {
    return this.#running.get(name)?.child.pid;
  }

  /** File with the standard output and standard error of a process. */
  logOf(spec: ProcessSpec): string {
    return join(spec.folder, 'log.jsonl');
  }

  /** Starts a process and waits until it is ready. */
  async start(spec: ProcessSpec): Promise<void> {
    const process = this.#spawn(spec);
    const deadline = Date.now() + READY_TIMEOUT_MILLIS;
    while (spec.readyAddress !== null && !(await acceptsConnections(spec.readyAddress))) {
      if (!this.#running.has(spec.name)) {
        const problem = `ended before it was ready, with ${describeEnd(await process.exited)}`;
        throw new ProcessFailedError(spec.name, problem, this.logOf(spec));
      }
      if (Date.now() > deadline) {
        throw new ProcessFailedError(spec.name, 'was not ready in time', this.logOf(spec));
      }
      await delay(READY_POLL_MILLIS);
    }
    if (process.child.pid === undefined) {
      throw new ProcessFailedError(spec.name, 'could not be started', this.logOf(spec));
    }
  }

  /** Runs a process to its end; throws if it fails. */
  async runToEnd(spec: ProcessSpec): Promise<void> {
    const process = this.#spawn(spec);
    process.expectedToEnd = true;
    const end = await process.exited;
    if (!('status' in end) || end.status !== 0) {
      throw new ProcessFailedError(spec.name, `ended with ${describeEnd(end)}`, this.logOf(spec));
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
    const process = this.#runningProcess(name);
    process.expectedToEnd = true;
    process.child.kill('SIGKILL');
    await process.exited;
  }

  /** SIGSTOP. */
  freeze(name: string): void {
    const process = this.#runningProcess(name);
    process.frozen = true;
    process.child.kill('SIGSTOP');
  }

  /** SIGCONT; does nothing if the process has ended or wasn't frozen. */
  thaw(name: string): void {
    const process = this.#running.get(name);
    if (process?.frozen) {
      process.frozen = false;
      process.child.kill('SIGCONT');
    }
  }

  /** SIGTERM, then SIGKILL after `graceMillis`. */
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

  /** Stops all running processes; returns the names of the killed ones. */
  async stopAll(graceMillis: number): Promise<string[]> {
    const names = [...this.#running.keys()];
    const results = await Promise.all(names.map((name) => this.stop(name, graceMillis)));
    return names.filter((_, index) => results[index] === 'killed');
  }

  /** Sends SIGKILL to all processes without waiting, for the exit of the runner itself. */
  killAllNow(): void {
    for (const { child } of this.#running.values()) {
      child.kill('SIGKILL');
    }
  }

  #runningProcess(name: string): RunningProcess {
    const process = this.#running.get(name);
    if (!process) {
      throw new RangeError(`process ${name} is not running`);
    }
    return process;
  }

  #spawn(spec: ProcessSpec): RunningProcess {
    mkdirSync(spec.folder, { recursive: true });
    const log = openSync(this.logOf(spec), 'a');
    const command = [...this.#profileArguments(spec), ...spec.command];
    const child = spawn(process.execPath, command, { stdio: ['ignore', log, log] });
    closeSync(log);
    const exited = new Promise<ProcessEnd>((resolve) => {
      child.once('error', (error) => resolve({ error }));
      child.once('exit', (status, signal) =>
        resolve(signal === null ? { status: status as number } : { signal }),
      );
    });
    const running: RunningProcess = { spec, child, exited, frozen: false, expectedToEnd: false };
    this.#running.set(spec.name, running);
    void exited.then(() => this.#onExit(running));
    return running;
  }

  #profileArguments({ name }: ProcessSpec): string[] {
    const folder = this.#profileFolder;
    return folder === null
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`];
  }

  #onExit(process: RunningProcess): void {
    const { name } = process.spec;
    if (this.#running.get(name) === process) {
      this.#running.delete(name);
    }
    if (!process.expectedToEnd) {
      this.#unexpectedNames.push(name);
    }
  }
}
