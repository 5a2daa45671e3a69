/** The processes of a scale run and their startup. */
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RaftStatus, RaftTimings } from '../../consensus/types.js';
import type { OperatorRequest, OperatorResponse } from '../../control/types.js';
import type { ReplicaId, Revision } from '../../model/identifiers.js';
import type { OperatorCommand } from '../../registry/types.js';
import type { ControlMethods } from './roles/control-role.js';
import type { RealRouterMethods } from './roles/real-router-role.js';
import type { SimulatedRouterMethods } from './roles/simulated-router-role.js';
import type { SimulatedUpstreamMethods } from './roles/simulated-upstream-role.js';
import {
  CONTROL_MEMBERS,
  type ScalePlan,
  serviceOfUpstream,
  upstreamDefinition,
  ZONES,
} from './scale-plan.js';
import type { RunIdentity } from './worker-calls.js';
import { WorkerFailedError, WorkerProcess } from './worker-process.js';

const POLL_MILLIS = 50;
/** The leader's status is polled rarely, because it lists every upstream. */
const STATUS_POLL_MILLIS = 500;
const COMMAND_BATCH_SIZE = 64;
/** Pause between the starts of two routers of one process. */
const ROUTER_PAUSE_MILLIS = 30;

export interface ScaleFleetOptions {
  readonly plan: ScalePlan;
  readonly dataFolder: string;
  readonly raft: RaftTimings;
  /** Flags of Node for control members, e.g. `--cpu-prof`. */
  readonly controlFlags: readonly string[];
}

export class ScaleFleet {
  readonly control: WorkerProcess<ControlMethods>[] = [];
  readonly upstreams: WorkerProcess<SimulatedUpstreamMethods>[] = [];
  readonly routers: WorkerProcess<SimulatedRouterMethods>[] = [];
  readonly realRouters: WorkerProcess<RealRouterMethods>[] = [];
  private identity: RunIdentity = { cluster: 'scale', secret: 'secret of a scale run', control: [] };
  /** Number of changes that were resent because their outcome was unknown. */
  resends = 0;
  private requests = 0;

  constructor(private readonly options: ScaleFleetOptions) {}

  /** Starts three control members of one cluster and waits for a leader. */
  async startControl(): Promise<void> {
    const control = await Promise.all(Array.from({ length: CONTROL_MEMBERS }, () => freeAddress()));
    this.identity = { ...this.identity, control };
    const { identity } = this;
    const { raft } = this.options;
    const folders = control.map((address, index) => ({
      identity,
      address,
      dataFolder: `${this.options.dataFolder}/control-${index + 1}`,
    }));
    const replicas: ReplicaId[] = [];
    for (const folder of folders) {
      const worker = new WorkerProcess<ControlMethods>('control', this.options.controlFlags);
      this.control.push(worker);
      replicas.push(await worker.methods.prepare(folder));
    }
    const addresses = Object.fromEntries(
      replicas.map((replica, index) => [replica, control[index] as string]),
    );
    const membership = { voters: replicas, outgoingVoters: [], learners: [], addresses };
    await Promise.all(
      folders.map((folder, index) => this.control[index]?.methods.start({ ...folder, membership, raft })),
    );
    await this.leader();
  }

  /** Waits until a control member leads, and returns it. */
  async leader(): Promise<WorkerProcess<ControlMethods>> {
    for (;;) {
      const statuses = await Promise.all(this.control.map(({ methods }) => methods.status()));
      const leading = statuses.findIndex((status: RaftStatus) => status.role === 'leader');
      if (leading >= 0) {
        return this.control[leading] as WorkerProcess<ControlMethods>;
      }
      await sleep(POLL_MILLIS);
    }
  }

  /** Declares all services and upstreams. */
  async declare(): Promise<void> {
    const { plan } = this.options;
    const addresses = await this.startUpstreams();
    for (const definition of plan.services) {
      await this.change({ type: 'service-apply', definition, expected: 0 });
    }
    const commands = plan.upstreamProcesses.flat().map((id): OperatorCommand => {
      const definition = upstreamDefinition(plan, id, indexOf(id), addresses.get(id) as string);
      return { type: 'upstream-apply', definition, expected: 0 };
    });
    for (let start = 0; start < commands.length; start += COMMAND_BATCH_SIZE) {
      const batch = commands.slice(start, start + COMMAND_BATCH_SIZE);
      await Promise.all(batch.map((command) => this.change(command)));
    }
  }

  /** Starts the routers, simulated ones first. Returns the startup results of the real ones. */
  async startRouters() {
    const { plan } = this.options;
    const { identity } = this;
    await Promise.all(
      plan.routerProcesses.map(async (routers, index) => {
        const worker = new WorkerProcess<SimulatedRouterMethods>('simulated-routers');
        this.routers.push(worker);
        const zone = ZONES[index % ZONES.length] as string;
        await worker.methods.start({ identity, routers, zone, pauseMillis: ROUTER_PAUSE_MILLIS });
      }),
    );
    return Promise.all(plan.realRouters.map((router) => this.startRealRouter(router)));
  }

  async startRealRouter(router: string) {
    const worker = new WorkerProcess<RealRouterMethods>('real-router');
    this.realRouters.push(worker);
    return worker.methods.start({ identity: this.identity, router, zone: ZONES[0] as string });
  }

  /** Makes a change, which is resent under the same id until its outcome is known; fails unless it is accepted. */
  async change(command: OperatorCommand): Promise<Revision> {
    this.requests += 1;
    const requestId = `scale-${this.requests}`;
    for (;;) {
      const response = await this.operate({
        type: 'command',
        requestId,
        actor: 'scale',
        command,
        wait: false,
      });
      if (response.type === 'result' && response.result.type === 'accepted') {
        return response.result.revision;
      }
      if (response.type !== 'unknown' && response.type !== 'not-leader') {
        throw new WorkerFailedError('control', `${command.type} gave ${JSON.stringify(response)}`);
      }
      this.resends += 1;
      await sleep(POLL_MILLIS);
    }
  }

  async operate(request: OperatorRequest): Promise<OperatorResponse> {
    const leader = await this.leader();
    return leader.methods.operate(request);
  }

  /** Waits until every shard has an owner. */
  async waitUntilOwned(): Promise<void> {
    for (;;) {
      const status = await this.operate({ type: 'get-status' });
      if (status.type === 'status' && status.unownedShards === 0) {
        return;
      }
      await sleep(STATUS_POLL_MILLIS);
    }
  }

  /** Returns the process of a simulated upstream. */
  processOf(upstream: string): WorkerProcess<SimulatedUpstreamMethods> {
    const index = this.options.plan.upstreamProcesses.findIndex((names) => names.includes(upstream));
    return this.upstreams[index] as WorkerProcess<SimulatedUpstreamMethods>;
  }

  async stop(): Promise<void> {
    const groups = [this.realRouters, this.routers, this.control, this.upstreams];
    for (const group of groups) {
      await Promise.all(group.map((worker) => worker.stop()));
    }
  }

  private async startUpstreams(): Promise<Map<string, string>> {
    const { plan } = this.options;
    const { cluster, secret } = this.identity;
    const addresses = await Promise.all(
      plan.upstreamProcesses.map((names) => {
        const worker = new WorkerProcess<SimulatedUpstreamMethods>('simulated-upstreams');
        this.upstreams.push(worker);
        const upstreams = names.map((id) => ({ id, service: serviceOfUpstream(plan, indexOf(id)) }));
        return worker.methods.start({ cluster, secret, upstreams });
      }),
    );
    return new Map(addresses.flatMap((byName) => Object.entries(byName)));
  }
}

/** Returns the position of an upstream in the plan, from its name. */
function indexOf(id: string): number {
  return Number(id.slice(id.lastIndexOf('-') + 1)) - 1;
}

/** Returns a currently free address, because members need each other's addresses before they start. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}
