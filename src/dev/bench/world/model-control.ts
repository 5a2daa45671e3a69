/** A control group in virtual time: the real core of each member, an ideal disk, and the network between members. */
import type { RestoredState } from '../../../consensus/types.js';
import { createControlNode } from '../../../control/control-node.js';
import {
  type ControlToRouter,
  DEFAULT_CONFIG_LEASE_TIMINGS,
  type RouterToControl,
} from '../../../control/messages.js';
import type {
  ControlConfig,
  ControlCore,
  ControlEffect,
  ControlInput,
  OperatorRequest,
  OperatorResponse,
} from '../../../control/types.js';
import { DEFAULT_LEASE_TIMINGS } from '../../../lease/index.js';
import type { SessionRequest } from '../../../lease/types.js';
import type { Address, ReplicaId, UpstreamId, Zone } from '../../../model/identifiers.js';
import type { OperatorCommand } from '../../../registry/types.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import { CoreTimer } from './core-timer.js';
import type { ModelNetwork } from './model-network.js';
import type { ModelUpstream } from './model-upstream.js';

const SYNC_MILLIS = 0.2;
const CALL_TIMEOUT_MILLIS = 300;
const SNAPSHOT_ENTRIES = 10_000;
const OPERATOR_RETRY_MILLIS = 50;
/** Wall clock at virtual time 0. */
export const WALL_START = 1_800_000_000_000;

interface Member {
  readonly id: ReplicaId;
  readonly address: Address;
  readonly zone: Zone;
  readonly core: ControlCore;
  readonly timer: CoreTimer;
  alive: boolean;
}

/** The router's end of a connection to a member. */
export interface RouterLink {
  readonly zone: Zone;
  receive(from: Address, message: ControlToRouter): void;
  /** Handles a broken connection to a member. */
  onConnectionLost(from: Address): void;
}

export interface ControlOptions {
  readonly seed: number;
  readonly zones: readonly Zone[];
  readonly members: number;
  /** Overrides of the configuration of every member. */
  readonly config: Partial<ControlConfig>;
}

export class ModelControl {
  private readonly members = new Map<Address, Member>();
  private readonly routers = new Map<string, RouterLink>();
  private readonly operations = new Map<string, (response: OperatorResponse) => void>();
  private operationCount = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly network: ModelNetwork,
    private readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>,
    private readonly options: ControlOptions,
  ) {
    const ids = Array.from({ length: options.members }, (_, index) => `m${index + 1}`);
    ids.forEach((id, index) => {
      this.addMember(id, index, ids);
    });
  }

  get addresses(): readonly Address[] {
    return [...this.members.keys()];
  }

  /** Starts the cores' timers. */
  start(): void {
    for (const member of this.members.values()) {
      member.timer.schedule();
    }
  }

  connect(router: string, link: RouterLink): void {
    this.routers.set(router, link);
  }

  /** Sends a router's message to the member at `to`; it is lost if the member is dead or cut off. */
  sendFromRouter(router: string, to: Address, message: RouterToControl): void {
    const member = this.members.get(to);
    const link = this.routers.get(router);
    if (member === undefined || link === undefined) {
      return;
    }
    const input: ControlInput = { type: 'router-message', connection: `${router}>${to}`, message };
    this.network.send(link.zone, member.zone, () => this.step(member, input));
  }

  /** Submits a command and retries it until a leader accepts it. */
  command(command: OperatorCommand, wait: boolean, done: (response: OperatorResponse) => void): void {
    this.operationCount += 1;
    const requestId = `bench-${this.operationCount}`;
    this.submit({ type: 'command', requestId, actor: 'bench', command, wait }, done);
  }

  leader(): Member | undefined {
    return [...this.members.values()]
      .filter((member) => member.alive && member.core.status().role === 'leader')
      .sort((left, right) => right.core.status().term - left.core.status().term)[0];
  }

  killLeader(): void {
    const leader = this.leader();
    if (leader === undefined) {
      return;
    }
    leader.alive = false;
    for (const link of this.routers.values()) {
      this.network.send(leader.zone, link.zone, () => link.onConnectionLost(leader.address));
    }
  }

  private submit(request: OperatorRequest, done: (response: OperatorResponse) => void): void {
    const leader = this.leader();
    const retry = (): void => {
      this.queue.after(OPERATOR_RETRY_MILLIS, () => this.submit(request, done));
    };
    if (leader === undefined) {
      retry();
      return;
    }
    this.operationCount += 1;
    const operation = `operation-${this.operationCount}`;
    this.operations.set(operation, (response) => {
      if (response.type === 'not-leader' || response.type === 'unknown') {
        retry();
      } else {
        done(response);
      }
    });
    this.step(leader, { type: 'operator-request', operation, request });
  }

  private addMember(id: ReplicaId, index: number, voters: readonly ReplicaId[]): void {
    const { options } = this;
    const addresses = Object.fromEntries(voters.map((voter) => [voter, `control-${voter}`]));
    const restored: RestoredState = {
      hardState: { term: 0, votedFor: null },
      snapshot: null,
      initialMembership: { voters: [...voters], outgoingVoters: [], learners: [], addresses },
      entries: [],
    };
    const config: ControlConfig = {
      cluster: 'bench',
      self: id,
      seed: options.seed * 100 + index,
      raft: { electionTimeoutMillis: 300, heartbeatMillis: 60 },
      lease: DEFAULT_LEASE_TIMINGS,
      configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
      snapshotEntries: SNAPSHOT_ENTRIES,
      replaceAfterMillis: 0,
      ...options.config,
    };
    const core = createControlNode(config, restored, this.queue.now);
    const timer = new CoreTimer(
      this.queue,
      () => core.nextDeadline(),
      () => this.step(member, { type: 'tick' }),
    );
    const zone = options.zones[index % options.zones.length] as Zone;
    const member: Member = { id, address: `control-${id}`, zone, core, timer, alive: true };
    this.members.set(member.address, member);
  }

  private step(member: Member, input: ControlInput): void {
    if (!member.alive) {
      return;
    }
    const { now } = this.queue;
    for (const effect of member.core.step(input, now, WALL_START + now)) {
      this.applyEffect(member, effect);
    }
    member.timer.schedule();
  }

  private applyEffect(member: Member, effect: ControlEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.sendPeer(member, effect);
        return;
      case 'persist': {
        const { persistId } = effect.request;
        this.queue.after(SYNC_MILLIS, () => this.step(member, { type: 'persisted', persistId }));
        return;
      }
      case 'call-upstream':
        this.callUpstream(member, effect.upstream, effect.request);
        return;
      case 'send-router':
        this.sendRouter(member, effect.connection, effect.message);
        return;
      case 'answer-operator':
        this.operations.get(effect.operation)?.(effect.response);
        this.operations.delete(effect.operation);
        return;
      case 'log':
        return;
    }
  }

  private sendPeer(from: Member, { message }: Extract<ControlEffect, { type: 'send-peer' }>): void {
    const to = this.members.get(`control-${message.to}`);
    if (to !== undefined) {
      this.network.send(from.zone, to.zone, () => this.step(to, { type: 'peer-message', message }));
    }
  }

  private sendRouter(member: Member, connection: string, message: ControlToRouter): void {
    const router = connection.split('>')[0] as string;
    const link = this.routers.get(router);
    if (link !== undefined) {
      this.network.send(member.zone, link.zone, () => link.receive(member.address, message));
    }
  }

  private callUpstream(member: Member, id: UpstreamId, request: SessionRequest): void {
    const { sequence } = request;
    let settled = false;
    const settle = (input: ControlInput): void => {
      if (!settled) {
        settled = true;
        this.step(member, input);
      }
    };
    const fail = (): void => settle({ type: 'upstream-failed', upstream: id, sequence });
    this.queue.after(CALL_TIMEOUT_MILLIS, fail);
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) {
      return;
    }
    const { zone } = upstream.definition;
    this.network.send(member.zone, zone, () => {
      const isAlive = upstream.whenAwake(() => {
        const answer = upstream.handleSession(request);
        this.network.send(zone, member.zone, () =>
          settle({ type: 'upstream-answer', upstream: id, sequence, answer }),
        );
      });
      if (!isAlive) {
        this.network.send(zone, member.zone, fail);
      }
    });
  }
}
