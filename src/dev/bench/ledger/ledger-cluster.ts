/** Starts a real control group that syncs to disk, one real router, and an upstream for each service. */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { stringify } from 'yaml';
import type { Address } from '../../../model/identifiers.js';
import { OperatorCommandError } from '../../fleet/operator.js';
import { TERNMOUNT_PROGRAM } from '../../fleet/process-specs.js';
import { Supervisor } from '../../fleet/supervisor.js';
import { BENCH_IDENTITY } from '../proxy/bench-identity.js';
import { BenchChild } from '../proxy/child-process.js';

export const MEMBER_NUMBERS = [1, 2, 3] as const;
const ROUTER_NUMBER = 9;
const ZONE = 'zone-1';
const COMMAND_MILLIS = 30_000;
const STOP_GRACE_MILLIS = 10_000;
const INTERNAL_PORT = 8002;
const ADMIN_PORT = 8001;
const CALLERS_PORT = 8000;
const execute = promisify(execFile);

/** One service, not keyed, with one upstream. */
export interface LedgerService {
  readonly name: string;
  readonly repeatable: boolean;
}

export class LedgerCluster {
  private readonly folder = mkdtempSync(join(tmpdir(), 'ternmount-ledger-'));
  private readonly supervisor = new Supervisor();
  private upstreams: BenchChild | undefined;

  constructor(
    private readonly services: readonly LedgerService[],
    private readonly answerBytes: number,
  ) {
    writeFileSync(join(this.folder, 'secret'), BENCH_IDENTITY.secret);
  }

  get router(): Address {
    return `${this.host(ROUTER_NUMBER)}:${CALLERS_PORT}`;
  }

  /** Admin addresses of the control members. */
  get admins(): Address[] {
    return MEMBER_NUMBERS.map((number) => `${this.host(number)}:${ADMIN_PORT}`);
  }

  /** Starts all processes, declares the services, and resolves once the router is ready. */
  async start(): Promise<void> {
    for (const number of MEMBER_NUMBERS) {
      await this.startMember(number);
    }
    const fencedServices = this.services.map(({ name }) => name);
    const { answerBytes } = this;
    const count = fencedServices.length;
    this.upstreams = await BenchChild.start({ kind: 'upstream', count, answerBytes, fencedServices });
    for (const [index, service] of this.services.entries()) {
      await this.declare(service, this.upstreams.addresses[index] as Address);
    }
    await this.startRouter();
  }

  async stop(): Promise<void> {
    await this.supervisor.stop('router', STOP_GRACE_MILLIS);
    await Promise.all(
      MEMBER_NUMBERS.map((number) => this.supervisor.stop(memberName(number), STOP_GRACE_MILLIS)),
    );
    await this.upstreams?.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Returns an address derived from the process id, so that concurrent runs on one machine don't collide. */
  private host(number: number): string {
    return `127.71.${process.pid % 250}.${number}`;
  }

  private async startMember(number: number): Promise<void> {
    const name = memberName(number);
    const listen = `${this.host(number)}:${INTERNAL_PORT}`;
    const admin = `${this.host(number)}:${ADMIN_PORT}`;
    const dataFolder = join(this.folder, `${name}-data`);
    const settings = this.write(name, { ...this.shared(), dataFolder, listen, admin });
    const isFirst = number === MEMBER_NUMBERS[0];
    const replica = await this.operate('control', isFirst ? 'init' : 'join', '--settings', settings);
    await this.run(name, ['control', 'run', '--settings', settings], admin);
    if (!isFirst) {
      await this.operate('control', 'add', replica, '--address', listen, ...this.controlOption());
    }
  }

  private async declare({ name, repeatable }: LedgerService, address: Address): Promise<void> {
    const file = this.write(`service-${name}`, {
      kind: 'service',
      name,
      repeatable,
      deadline: '5s',
      slotsPerUpstream: 1024,
      queueLimit: 1024,
    });
    await this.operate('service', 'apply', file, '--no-wait', ...this.controlOption());
    const upstream = ['upstream', 'add', name, '--service', name, '--address', address, '--zone', ZONE];
    await this.operate(...upstream, '--no-wait', ...this.controlOption());
  }

  private async startRouter(): Promise<void> {
    const control = MEMBER_NUMBERS.map((number) => `${this.host(number)}:${INTERNAL_PORT}`);
    const admin = `${this.host(ROUTER_NUMBER)}:${ADMIN_PORT}`;
    const settings = this.write('router', {
      ...this.shared(),
      router: 'router-1',
      listen: this.router,
      admin,
      control,
      connectionsPerUpstream: 256,
    });
    await this.run('router', ['router', 'run', '--settings', settings], this.router);
  }

  private shared(): object {
    return { cluster: BENCH_IDENTITY.cluster, zone: ZONE, secretFile: join(this.folder, 'secret') };
  }

  private controlOption(): string[] {
    return ['--control', this.admins.join(',')];
  }

  private write(name: string, content: object): string {
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(file, stringify(content));
    return file;
  }

  private async run(name: string, words: readonly string[], readyAddress: Address): Promise<void> {
    await this.supervisor.start({
      name,
      kind: name === 'router' ? 'router' : 'control',
      zone: ZONE,
      host: '',
      command: [TERNMOUNT_PROGRAM, ...words],
      readyAddress,
      folder: join(this.folder, name),
    });
  }

  /** Runs an operator command and returns its output. */
  private async operate(...words: readonly string[]): Promise<string> {
    try {
      const options = { timeout: COMMAND_MILLIS };
      const { stdout } = await execute(process.execPath, [TERNMOUNT_PROGRAM, ...words], options);
      return stdout.trim();
    } catch (thrown) {
      const { code, stderr } = thrown as { code?: number; stderr?: string };
      throw new OperatorCommandError(words, { exitCode: code ?? null, output: stderr ?? '' });
    }
  }
}

function memberName(number: number): string {
  return `control-${number}`;
}
