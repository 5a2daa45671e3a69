/** Control members and holders on one virtual clock, with checks that at most one holder serves each shard at any time. */
import { expect } from 'chai';
import type { PersistRequest } from '../../src/consensus/types.js';
import { createControlNode } from '../../src/control/control-node.js';
import type { IdentityAnswer, IdentityQuestion } from '../../src/control/identity-question.js';
import type { ControlToRouter, RouterToControl } from '../../src/control/messages.js';
import { DEFAULT_CONFIG_LEASE_TIMINGS } from '../../src/control/messages.js';
import type {
  ControlConfig,
  ControlCore,
  ControlEffect,
  ControlInput,
  OperatorRequest,
  OperatorResponse,
} from '../../src/control/types.js';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { DEFAULT_LEASE_TIMINGS } from '../../src/lease/index.js';
import type { KeyMap, SessionRequest } from '../../src/lease/types.js';
import type { LogFields } from '../../src/logging/logger.js';
import type { Address, ReplicaId, ShardId, UpstreamId } from '../../src/model/identifiers.js';
import { shardOfKey } from '../../src/model/key-map.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../src/model/service.js';
import type { OperatorCommand, ShardRecord } from '../../src/registry/types.js';
import { SimulatedDisk } from '../consensus/simulated-disk.js';
import { Server } from './cluster-server.js';

const NETWORK_MILLIS = 1;
const SYNC_MILLIS = 1;
const CALL_TIMEOUT_MILLIS = 300;
const CHECK_MILLIS = 5;
const MAX_KEYS_TRIED = 2000;

interface Member {
  readonly id: ReplicaId;
  readonly core: ControlCore;
  readonly disk: SimulatedDisk;
  alive: boolean;
}

export interface ClusterOptions {
  readonly members?: number;
  readonly seed?: number;
  readonly config?: Partial<ControlConfig>;
  /** The service that `startCluster` declares. */
  readonly service?: ServiceDefinition;
}

/** Internal address of a member. */
export function addressOf(id: ReplicaId): Address {
  return `127.0.0.1:${id.slice(1)}`;
}

export class Cluster {
  readonly members = new Map<ReplicaId, Member>();
  readonly servers = new Map<UpstreamId, Server>();
  readonly answers = new Map<string, OperatorResponse>();
  readonly routerMessages: { readonly connection: string; readonly message: ControlToRouter }[] = [];
  /** Session requests that were sent, for checks of their size. */
  readonly calls: SessionRequest[] = [];
  /** Log records of the members, in order. */
  readonly logs: { readonly member: ReplicaId; readonly event: string; readonly fields: LogFields }[] = [];
  /** Members that are partitioned off: they neither send nor receive messages. */
  readonly cut = new Set<string>();
  /** How long a write of a member takes, if it isn't the usual time. */
  readonly syncMillis = new Map<ReplicaId, number>();
  /** Members whose disks hang, with their writes, which end once the disk answers (`releaseDisk`). */
  readonly #hungDisks = new Map<ReplicaId, PersistRequest[]>();
  /** The run that answers at an address; others don't answer. */
  readonly living = new Map<Address, UpstreamId>();
  /** Addresses that were queried for their run, in order. */
  readonly questions: Address[] = [];
  readonly #events = new EventQueue();
  #nextCheckAt = 0;
  #keyOfShard = new Map<ShardId, string>();
  #operation = 0;

  /** Virtual time. */
  get time(): number {
    return this.#events.now;
  }

  constructor(readonly options: ClusterOptions = {}) {
    const voters = Array.from({ length: options.members ?? 3 }, (_, index) => `m${index + 1}`);
    for (const id of voters) {
      this.#startMember(id, voters);
    }
  }

  addServer(id: UpstreamId): Server {
    const index = this.servers.size;
    const rate = index % 2 === 0 ? 1.002 : 0.998;
    const server = new Server(id, 1000 * (index + 1), rate);
    this.servers.set(id, server);
    return server;
  }

  /** Starts a replica with an empty disk that isn't in the membership. */
  addMember(id: ReplicaId): Member {
    this.#startMember(id, null);
    return this.members.get(id) as Member;
  }

  /** Starts a member again with what is on its disk. */
  restart(id: ReplicaId): Member {
    const { disk } = this.members.get(id) as Member;
    this.#runMember(id, disk);
    return this.members.get(id) as Member;
  }

  /** Sends a join request of the replica to every member. */
  requestJoin(id: ReplicaId, address: Address = addressOf(id)): void {
    for (const member of this.members.values()) {
      if (member.id !== id && !this.cut.has(member.id)) {
        this.#step(member, { type: 'join-request', replica: id, address });
      }
    }
  }

  server(id: UpstreamId): Server {
    return this.servers.get(id) as Server;
  }

  leader(): Member {
    const leaders = [...this.members.values()].filter(
      (member) => member.alive && !this.cut.has(member.id) && member.core.status().role === 'leader',
    );
    return leaders.sort((left, right) => right.core.status().term - left.core.status().term)[0] as Member;
  }

  kill(member: Member): void {
    member.alive = false;
  }

  /** Makes a member's disk hang from now on. */
  holdDisk(member: Member): void {
    this.#hungDisks.set(member.id, []);
  }

  releaseDisk(member: Member): void {
    const held = this.#hungDisks.get(member.id) ?? [];
    this.#hungDisks.delete(member.id);
    for (const request of held) {
      this.#sync(member, request);
    }
  }

  /** Advances the virtual clock by `millis`. */
  run(millis: number): void {
    this.runUntil(() => false, millis);
  }

  /** Runs until `isDone`, for at most `millis`; returns the elapsed time. */
  runUntil(isDone: () => boolean, millis: number): number {
    const start = this.time;
    const end = start + millis;
    while (!isDone() && this.time < end) {
      this.#advance(end);
    }
    return this.time - start;
  }

  request(request: OperatorRequest, member: Member = this.leader()): string {
    this.#operation += 1;
    const operation = `op${this.#operation}`;
    this.#step(member, { type: 'operator-request', operation, request });
    return operation;
  }

  /** Sends a change and runs until it is answered. */
  change(command: OperatorCommand, wait = false): OperatorResponse {
    const requestId = `request-${this.#operation + 1}`;
    const operation = this.request({ type: 'command', requestId, actor: 'test', command, wait });
    return this.awaitAnswer(operation);
  }

  ask(request: OperatorRequest, member?: Member): OperatorResponse {
    return this.awaitAnswer(this.request(request, member));
  }

  awaitAnswer(operation: string): OperatorResponse {
    this.runUntil(() => this.answers.has(operation), 10_000);
    const response = this.answers.get(operation);
    expect(response, `answer to ${operation}`).not.to.equal(undefined);
    return response as OperatorResponse;
  }

  routerMessage(connection: string, message: RouterToControl, member: Member = this.leader()): void {
    this.#step(member, { type: 'router-message', connection, message });
  }

  shards(): readonly ShardRecord[] {
    const response = this.ask({ type: 'get-shards', service: null });
    return response.type === 'shards' ? response.shards : [];
  }

  /** The server that would serve this shard now, or `null`. */
  serving(shard: ShardId): UpstreamId | null {
    const key = this.#keyOfShard.get(shard) as string;
    const serving = [...this.servers.values()].filter((server) => this.#serves(server, shard, key));
    expect(serving.length, `servers of ${shard} at ${this.time}`).to.be.at.most(1);
    return serving[0]?.state === 'up' ? serving[0].id : null;
  }

  /** Finds a key of each shard of a key map for the checks of the fences; returns the shards. */
  watch(keyMap: KeyMap): ShardId[] {
    const found = new Set<ShardId>();
    for (let number = 0; number < MAX_KEYS_TRIED; number += 1) {
      const shard = shardOfKey(keyMap, `key${number}`);
      if (shard !== undefined) {
        this.#keyOfShard.set(shard, `key${number}`);
        found.add(shard);
      }
    }
    return [...found].sort();
  }

  keyOf(shard: ShardId): string {
    return this.#keyOfShard.get(shard) as string;
  }

  /** Whether the fence admits a request, which finishes immediately. A frozen server is checked at its current clock. */
  #serves(server: Server, shard: ShardId, key: string): boolean {
    if (server.state === 'dead') {
      return false;
    }
    const ticket = server.admit(shard, key, this.time);
    if (ticket !== null) {
      server.holder.finish(ticket, server.clock(this.time));
    }
    return ticket !== null;
  }

  #startMember(id: ReplicaId, voters: readonly ReplicaId[] | null): void {
    const addresses = Object.fromEntries((voters ?? []).map((voter) => [voter, addressOf(voter)]));
    this.#runMember(id, new SimulatedDisk(voters && { voters, outgoingVoters: [], learners: [], addresses }));
  }

  #runMember(id: ReplicaId, disk: SimulatedDisk): void {
    const config: ControlConfig = {
      cluster: 'c1',
      self: id,
      seed: Number(id.slice(1)) + (this.options.seed ?? 0) * 100,
      raft: { electionTimeoutMillis: 300, heartbeatMillis: 60 },
      lease: DEFAULT_LEASE_TIMINGS,
      configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
      snapshotEntries: 10_000,
      replaceAfterMillis: 0,
      ...this.options.config,
    };
    const core = createControlNode(config, disk.load(), this.time);
    this.members.set(id, { id, core, disk, alive: true });
  }

  #advance(end: number): void {
    const deadlines = [...this.members.values()]
      .filter((member) => member.alive)
      .map((member) => ({ member, at: Math.max(this.time, member.core.nextDeadline()) }));
    const nextTick = Math.min(end, ...deadlines.map(({ at }) => at));
    let hasRun = false;
    this.#events.runUntil(nextTick, () => {
      hasRun = true;
      return true;
    });
    if (!hasRun) {
      const due = deadlines.filter(({ at }) => at <= this.time);
      expect(
        due.length === 0 || this.#isTickExpected(),
        `a member keeps asking for ticks at ${this.time}`,
      ).to.equal(true);
      for (const { member } of due) {
        this.#step(member, { type: 'tick' });
      }
    }
    this.#check();
  }

  #ticks = { at: 0, count: 0 };

  /** Returns `false` for a core that requests a tick at the same time too often; it would keep the I/O layer in a busy loop. */
  #isTickExpected(): boolean {
    this.#ticks =
      this.#ticks.at === this.time
        ? { at: this.time, count: this.#ticks.count + 1 }
        : { at: this.time, count: 1 };
    return this.#ticks.count < 20;
  }

  #check(): void {
    if (this.time >= this.#nextCheckAt) {
      this.#nextCheckAt = this.time + CHECK_MILLIS;
      for (const shard of this.#keyOfShard.keys()) {
        this.serving(shard);
      }
    }
  }

  #later(millis: number, run: () => void): void {
    this.#events.after(millis, run);
  }

  #step(member: Member, input: ControlInput): void {
    if (!member.alive) {
      return;
    }
    for (const effect of member.core.step(input, this.time, 1_000_000 + this.time)) {
      this.#execute(member, effect);
    }
  }

  #execute(member: Member, effect: ControlEffect): void {
    switch (effect.type) {
      case 'send-peer': {
        const to = this.members.get(effect.message.to);
        if (to !== undefined && !this.cut.has(member.id) && !this.cut.has(to.id)) {
          this.#later(NETWORK_MILLIS, () =>
            this.#step(to, { type: 'peer-message', message: effect.message }),
          );
        }
        break;
      }
      case 'persist':
        this.#persist(member, effect.request);
        break;
      case 'call-upstream':
        this.calls.push(effect.request);
        this.#later(NETWORK_MILLIS, () => this.#callServer(member, effect.upstream, effect.request));
        break;
      case 'ask-identity':
        this.#askIdentity(member, effect.question);
        break;
      case 'answer-operator':
        this.answers.set(effect.operation, effect.response);
        break;
      case 'send-router':
        this.routerMessages.push({ connection: effect.connection, message: effect.message });
        break;
      case 'log':
        this.logs.push({ member: member.id, event: effect.event, fields: effect.fields });
        break;
    }
  }

  #persist(member: Member, request: PersistRequest): void {
    const held = this.#hungDisks.get(member.id);
    if (held === undefined) {
      this.#later(this.syncMillis.get(member.id) ?? SYNC_MILLIS, () => this.#sync(member, request));
    } else {
      held.push(request);
    }
  }

  #sync(member: Member, request: PersistRequest): void {
    if (member.alive) {
      member.disk.write(request);
      this.#step(member, { type: 'persisted', persistId: request.persistId });
    }
  }

  #askIdentity(member: Member, { id, address, claimant }: IdentityQuestion): void {
    this.questions.push(address);
    const living = this.living.get(address);
    const answers = (): IdentityAnswer =>
      living === claimant ? { type: 'named', upstream: claimant } : { type: 'another' };
    const answer: IdentityAnswer = living === undefined ? { type: 'unknown' } : answers();
    const millis = living === undefined ? CALL_TIMEOUT_MILLIS : 2 * NETWORK_MILLIS;
    this.#later(millis, () => this.#step(member, { type: 'identity-answer', question: id, answer }));
  }

  #callServer(member: Member, upstream: UpstreamId, request: SessionRequest): void {
    const { sequence } = request;
    const server = this.servers.get(upstream);
    if (server === undefined || server.state === 'dead') {
      this.#step(member, { type: 'upstream-failed', upstream, sequence });
      return;
    }
    const serve = (): void => {
      const answer = server.holder.handleSession(request, server.clock(this.time));
      server.handleEvents();
      this.#later(NETWORK_MILLIS, () =>
        this.#step(member, { type: 'upstream-answer', upstream, sequence, answer }),
      );
    };
    if (server.state === 'frozen') {
      server.backlog.push(serve);
      this.#later(CALL_TIMEOUT_MILLIS, () =>
        this.#step(member, { type: 'upstream-failed', upstream, sequence }),
      );
      return;
    }
    serve();
  }
}

export const SERVICE: ServiceDefinition = {
  name: 'menuboard',
  keyed: true,
  repeatable: true,
  priority: 'critical',
  deadlineMillis: 2000,
  slotsPerUpstream: 2,
  retryBudget: 0.2,
  queueLimit: 100,
  holdLimitMillis: 500,
  coalesce: false,
  wholeAnswerBytes: 65_536,
  retentionMillis: 60_000,
  placement: { unavailability: 1, imbalance: 1, churn: 1 },
  movesPerMinute: 60,
  keyspaces: [{ name: 'sheets', kind: 'prefix', match: '', shards: 6 }],
  policy: [],
};

export function upstream(id: UpstreamId, change: Partial<UpstreamDefinition> = {}): UpstreamDefinition {
  const port = 9000 + Number(id.replaceAll(/\D/g, ''));
  return {
    id,
    service: 'menuboard',
    address: `127.0.0.1:${port}`,
    zone: 'a',
    mayHold: [],
    leaving: false,
    ...change,
  };
}

/** Starts a cluster with a leader, the service and `serverCount` servers, and waits until all shards are granted. */
export function startCluster(
  serverCount: number,
  options: ClusterOptions = {},
): { cluster: Cluster; shards: ShardId[] } {
  const cluster = new Cluster(options);
  cluster.runUntil(() => cluster.leader() !== undefined, 5000);
  const definition = options.service ?? SERVICE;
  cluster.change({ type: 'service-apply', definition, expected: null });
  const services = cluster.ask({ type: 'get-services' });
  const generation = services.type === 'services' ? (services.services[0]?.generation ?? 0) : 0;
  const shards = cluster.watch({ service: definition.name, generation, keyspaces: definition.keyspaces });
  for (let number = 1; number <= serverCount; number += 1) {
    cluster.addServer(`u${number}`);
    cluster.change({ type: 'upstream-apply', definition: upstream(`u${number}`), expected: null });
  }
  cluster.runUntil(() => shards.every((shard) => cluster.serving(shard) !== null), 5000);
  return { cluster, shards };
}
