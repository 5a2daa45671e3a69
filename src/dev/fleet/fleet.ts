/** Starts, loads and stops a fleet of real processes on this machine. */
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import got from 'got';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { ReplicaId } from '../../model/identifiers.js';
import { AdminClient } from './admin-client.js';
import { declaredDocument } from './declared-document.js';
import type { ScheduledFault } from './fault-schedule.js';
import { FleetJournal } from './fleet-journal.js';
import type { FleetOptions } from './fleet-options.js';
import {
  type ControlPlan,
  type FleetPlan,
  FleetPlanner,
  type RouterPlan,
  upstreamsOf,
} from './fleet-plan.js';
import { Operator } from './operator.js';
import type { ProcessKind, ProcessSpec } from './process-spec.js';
import { callerSpecs, processSpecs } from './process-specs.js';
import { randomFaults } from './random-faults.js';
import { declarationsFileOf, settingsFileOf, writeSettingsFiles } from './settings-files.js';
import { Supervisor } from './supervisor.js';

const SETTLE_TIMEOUT_MILLIS = 30_000;
const SETTLE_POLL_MILLIS = 100;
/** Time for routers to finish pending requests after the last caller was answered or has disconnected. */
const PENDING_REQUESTS_GRACE_MILLIS = 500;
/** Time after which a process that does not complete a planned stop is killed. */
export const STOP_GRACE_MILLIS = 15_000;
/**
 * Order in which a fleet is stopped. Control stops before the upstreams, because these would otherwise wait until their
 * shards are moved to each other.
 */
const STOP_ORDER: readonly ProcessKind[] = ['caller', 'router', 'control', 'upstream', 'platform', 'link'];

/** The fleet did not reach the expected state in time. */
export class FleetNotReadyError extends TernmountError {
  constructor(missing: string) {
    super(
      { code: 'TERNMOUNT_FLEET_NOT_READY', retriable: false },
      `the fleet did not become ready: ${missing}`,
    );
  }
}

export class Fleet {
  readonly options: FleetOptions;
  readonly plan: FleetPlan;
  readonly supervisor: Supervisor;
  readonly admin: AdminClient;
  readonly operator: Operator;
  readonly journal: FleetJournal;
  readonly signal: AbortSignal;
  readonly #specs: ReadonlyMap<string, ProcessSpec>;

  /** Writes the settings without starting any process. `signal` aborts waits. */
  constructor(options: FleetOptions, signal: AbortSignal) {
    this.signal = signal;
    this.plan = new FleetPlanner(options).plan();
    this.options = options.randomFaults ? { ...options, faults: this.#withRandomFaults(options) } : options;
    this.supervisor = new Supervisor(options.profileFolder);
    this.#specs = processSpecs(this.plan);
    const members = this.plan.control.map(({ admin }) => admin);
    this.admin = new AdminClient(members, this.plan.operatorHost);
    this.operator = new Operator(this.plan, signal);
    writeSettingsFiles(this.plan, options);
    this.journal = new FleetJournal(join(this.plan.journalFolder, 'fleet.jsonl'));
  }

  #withRandomFaults({ faults, seed, seconds }: FleetOptions): ScheduledFault[] {
    const { routers, upstreams, deployment } = this.plan;
    const dedicated = upstreams.filter(({ name, upstreams: own }) => own.some(({ id }) => id === name));
    const targets = {
      routers: routers.map(({ name }) => name),
      upstreams: dedicated.map(({ name }) => name),
      zones: deployment.zones,
    };
    return [...faults, ...randomFaults(seed, seconds, targets)];
  }

  specOf(name: string): ProcessSpec {
    const spec = this.#specs.get(name);
    if (spec === undefined) {
      throw new RangeError(`there is no process ${name}`);
    }
    return spec;
  }

  /** Starts all processes but the callers and waits until each shard has an owner and each router serves. */
  async start(): Promise<void> {
    await this.#startKind('link');
    const others = (['platform', 'upstream', 'router'] as const).map((kind) => this.#startKind(kind));
    await Promise.all([this.#startControl(), ...others]);
    await (this.options.declared ? this.#declareRoutes() : this.#applyServices());
    await this.#waitUntil('routers that serve', () => this.#everyRouterServes());
  }

  async #applyServices(): Promise<void> {
    await this.operator.runOrThrow(['service', 'apply', declarationsFileOf(this.plan), '--no-wait']);
    await this.#waitUntil('an owner for each shard', () => this.#everyShardOwned());
  }

  async #declareRoutes(): Promise<void> {
    await this.admin.declare('PUT', 0, declaredDocument(this.plan.deployment));
    const count = upstreamsOf(this.plan).length;
    await this.#waitUntil('upstreams', async () => (await this.admin.upstreams()).length >= count);
  }

  /** Waits; throws if the run is aborted meanwhile. */
  async wait(millis: number): Promise<void> {
    await delay(Math.max(0, millis), undefined, { signal: this.signal });
  }

  async startProcess(name: string): Promise<void> {
    await this.supervisor.start(this.specOf(name));
    this.journal.write({ event: 'process-started', process: name });
  }

  /** Planned stop of one process. */
  async stopProcess(name: string): Promise<void> {
    this.journal.write({ event: 'stopping', process: name });
    const result = await this.supervisor.stop(name, STOP_GRACE_MILLIS);
    this.journal.write({ event: 'stopped', process: name, result });
  }

  async startCallers(): Promise<void> {
    await Promise.all(callerSpecs(this.plan).map((spec) => this.supervisor.start(spec)));
    this.journal.write({ event: 'load-started' });
    await Promise.all(this.plan.callers.map(({ admin }) => got.post(`http://${admin}/start`)));
  }

  /** Resolves when the callers have ended and the requests left in each router are recorded. */
  async waitForCallers(): Promise<void> {
    await Promise.all(this.plan.callers.map(({ name }) => this.supervisor.waitForEnd(name)));
    this.journal.write({ event: 'load-ended' });
    await this.wait(PENDING_REQUESTS_GRACE_MILLIS);
    await Promise.all(this.plan.routers.map((router) => this.#recordPendingRequests(router)));
  }

  /** Planned stop of all processes. */
  async stop(): Promise<void> {
    for (const kind of STOP_ORDER) {
      const names = this.supervisor.namesOf(kind);
      await Promise.all(names.map((name) => this.stopProcess(name)));
    }
    this.journal.close();
  }

  /** Records the pending requests of a router by its own count; a router restarted after the load reports none. */
  async #recordPendingRequests({ name, admin }: RouterPlan): Promise<void> {
    const state = await this.admin.routerHealth(admin);
    const requests = state === undefined ? null : state.queued + state.inFlight;
    this.journal.write({ event: 'router-left-over', router: name, requests });
  }

  async #startKind(kind: ProcessKind): Promise<void> {
    this.signal.throwIfAborted();
    const specs = [...this.#specs.values()].filter((spec) => spec.kind === kind);
    await Promise.all(specs.map((spec) => this.startProcess(spec.name)));
  }

  /** The first member initializes the cluster, the others join it one by one. */
  async #startControl(): Promise<void> {
    const [first, ...others] = this.plan.control as [ControlPlan, ...ControlPlan[]];
    await this.operator.runLocalOrThrow(['control', 'init', '--settings', settingsFileOf(first)]);
    await this.startProcess(first.name);
    await this.#waitUntil('a control leader', async () => (await this.admin.findLeader()) !== undefined);
    const replicas = await Promise.all(others.map((control) => this.joinControl(control)));
    for (const [index, { internal }] of others.entries()) {
      const replica = replicas[index] as ReplicaId;
      await this.operator.runOrThrow(['control', 'add', replica, '--address', internal.advertised]);
    }
  }

  /** Creates a new data folder for a control member and starts it; returns its replica id. It has no vote yet. */
  async joinControl(control: ControlPlan): Promise<ReplicaId> {
    const { output } = await this.operator.runLocalOrThrow([
      'control',
      'join',
      '--settings',
      settingsFileOf(control),
    ]);
    await this.startProcess(control.name);
    return output.trim();
  }

  async #everyShardOwned(): Promise<boolean> {
    const shards = await this.admin.shards();
    return shards.length > 0 && shards.every(({ owner }) => owner !== null);
  }

  async #everyRouterServes(): Promise<boolean> {
    const states = await Promise.all(
      this.plan.routers.map((router) => this.admin.routerHealth(router.admin)),
    );
    return states.every((state) => state?.serving === true);
  }

  async #waitUntil(what: string, reached: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + SETTLE_TIMEOUT_MILLIS;
    while (!(await reached())) {
      this.signal.throwIfAborted();
      if (Date.now() > deadline) {
        throw new FleetNotReadyError(`no ${what}`);
      }
      await delay(SETTLE_POLL_MILLIS);
    }
  }
}
