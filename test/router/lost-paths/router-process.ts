/** A router as a process of its own, with a control stand-in of its own that gives it its own way to each upstream. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { openSync, readFileSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { BENCH_IDENTITY } from '../../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../../src/dev/bench/proxy/control-standin.js';
import type { RelayPeer } from '../../../src/model/relay.js';
import { freeAddresses } from '../free-address.js';
import { snapshotOf } from '../router-fixture.js';

const PROGRAM = fileURLToPath(new URL('../../../src/cli/main.js', import.meta.url));
const START_MILLIS = 20_000;
const POLL_MILLIS = 20;

interface RouterAddresses {
  readonly listen: string;
  readonly admin: string;
  readonly relay: string;
}

export class RouterProcess {
  readonly name: string;
  readonly addresses: RouterAddresses;
  readonly #folder: string;
  readonly #control: ControlStandin;
  #peers: readonly RelayPeer[] = [];
  #child: ChildProcess | null = null;

  private constructor(name: string, folder: string, control: ControlStandin, addresses: RouterAddresses) {
    this.name = name;
    this.#folder = folder;
    this.#control = control;
    this.addresses = addresses;
  }

  /**
   * `host`: an IP address that nothing connects from, so that its ports are free again after a stop. `upstreams`: addresses over which this
   * router reaches each of them.
   */
  static async create(
    name: string,
    host: string,
    folder: string,
    upstreams: readonly string[],
  ): Promise<RouterProcess> {
    const control = new ControlStandin(snapshotOf(upstreams, { announced: true }));
    const address = await control.start();
    const [listen, admin, relay] = (await freeAddresses(3, host)) as [string, string, string];
    const addresses = { listen, admin, relay };
    const { cluster, secret } = BENCH_IDENTITY;
    const secretFile = join(folder, 'secret');
    writeFileSync(secretFile, secret);
    const settings = { cluster, secretFile, router: name, zone: 'a', control: [address], ...addresses };
    writeFileSync(join(folder, `${name}.yaml`), stringify(settings));
    return new RouterProcess(name, folder, control, addresses);
  }

  get peer(): RelayPeer {
    return { router: this.name, zone: 'a', address: this.addresses.relay };
  }

  setPeers(peers: readonly RelayPeer[]): void {
    this.#peers = peers;
  }

  /** Starts the process; returns once callers can connect. */
  async start(): Promise<void> {
    const log = openSync(join(this.#folder, `${this.name}.log`), 'a');
    const words = [PROGRAM, 'router', 'run', '--settings', join(this.#folder, `${this.name}.yaml`)];
    this.#child = spawn(process.execPath, words, { stdio: ['ignore', log, log] });
    await this.#untilAccepting();
    this.#control.send({ type: 'relay-peers', peers: [...this.#peers] });
  }

  /** Ends the process and waits for its exit. */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.#child;
    if (child === null) {
      return;
    }
    this.#child = null;
    if (child.exitCode === null && child.signalCode === null) {
      const exited = once(child, 'exit');
      child.kill(signal);
      await exited;
    }
  }

  get isRunning(): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  freeze(): void {
    this.#child?.kill('SIGSTOP');
  }

  thaw(): void {
    this.#child?.kill('SIGCONT');
  }

  /** Number of upstreams that it reaches over other routers. */
  async relayedUpstreams(): Promise<number> {
    const response = await fetch(`http://${this.addresses.admin}/metrics`);
    const [, value] = /^ternmount_router_relayed_upstreams (\d+)$/m.exec(await response.text()) ?? [];
    return Number(value);
  }

  log(): string {
    return readFileSync(join(this.#folder, `${this.name}.log`), 'utf8');
  }

  async close(): Promise<void> {
    await this.end('SIGKILL');
    await this.#control.stop();
  }

  async #untilAccepting(): Promise<void> {
    const deadline = performance.now() + START_MILLIS;
    while (!(await acceptsConnections(this.addresses.listen))) {
      if (performance.now() > deadline) {
        throw new Error(`${this.name} doesn't listen: ${this.log()}`);
      }
      await sleep(POLL_MILLIS);
    }
  }
}

function acceptsConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}
