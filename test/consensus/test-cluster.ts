/** A cluster of Raft cores on a virtual clock, with a seeded network and disks that lose unsynced writes. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  createRaft,
  type Membership,
  type RaftConfig,
  type RaftCore,
  type RaftEffect,
  type RaftInput,
  type RaftMessage,
  type RaftStatus,
} from '../../src/consensus/index.js';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import {
  applyToMachine,
  HistoryChecker,
  INITIAL_MACHINE_STATE,
  type MachineState,
} from './history-checker.js';
import { SimulatedDisk } from './simulated-disk.js';

export type ReplicaName = string;

export interface NetworkFaults {
  /** Probabilities per thousand. */
  readonly dropPerMille: number;
  readonly duplicatePerMille: number;
  /** Delays are chosen between 1 and this at random, so that messages are reordered. */
  readonly maxDelayMillis: number;
}

const RELIABLE_NETWORK: NetworkFaults = { dropPerMille: 0, duplicatePerMille: 0, maxDelayMillis: 2 };
const MAX_SYNC_MILLIS = 4;
const PER_MILLE = 1000;

interface Member {
  readonly disk: SimulatedDisk;
  core: RaftCore | undefined;
  machine: MachineState;
  run: number;
  paused: boolean;
  readonly backlog: RaftInput[];
  /** Writes that wait for a disk that hangs; `undefined`: the disk works. */
  heldWrites: (() => void)[] | undefined;
  /** How long a write takes; `undefined`: a random time up to `MAX_SYNC_MILLIS`. */
  syncMillis: number | undefined;
}

export const ELECTION_TIMEOUT_MILLIS = 150;

export function membershipOf(voters: readonly ReplicaName[]): Membership {
  const addresses = Object.fromEntries(voters.map((voter) => [voter, `127.0.0.1:${voter}`]));
  return { voters, outgoingVoters: [], learners: [], addresses };
}

export class TestCluster {
  readonly checker = new HistoryChecker();
  readonly proposals = new Map<number, Extract<RaftEffect, { proposalId: number }>>();
  readonly reads = new Map<number, Extract<RaftEffect, { readId: number }>>();
  readonly sent: RaftMessage[] = [];
  /** Handovers because of a disk, in order. */
  readonly handovers: Extract<RaftEffect, { type: 'handed-over' }>[] = [];
  persistCount = 0;
  network: NetworkFaults = RELIABLE_NETWORK;
  readonly #members = new Map<ReplicaName, Member>();
  readonly #random;
  readonly #blockedLinks = new Set<string>();
  readonly #events = new EventQueue();
  #nextId = 1;
  readonly #config: Partial<RaftConfig>;

  constructor(seed: number, voters: readonly ReplicaName[], config: Partial<RaftConfig> = {}) {
    this.#random = xoroshiro128plus(seed);
    this.#config = config;
    for (const voter of voters) {
      this.addReplica(voter, membershipOf(voters));
    }
  }

  /** Virtual time. */
  get now(): number {
    return this.#events.now;
  }

  /** Starts a replica on an empty disk; without a membership it waits to be added to one. */
  addReplica(name: ReplicaName, membership: Membership | null = null): void {
    const disk = new SimulatedDisk(membership);
    const member: Member = {
      disk,
      core: undefined,
      machine: INITIAL_MACHINE_STATE,
      run: 0,
      paused: false,
      backlog: [],
      heldWrites: undefined,
      syncMillis: undefined,
    };
    this.#members.set(name, member);
    this.start(name);
  }

  start(name: ReplicaName): void {
    const member = this.#member(name);
    const restored = member.disk.load();
    member.machine = restored.snapshot ? decodeMachine(restored.snapshot.data) : INITIAL_MACHINE_STATE;
    member.run += 1;
    this.checker.onRestart(name);
    const config: RaftConfig = {
      self: name,
      seed: this.random(0, 0x7fffffff),
      electionTimeoutMillis: ELECTION_TIMEOUT_MILLIS,
      heartbeatMillis: 30,
      maxEntriesPerAppend: 4,
      maxAppendsInFlight: 3,
      snapshotChunkBytes: 7,
      ...this.#config,
    };
    member.core = createRaft(config, restored, this.now);
    this.#scheduleTick(name);
  }

  crash(name: ReplicaName): void {
    const member = this.#member(name);
    member.core = undefined;
    member.run += 1;
    member.backlog.length = 0;
  }

  isUp(name: ReplicaName): boolean {
    return this.#member(name).core !== undefined;
  }

  /** A paused replica processes its inputs once it is resumed. */
  pause(name: ReplicaName): void {
    this.#member(name).paused = true;
  }

  resume(name: ReplicaName): void {
    const member = this.#member(name);
    member.paused = false;
    for (const input of [{ type: 'tick' } as const, ...member.backlog.splice(0)]) {
      this.input(name, input);
    }
    this.#scheduleTick(name);
  }

  /** Makes a disk hang: writes requested from now on are neither done nor reported until `releaseDisk`. */
  holdDisk(name: ReplicaName): void {
    this.#member(name).heldWrites ??= [];
  }

  /** Ends a hang; the held writes begin now, in their order. */
  releaseDisk(name: ReplicaName): void {
    const member = this.#member(name);
    const held = member.heldWrites ?? [];
    member.heldWrites = undefined;
    for (const write of held) {
      write();
    }
  }

  /** Makes each later write of a replica take this long. */
  slowDisk(name: ReplicaName, syncMillis: number): void {
    this.#member(name).syncMillis = syncMillis;
  }

  /** Drops messages in both directions between each replica of one side and each of the other. */
  cut(side: readonly ReplicaName[], other: readonly ReplicaName[]): void {
    for (const a of side) {
      for (const b of other) {
        this.#blockedLinks.add(`${a}>${b}`).add(`${b}>${a}`);
      }
    }
  }

  heal(): void {
    this.#blockedLinks.clear();
  }

  random(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  get names(): ReplicaName[] {
    return [...this.#members.keys()];
  }

  status(name: ReplicaName): RaftStatus {
    return (this.#member(name).core as RaftCore).status();
  }

  disk(name: ReplicaName): SimulatedDisk {
    return this.#member(name).disk;
  }

  machine(name: ReplicaName): MachineState {
    return this.#member(name).machine;
  }

  /** The leader of the highest term among the running replicas. */
  get leader(): ReplicaName | undefined {
    const leaders = this.names.filter((name) => this.isUp(name) && this.status(name).role === 'leader');
    return leaders.sort((a, b) => this.status(b).term - this.status(a).term)[0];
  }

  propose(name: ReplicaName, text: string): number {
    const proposalId = this.allocateId();
    this.input(name, { type: 'propose', proposalId, data: new TextEncoder().encode(text) });
    return proposalId;
  }

  read(name: ReplicaName, mayWait = false): number {
    const readId = this.allocateId();
    this.checker.onReadStarted(String(readId));
    this.input(name, { type: 'read', readId, mayWait });
    return readId;
  }

  takeSnapshot(name: ReplicaName): void {
    const { machine } = this.#member(name);
    const data = new TextEncoder().encode(JSON.stringify(machine));
    this.input(name, { type: 'snapshot-taken', lastIndex: machine.index, data });
  }

  allocateId(): number {
    const id = this.#nextId;
    this.#nextId += 1;
    return id;
  }

  input(name: ReplicaName, input: RaftInput): void {
    const member = this.#member(name);
    if (member.core === undefined) {
      return;
    }
    if (member.paused) {
      if (input.type !== 'tick') {
        member.backlog.push(input);
      }
      return;
    }
    for (const effect of member.core.step(input, this.now)) {
      this.#execute(name, member, effect);
    }
    this.#scheduleTick(name);
  }

  runFor(millis: number): void {
    this.#events.runUntil(this.now + millis);
  }

  /** Runs until `condition` is true; returns false if it isn't within `limitMillis`. */
  runUntil(condition: () => boolean, limitMillis = 10_000): boolean {
    const end = this.now + limitMillis;
    while (!condition() && this.now < end) {
      this.runFor(1);
    }
    return condition();
  }

  #execute(name: ReplicaName, member: Member, effect: RaftEffect): void {
    switch (effect.type) {
      case 'send':
        member.disk.checkReply(effect.message);
        this.sent.push(effect.message);
        this.#deliver(effect.message);
        return;
      case 'persist':
        this.#persist(name, member, effect.request);
        return;
      case 'apply':
        for (const entry of effect.entries) {
          member.disk.checkApplied(entry);
          member.machine = applyToMachine(this.#expectNext(member, entry), entry);
          this.checker.onApplied(name, member.machine);
        }
        return;
      case 'restore':
        member.machine = decodeMachine(effect.snapshot.data);
        this.checker.onApplied(name, member.machine);
        return;
      case 'role-changed':
        this.checker.onRoleChanged(name, effect);
        return;
      case 'read-ready':
        this.reads.set(effect.readId, effect);
        this.checker.onReadReady(String(effect.readId), effect.index, member.machine.index);
        return;
      case 'read-failed':
        this.reads.set(effect.readId, effect);
        this.checker.onReadFailed(String(effect.readId));
        return;
      case 'handed-over':
        this.handovers.push(effect);
        return;
      default:
        this.proposals.set(effect.proposalId, effect);
    }
  }

  #expectNext(member: Member, entry: { readonly index: number }): MachineState {
    if (entry.index !== member.machine.index + 1) {
      throw new Error(`applied ${entry.index} after ${member.machine.index}`);
    }
    return member.machine;
  }

  /** Writes at a random time before the completion is reported; a crash in between may precede or follow the write. */
  #persist(
    name: ReplicaName,
    member: Member,
    request: Extract<RaftEffect, { type: 'persist' }>['request'],
  ): void {
    const { run } = member;
    const whenSameRun = (action: () => void) => () => {
      if (member.run === run) {
        action();
      }
    };
    if (member.heldWrites !== undefined) {
      member.heldWrites.push(whenSameRun(() => this.#persist(name, member, request)));
      return;
    }
    this.persistCount += 1;
    const reportAt = this.now + (member.syncMillis ?? this.random(1, MAX_SYNC_MILLIS));
    const writeAt = this.random(this.now, reportAt);
    this.#events.at(
      writeAt,
      whenSameRun(() => member.disk.write(request)),
    );
    this.#events.at(
      reportAt,
      whenSameRun(() => this.input(name, { type: 'persisted', persistId: request.persistId })),
    );
  }

  #deliver(message: RaftMessage): void {
    const copies = this.#chance(this.network.duplicatePerMille) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const lost = this.#chance(this.network.dropPerMille);
      const at = this.now + this.random(1, this.network.maxDelayMillis);
      if (!lost) {
        this.#events.at(at, () => this.#receive(message));
      }
    }
  }

  #receive(message: RaftMessage): void {
    const isBlocked = this.#blockedLinks.has(`${message.from}>${message.to}`);
    if (!isBlocked && this.#members.has(message.to)) {
      this.input(message.to, { type: 'message', message });
    }
  }

  #chance(perMille: number): boolean {
    return this.random(0, PER_MILLE - 1) < perMille;
  }

  #scheduleTick(name: ReplicaName): void {
    const member = this.#member(name);
    const { core, run } = member;
    if (core === undefined || member.paused) {
      return;
    }
    const at = Math.max(this.now, core.nextDeadline());
    this.#events.at(at, () => {
      const due = member.run === run && !member.paused && core.nextDeadline() <= this.now;
      if (due) {
        this.input(name, { type: 'tick' });
      }
    });
  }

  #member(name: ReplicaName): Member {
    const member = this.#members.get(name);
    if (member === undefined) {
      throw new Error(`no replica ${name}`);
    }
    return member;
  }
}

function decodeMachine(data: Uint8Array): MachineState {
  return JSON.parse(new TextDecoder().decode(data)) as MachineState;
}
