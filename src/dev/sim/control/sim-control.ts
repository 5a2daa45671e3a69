/** A control member: the control core on a simulated machine with a disk, connected to peers, routers, upstreams and operators. */
import type { Membership, RaftMessage, RaftStatus } from '../../../consensus/types.js';
import { createControlNode } from '../../../control/control-node.js';
import {
  type ControlToRouter,
  DEFAULT_CONFIG_LEASE_TIMINGS,
  type RouterToControl,
} from '../../../control/messages.js';
import type {
  ControlCore,
  ControlEffect,
  ControlInput,
  OperatorRequest,
  OperatorResponse,
} from '../../../control/types.js';
import { DEFAULT_LEASE_TIMINGS } from '../../../lease/types.js';
import type { Address, ReplicaId } from '../../../model/identifiers.js';
import type { Connection } from '../connection.js';
import { askRangeServer, callRangeServer } from '../ranges/holder-transport.js';
import { SimProcess, TickTimer } from '../sim-process.js';
import { SimulatedDisk } from '../simulated-disk.js';
import type { World } from '../world.js';
import { CommitRecorder } from './commit-recorder.js';
import { startJoining } from './join-requests.js';
import { PersistTask } from './persist-task.js';
import {
  sabotageOperatorRequest,
  sabotageOperatorResponse,
  sabotageQuarantine,
  sabotageRangeTimings,
  sabotageRouterMessage,
  sabotageSessionRequest,
} from './sabotage-control.js';
import { callUpstream } from './session-call.js';

export const CLUSTER = 'simulated';
const ELECTION_TIMEOUT_MILLIS = 300;
const HEARTBEAT_MILLIS = 60;
const SNAPSHOT_ENTRIES = 120;
/** Maximum wait for another leader during a planned stop. */
const MAX_TRANSFER_MILLIS = 2000;
const STOP_CHECK_MILLIS = 10;

interface RouterLine {
  readonly connection: Connection;
  readonly deliver: (message: ControlToRouter) => void;
}

export type AnswerOperator = (response: OperatorResponse) => void;

export class SimControl extends SimProcess {
  readonly address: Address;
  replica: ReplicaId;
  /** Whether the next crash loses unsynced writes. */
  losesPower = false;
  /** Number of changes accepted by this run, for the sabotage `revision-by-count`. */
  acceptedChanges = 0;
  private disk: SimulatedDisk;
  private core: ControlCore | null = null;
  private timer: TickTimer | null = null;
  private readonly lines = new Map<string, RouterLine>();
  private readonly operations = new Map<string, AnswerOperator>();
  private persistTask: PersistTask | null = null;
  private commits: CommitRecorder | null = null;
  private diskNumber = 1;

  constructor(
    private readonly world: World,
    readonly number: number,
    zone: string,
    private readonly initialMembership: Membership,
  ) {
    super(`control-${number}`, zone, world.time, world.makeClock(), world.makeRandom());
    this.address = controlAddress(number);
    this.replica = replicaName(number, 1);
    this.disk = new SimulatedDisk(initialMembership);
  }

  status(): RaftStatus | null {
    return this.core?.status() ?? null;
  }

  leads(): boolean {
    return this.state === 'running' && this.core?.status().role === 'leader';
  }

  /** Loses the data folder; the next start here is a new replica, which has to join. */
  loseDisk(): void {
    if (this.world.sabotage === 'replica-id-reused') {
      this.disk = new SimulatedDisk(this.initialMembership);
      return;
    }
    this.diskNumber += 1;
    this.replica = replicaName(this.number, this.diskNumber);
    this.disk = new SimulatedDisk(null);
  }

  /** Planned stop: transfers leadership, then ends. */
  stopByPlan(): void {
    const until = this.time.now + MAX_TRANSFER_MILLIS;
    const { run } = this;
    this.operate({ type: 'transfer-leadership', to: null }, () => {});
    const check = (): void => {
      if (this.run !== run) {
        return;
      }
      if (this.leads() && this.time.now < until) {
        this.schedule(STOP_CHECK_MILLIS, check);
        return;
      }
      this.world.recorder.count('planned stop of a leader');
      this.crash();
    };
    check();
  }

  startAfterStop(): void {
    this.start();
  }

  /** Passes an input to the core and carries out its effects. */
  input(input: ControlInput): void {
    if (this.core === null) {
      return;
    }
    const lastRequest = this.persistTask?.lastRequest;
    const effects = this.core.step(input, this.clock.monotonic(), this.clock.wall());
    for (const effect of effects) {
      this.carryOut(effect);
    }
    // While a write is pending, the core may defer changes to its log, so the written log may be older.
    if (!this.persistTask?.isBusy || this.persistTask.lastRequest !== lastRequest) {
      this.commits?.recordUpTo(this.core.status().commitIndex, this.time.now);
    }
    this.timer?.arm(this.core.nextDeadline());
  }

  peerMessage(message: RaftMessage): void {
    if (message.to === this.replica) {
      this.input({ type: 'peer-message', message });
    }
  }

  /** Registers the connection of a router. */
  openLine(id: string, line: RouterLine): void {
    this.lines.set(id, line);
  }

  routerMessage(id: string, message: RouterToControl): void {
    this.input({ type: 'router-message', connection: id, message });
  }

  closeLine(id: string): void {
    if (this.lines.delete(id)) {
      this.input({ type: 'router-gone', connection: id });
    }
  }

  /** Handles an operator's request; `answer` is called at most once. */
  operate(request: OperatorRequest, answer: AnswerOperator): void {
    const operation = `operation-${this.world.nextNumber()}`;
    this.operations.set(operation, answer);
    this.input({
      type: 'operator-request',
      operation,
      request: sabotageOperatorRequest(request, this.world.sabotage),
    });
  }

  protected onStart(): void {
    const { world, random, disk } = this;
    this.acceptedChanges = 0;
    this.commits = new CommitRecorder(world.recorder, this.replica, disk);
    this.persistTask = new PersistTask({
      world,
      process: this,
      random,
      disk,
      isReplacement: this.diskNumber > 1,
      persisted: (persistId) => this.input({ type: 'persisted', persistId }),
    });
    const config = {
      cluster: CLUSTER,
      self: this.replica,
      seed: this.random.integer(1, 0x3fffffff),
      raft: { electionTimeoutMillis: ELECTION_TIMEOUT_MILLIS, heartbeatMillis: HEARTBEAT_MILLIS },
      lease: DEFAULT_LEASE_TIMINGS,
      configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
      snapshotEntries: SNAPSHOT_ENTRIES,
      replaceAfterMillis: this.world.replaceAfterMillis,
      ranges: sabotageRangeTimings(this.world.sabotage),
      quarantine: sabotageQuarantine(this.world.sabotage),
    };
    this.core = createControlNode(config, this.disk.load(), this.clock.monotonic());
    this.timer = new TickTimer(this, () => this.input({ type: 'tick' }));
    this.input({ type: 'tick' });
    if (this.world.replaceAfterMillis > 0) {
      startJoining(this.world, this);
    }
  }

  protected onStop(): void {
    this.core = null;
    this.lines.clear();
    this.operations.clear();
    if (this.losesPower) {
      this.disk.loseUnsynced(this.random);
    } else {
      this.disk.keepUnsynced();
    }
    this.losesPower = false;
  }

  private carryOut(effect: ControlEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.sendPeer(effect.message);
        return;
      case 'persist':
        this.persistTask?.write(effect.request);
        return;
      case 'send-router': {
        const line = this.lines.get(effect.connection);
        const message = sabotageRouterMessage(effect.message, this);
        line?.connection.sendToClient(() => line.deliver(message));
        return;
      }
      case 'call-upstream':
        callUpstream(this.world, this, effect, sabotageSessionRequest(effect.request, this.world.sabotage));
        return;
      case 'call-holder':
        callRangeServer(this.world, this, effect.call);
        return;
      case 'ask-identity':
        askRangeServer(this.world, this, effect.question);
        return;
      case 'answer-operator': {
        const answer = this.operations.get(effect.operation);
        this.operations.delete(effect.operation);
        answer?.(sabotageOperatorResponse(effect.response, this));
        return;
      }
      case 'log':
        this.world.recorder.count(`control ${effect.event}`);
    }
  }

  get sabotage(): World['sabotage'] {
    return this.world.sabotage;
  }

  private sendPeer(message: RaftMessage): void {
    const target = this.world.controls.find((control) => control.replica === message.to);
    if (target !== undefined) {
      this.world.network.sendDatagram(this, target, () => target.peerMessage(message));
    }
  }
}

export function controlAddress(number: number): Address {
  return `127.0.0.${number}:7000`;
}

/** Returns the id of a replica; a machine's replicas are numbered by its disks. */
export function replicaName(machine: number, disk: number): ReplicaId {
  return `replica-${machine}-${disk}`;
}
