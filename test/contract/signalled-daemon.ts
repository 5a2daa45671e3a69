/** A real daemon whose settings file can be held back, so that signals meet each step of its start. */
import { type ChildProcess, spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, constants, openSync, readFileSync, renameSync, writeFileSync, writeSync } from 'node:fs';
import { constants as system } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { stringify } from 'yaml';

const WAIT_MILLIS = 30_000;
const POLL_MILLIS = 1;

export interface LogRecord {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

export class SignalledDaemon {
  readonly #file: string;
  readonly #log: string;
  readonly #child: ChildProcess;
  readonly #end: Promise<ProcessEnd>;
  #hasEnded = false;

  /** Starts `program`; the settings file is a pipe that is empty until `giveSettings`. */
  constructor(program: readonly string[], file: string) {
    this.#file = file;
    this.#log = `${file}.log`;
    expect(spawnSync('mkfifo', [file]).status).to.equal(0);
    const log = openSync(this.#log, 'w');
    this.#child = spawn(process.execPath, [...program, '--settings', file], { stdio: ['ignore', log, log] });
    closeSync(log);
    this.#end = once(this.#child, 'exit').then(([code, signal]) => {
      this.#hasEnded = true;
      return { code, signal };
    });
  }

  /** Lets the daemon read `first`, once it asks for it; later reads find `later`. */
  async giveSettings(first: object, later = first): Promise<void> {
    const pipe = await this.until('read of the settings', () => openForWriting(this.#file));
    writeFileSync(`${this.#file}.new`, stringify(later));
    renameSync(`${this.#file}.new`, this.#file);
    writeSync(pipe, stringify(first));
    closeSync(pipe);
  }

  send(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Waits until the process listens for signals. Node itself has a handler of the others, which ends the process. */
  async listens(): Promise<void> {
    await this.until('handler of SIGHUP', () => {
      const status = readFileSync(`/proc/${this.#child.pid}/status`, 'utf8');
      const mask = BigInt(`0x${/^SigCgt:\s+(\w+)$/m.exec(status)?.[1]}`);
      return (mask >> BigInt(system.signals.SIGHUP - 1)) & 1n ? true : undefined;
    });
  }

  records(event: string): LogRecord[] {
    return readFileSync(this.#log, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as LogRecord)
      .filter((record) => record.event === event);
  }

  /** Polls until `look` gives something; the daemon must not end meanwhile. */
  async until<Result>(
    what: string,
    look: () => Result | undefined | Promise<Result | undefined>,
  ): Promise<Result> {
    const until = Date.now() + WAIT_MILLIS;
    for (;;) {
      expect(this.#hasEnded, `it ended before: ${what}\n${this.logs()}`).to.equal(false);
      const result = await look();
      if (result !== undefined) {
        return result;
      }
      expect(Date.now(), `no ${what} in time\n${this.logs()}`).to.be.below(until);
      await sleep(POLL_MILLIS);
    }
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  end(): Promise<ProcessEnd> {
    return this.#end;
  }

  logs(): string {
    return readFileSync(this.#log, 'utf8');
  }

  close(): void {
    this.#child.kill('SIGKILL');
  }
}

/** Opens a pipe if it has a reader. */
function openForWriting(pipe: string): number | undefined {
  try {
    return openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK);
  } catch (thrown) {
    expect((thrown as NodeJS.ErrnoException).code).to.equal('ENXIO');
    return undefined;
  }
}
