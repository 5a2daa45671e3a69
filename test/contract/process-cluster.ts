/** A cluster of real processes on addresses of its own, for tests; every process is ended by `close`. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, openSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { stringify } from 'yaml';
import type { StatusBody } from '../../src/cli/api-types.js';
import { ControlClient } from '../../src/cli/control-client.js';
import { processIoFor, runLine } from './command-line-run.js';

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const DEV_PROGRAM = fileURLToPath(new URL('../../src/dev/main.js', import.meta.url));
const WAIT_MILLIS = 20_000;
const POLL_MILLIS = 20;

export class ProcessCluster {
  readonly folder = mkdtempSync(join(tmpdir(), 'ternmount-run-'));
  readonly #running = new Map<string, ChildProcess>();
  readonly #members: string[] = [];

  /** `network`: second number of the addresses, so that tests don't meet. */
  constructor(private readonly network: number) {
    writeFileSync(join(this.folder, 'secret'), 'a secret of a test cluster');
  }

  /** Address of its own for each process number. */
  host(number: number): string {
    return `127.${this.network}.${process.pid % 250}.${number}`;
  }

  write(name: string, content: object): string {
    const path = join(this.folder, name);
    writeFileSync(path, stringify(content));
    return path;
  }

  /** Settings that all daemons share. */
  get shared(): object {
    return { cluster: 'demo', zone: 'zone-1', secretFile: join(this.folder, 'secret') };
  }

  /** Makes the folder of control member `number` and starts it; gives its replica id. */
  async startMember(
    number: number,
    verb: 'init' | 'join',
    settings: object = {},
    dataFolder = `data-${number}`,
  ): Promise<string> {
    const file = this.write(`control-${number}.yaml`, {
      ...this.shared,
      dataFolder: join(this.folder, dataFolder),
      listen: `${this.host(number)}:8002`,
      admin: `${this.host(number)}:8001`,
      ...settings,
    });
    const made = await runLine(['control', verb, '--settings', file]);
    expect(made.exitCode, made.errors).to.equal(0);
    this.#members.push(`${this.host(number)}:8001`);
    this.runMember(number);
    return made.output.trim();
  }

  /** Starts a member whose folder is there. */
  runMember(number: number): void {
    this.start(`control-${number}`, 'control', 'run', '--settings', this.file(`control-${number}.yaml`));
  }

  file(name: string): string {
    return join(this.folder, name);
  }

  start(name: string, ...words: readonly string[]): void {
    this.#spawn(name, [PROGRAM, ...words]);
  }

  /** Starts a process with a module that is loaded before its program. */
  startWith(name: string, module: string, ...words: readonly string[]): void {
    this.#spawn(name, ['--import', module, PROGRAM, ...words]);
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#running.get(name)?.kill(signal);
  }

  startStandin(name: string, kind: string, settings: object): void {
    this.#spawn(name, [DEV_PROGRAM, 'standin', kind, '--settings', this.write(`${name}.yaml`, settings)]);
  }

  /** Whether a process that was started hasn't ended, by itself or otherwise. */
  isRunning(name: string): boolean {
    const child = this.#running.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Memory of a process that is in use. */
  residentBytes(name: string): number {
    const status = readFileSync(`/proc/${this.#running.get(name)?.pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
  }

  /** Ends a process; gives its exit code. */
  async end(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = this.#running.get(name) as ChildProcess;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    if (this.#running.get(name) === child) {
      this.#running.delete(name);
    }
    return child.exitCode;
  }

  /** Runs an operator's command, which must succeed; gives what it wrote. */
  async operator(...words: readonly string[]): Promise<string> {
    const result = await runLine(words, { TERNMOUNT_CONTROL_ADMIN: this.#members.join(',') });
    expect(result.exitCode, `${words.join(' ')}: ${result.errors}${this.logs()}`).to.equal(0);
    return result.output;
  }

  client(): ControlClient {
    const options = { addresses: [...new Set(this.#members)], token: null, timeoutMillis: WAIT_MILLIS };
    return new ControlClient(options, processIoFor(WAIT_MILLIS));
  }

  async status(number: number): Promise<StatusBody | undefined> {
    try {
      const response = await fetch(`http://${this.host(number)}:8001/v1/status`);
      return (await response.json()) as StatusBody;
    } catch {
      return undefined;
    }
  }

  /** Polls until `look` gives something. */
  async until<Result>(what: string, look: () => Promise<Result | undefined>): Promise<Result> {
    const until = Date.now() + WAIT_MILLIS;
    for (;;) {
      const result = await look();
      if (result !== undefined) {
        return result;
      }
      expect(Date.now(), `no ${what} in time${this.logs()}`).to.be.below(until);
      await sleep(POLL_MILLIS);
    }
  }

  /** Bytes of the files of a data folder, by name. */
  sizes(dataFolder: string): Record<string, number> {
    const path = join(this.folder, dataFolder);
    return Object.fromEntries(readdirSync(path).map((name) => [name, statSync(join(path, name)).size]));
  }

  lose(dataFolder: string): void {
    rmSync(join(this.folder, dataFolder), { recursive: true });
  }

  /** What the processes wrote, for messages of failures. */
  logs(): string {
    const names = readdirSync(this.folder).filter((name) => name.endsWith('.log'));
    return names
      .map((name) => `\n--- ${name}\n${readFileSync(this.file(name), 'utf8').slice(-2000)}`)
      .join('');
  }

  close(): void {
    for (const child of this.#running.values()) {
      child.kill('SIGKILL');
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  #spawn(name: string, words: readonly string[]): void {
    const log = openSync(this.file(`${name}.log`), 'a');
    const child = spawn(process.execPath, [...words], { stdio: ['ignore', log, log] });
    this.#running.set(name, child);
  }
}
