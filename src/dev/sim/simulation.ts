/** One run: declares the system, serves callers and operators, injects faults, and checks the recovery. */
import type { ReplicaId } from '../../model/identifiers.js';
import type { Violation } from '../checker/rule.js';
import { EventQueue } from '../virtual/event-queue.js';
import { CrashingCaller } from './clients/crashing-caller.js';
import { DeclaringOperator } from './clients/declaring-operator.js';
import { EvacuatingOperator } from './clients/evacuating-operator.js';
import { LateCaller } from './clients/late-caller.js';
import { SimCaller } from './clients/sim-caller.js';
import { SimOperator } from './clients/sim-operator.js';
import { controlAddress, replicaName, SimControl } from './control/sim-control.js';
import type { FaultKind } from './faults/fault.js';
import { planFaults } from './faults/fault-plan.js';
import { NETWORK_FAULTS } from './faults/network-faults.js';
import { Network } from './network.js';
import { MAX_CLOCK_RATE_ERROR, ProcessClock } from './process-clock.js';
import { Random } from './random.js';
import { RangeLosses } from './ranges/range-losses.js';
import { observeRangeRecovery, PLANNED_MOVE_MILLIS, SimRangeServer } from './ranges/sim-range-server.js';
import { Recorder } from './recorder.js';
import { expectNewOwners, observeRecovery } from './recovery.js';
import { SimRouter } from './router/sim-router.js';
import type { SabotageName } from './sabotages.js';
import type { SimSizes } from './sim-sizes.js';
import { SimUpstream } from './upstream/sim-upstream.js';
import { beginConstraint } from './upstream/upstream-constraint.js';
import type { World } from './world.js';

export interface SimulationOptions {
  readonly seed: number;
  readonly sizes: SimSizes;
  readonly faults: readonly FaultKind[];
  /** Number of callers whose request crashes each upstream that runs it; 0 by default. */
  readonly crashingRequests?: number;
  /** Number of callers with work of seconds, who also send to routers that stop; 0 by default. */
  readonly lateCallers?: number;
  /** Number of operators that evacuate zones and restore them; 0 by default. */
  readonly evacuations?: number;
  /** Number of upstreams that report constraints in their answers; 0 by default. */
  readonly needs?: number;
  /** Number of operators that take a service with ranges of keys away and bring it back; 0 by default. */
  readonly redeclarations?: number;
  /** Number of servers with ranges of keys that are lost for good after the faults; 0 by default. */
  readonly rangeLosses?: number;
  /** Whether servers with ranges leave some calls unanswered and carry them out late; `true` by default. */
  readonly lateCalls?: boolean;
  /** Whether routers carry connections of others; `false` by default. */
  readonly relays?: boolean;
  /** Whether upstreams give back the caller's id of a request; `false` by default. */
  readonly sharedIds?: boolean;
  /** How long a control member may be silent before the leader replaces it by itself; 0 (operators replace members) by default. */
  readonly replaceAfterMillis?: number;
  /** Time from the first fault to the end of all faults; `FAULT_PHASE_MILLIS` by default. */
  readonly faultPhaseMillis?: number;
  readonly sabotage: SabotageName | null;
  readonly trace: ((line: string) => void) | null;
}

export interface SimulationResult {
  readonly seed: number;
  readonly hash: string;
  readonly violations: readonly Violation[];
  readonly operations: ReadonlyMap<string, number>;
  readonly faults: ReadonlyMap<string, number>;
}

/** Time of the first fault, length of the window in which faults begin, and time from the first fault to the end of all faults. */
const FAULTS_FROM_MILLIS = 3000;
const FAULT_WINDOW_MILLIS = 6000;
const FAULT_PHASE_MILLIS = 9000;
/** Time for the system to recover, and how long it is observed afterwards. */
const RECOVERY_MILLIS = 5000;
const OBSERVATION_MILLIS = 2000;
/** Time after a disturbance from which processes count as connected again. */
const CALM_AFTER_MILLIS = 3000;
/** Time for which a router is excused after a disturbance of itself or the network. */
const EXCUSED_AFTER_DISTURBANCE_MILLIS = 4500;
/**
 * Time from the end of all faults until each key of a range has a holder again: one longest grant after the last change of how they are
 * granted, which may take one timeout of an operator and an election.
 */
const RANGE_RECOVERY_MILLIS = 16_000;
/** Servers with ranges; those after the first ones join in the fault phase. */
const RANGE_SERVERS = 5;
const FIRST_RANGE_SERVERS = 3;
/** Servers are lost for good within this time after the end of all faults. */
const RANGE_LOSS_WINDOW_MILLIS = 800;
/** Operators that redeclare are numbered from here. */
const DECLARER_NUMBERS_FROM = 100;
/** Callers with work of seconds are numbered from here. */
const LATE_CALLER_NUMBERS_FROM = 100;
const CALLERS = 5;
const OPERATORS = 3;
const ROUTERS = 3;
const LARGE_CLUSTER_SHARE = 0.25;
const MAX_CLOCK_OFFSET_MILLIS = 1_000_000;
const MAX_WALL_SKEW_MILLIS = 300;
const REPAIR_RETRY_MILLIS = 100;

export class Simulation implements World {
  readonly time = new EventQueue();
  readonly network: Network;
  readonly recorder: Recorder;
  readonly sizes: SimSizes;
  readonly sabotage: SabotageName | null;
  readonly hasRelays: boolean;
  readonly hasSharedIds: boolean;
  readonly hasLateCalls: boolean;
  readonly replaceAfterMillis: number;
  readonly controls: SimControl[] = [];
  readonly routers: SimRouter[] = [];
  readonly upstreams: SimUpstream[] = [];
  readonly rangeServers: SimRangeServer[] = [];
  readonly firstGrantRuns = new Map<string, string>();
  readonly faultRandom: Random;
  readonly crashingContents = new Set<string>();
  readonly longContents = new Set<string>();
  /** Zones from the request to evacuate them until their restoration is confirmed. */
  readonly evacuatedZones = new Set<string>();
  /** Number of active faults, and the time at which the last one ended. */
  activeFaults = 0;
  lastFaultEnd = 0;
  isRepairing = false;
  /** Number of active network faults, and the time at which the last one ended. */
  private networkFaults = 0;
  private networkFaultEnd = Number.NEGATIVE_INFINITY;
  /** No further faults may be injected. */
  areFaultsOver = false;
  private readonly callers: SimCaller[] = [];
  private readonly crashingCallers: CrashingCaller[] = [];
  private readonly operators: SimOperator[] = [];
  private readonly evacuators: EvacuatingOperator[] = [];
  private readonly declarers: DeclaringOperator[] = [];
  private readonly random: Random;
  /** Time at which all faults end. */
  private readonly faultsEndAt: number;
  private numbers = 0;
  private markers = 0;

  constructor(private readonly options: SimulationOptions) {
    this.sizes = options.sizes;
    this.sabotage = options.sabotage;
    this.hasRelays = options.relays ?? false;
    this.hasSharedIds = options.sharedIds ?? false;
    this.hasLateCalls = options.lateCalls ?? true;
    this.replaceAfterMillis = options.replaceAfterMillis ?? 0;
    this.faultsEndAt = FAULTS_FROM_MILLIS + (options.faultPhaseMillis ?? FAULT_PHASE_MILLIS);
    this.random = new Random(options.seed);
    this.faultRandom = this.makeRandom();
    this.network = new Network(this.time, options.sizes.network, this.makeRandom());
    this.recorder = new Recorder(this.time, options.trace);
    this.populate();
  }

  run(): SimulationResult {
    const { hasRanges } = this;
    const end = this.faultsEndAt + (hasRanges ? RANGE_RECOVERY_MILLIS : RECOVERY_MILLIS + OBSERVATION_MILLIS);
    for (const process of this.processes()) {
      process.start();
    }
    this.firstOperator().declare();
    this.scheduleFaults();
    this.scheduleCrashingRequests();
    this.scheduleEvacuations();
    this.scheduleConstraints();
    this.scheduleRedeclarations();
    this.scheduleRangeLosses();
    this.scheduleLateCallers();
    this.time.at(this.faultsEndAt, () => this.endFaults());
    this.time.at(this.faultsEndAt + RECOVERY_MILLIS, () => observeRecovery(this, OBSERVATION_MILLIS));
    if (hasRanges) {
      this.time.at(end - PLANNED_MOVE_MILLIS, () => observeRangeRecovery(this));
    }
    this.time.runUntil(end, () => this.recorder.violations.length > 0);
    const hash = this.recorder.finish();
    const { violations, operations, faults } = this.recorder;
    return { seed: this.options.seed, hash, violations, operations, faults };
  }

  isCalm(): boolean {
    const isQuiet = this.activeFaults === 0 && !this.isRepairing;
    return isQuiet && this.time.now - this.lastFaultEnd >= CALM_AFTER_MILLIS;
  }

  runningSince(router: string): number {
    return this.routerOf(router)?.runningSince ?? this.time.now;
  }

  isExcused(router: string): boolean {
    const since = this.time.now - EXCUSED_AFTER_DISTURBANCE_MILLIS;
    const isNetworkCalm = this.networkFaults === 0 && this.networkFaultEnd < since;
    return !isNetworkCalm || this.runningSince(router) >= since;
  }

  /** Returns the process of a router's run. */
  private routerOf(incarnation: string): SimRouter | undefined {
    return this.routers.find(({ name }) => incarnation.startsWith(`${name}/`));
  }

  makeClock(): ProcessClock {
    const { random } = this;
    const rate = 1 + random.between(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR);
    const skew = random.between(-MAX_WALL_SKEW_MILLIS, MAX_WALL_SKEW_MILLIS);
    return new ProcessClock(this.time, random.between(0, MAX_CLOCK_OFFSET_MILLIS), rate, skew);
  }

  makeRandom(): Random {
    return this.random.fork();
  }

  nextNumber(): number {
    this.numbers += 1;
    return this.numbers;
  }

  nextMarker(): number {
    this.markers += 1;
    return this.markers;
  }

  /** Returns the running member that considers itself leader, with the highest term if there are several. */
  leader(): SimControl | undefined {
    const leaders = this.controls.filter((control) => control.leads());
    return leaders.sort((one, other) => (other.status()?.term ?? 0) - (one.status()?.term ?? 0))[0];
  }

  firstOperator(): SimOperator {
    return this.operators[0] as SimOperator;
  }

  raceOperators(): void {
    const subject = this.faultRandom.pick(this.sizes.services).definition.name;
    for (const operator of this.operators) {
      operator.raceToChange(subject);
    }
  }

  /** Follows the keys of a server that is lost now until they have new owners. */
  expectNewOwners(lost: SimUpstream): void {
    expectNewOwners(this, lost);
  }

  /** Stops a server as planned: marks it as leaving, lets it drain, then ends it. */
  stopUpstream(upstream: SimUpstream): void {
    upstream.isStopping = true;
    this.firstOperator().applyUpstream(upstream, true, null);
    upstream.stopWhenEmpty();
  }

  returnUpstream(upstream: SimUpstream): void {
    upstream.isStopping = false;
    upstream.start();
    this.firstOperator().applyUpstream(upstream, false, null);
  }

  /** Replaces the replica whose disk was lost by the new one on the same machine. */
  repair(oldReplica: ReplicaId, control: SimControl, repaired: () => void): void {
    if (this.sabotage === 'replica-id-reused') {
      return;
    }
    this.isRepairing = true;
    const { replica: newReplica, address } = control;
    const done = (): void => {
      this.isRepairing = false;
      this.recorder.count('replica replaced');
      repaired();
    };
    if (this.sabotage === 'replacement-never-made') {
      this.time.after(REPAIR_RETRY_MILLIS, done);
      return;
    }
    this.firstOperator().ask({ type: 'replace-replica', oldReplica, newReplica, address }, (response) => {
      if (response.type === 'membership' && response.repaired) {
        done();
      } else {
        this.time.after(REPAIR_RETRY_MILLIS, () => this.repair(oldReplica, control, repaired));
      }
    });
  }

  private processes() {
    const servers = [...this.upstreams, ...this.rangeServers];
    return [...this.controls, ...servers, ...this.routers, ...this.callers, ...this.operators];
  }

  private populate(): void {
    const members = this.random.chance(LARGE_CLUSTER_SHARE) ? 5 : 3;
    const numbers = Array.from({ length: members }, (_, index) => index + 1);
    const voters = numbers.map((number) => replicaName(number, 1));
    const addresses = Object.fromEntries(
      numbers.map((number) => [replicaName(number, 1), controlAddress(number)]),
    );
    const membership = { voters, outgoingVoters: [], learners: [], addresses };
    for (const number of numbers) {
      this.controls.push(new SimControl(this, number, this.zone(number), membership));
    }
    for (const service of this.sizes.services) {
      for (let index = 0; index < service.template.count; index += 1) {
        const number = this.upstreams.length + 1;
        this.upstreams.push(new SimUpstream(this, number, this.zone(number), service));
      }
    }
    for (let number = 1; number <= ROUTERS; number += 1) {
      this.routers.push(new SimRouter(this, number, this.zone(number)));
    }
    for (let number = 1; number <= CALLERS; number += 1) {
      this.callers.push(new SimCaller(this, number));
    }
    for (let number = 1; number <= OPERATORS; number += 1) {
      this.operators.push(new SimOperator(this, number));
    }
  }

  private zone(number: number): string {
    return this.sizes.zones[number % this.sizes.zones.length] as string;
  }

  /** Schedules crashing requests from the fault phase to the end. Created last, so that runs without them keep their random draws. */
  private scheduleCrashingRequests(): void {
    for (let number = 1; number <= (this.options.crashingRequests ?? 0); number += 1) {
      const caller = new CrashingCaller(this, CALLERS + number);
      this.crashingCallers.push(caller);
      this.time.at(FAULTS_FROM_MILLIS + caller.drawStartMillis(FAULT_WINDOW_MILLIS), () => caller.start());
    }
  }

  /** Schedules evacuations; also created last, for the same reason. */
  private scheduleEvacuations(): void {
    for (let number = 1; number <= (this.options.evacuations ?? 0); number += 1) {
      const evacuator = new EvacuatingOperator(this, OPERATORS + number);
      this.evacuators.push(evacuator);
      this.time.at(FAULTS_FROM_MILLIS + evacuator.drawStartMillis(FAULT_WINDOW_MILLIS / 2), () =>
        evacuator.start(),
      );
    }
  }

  /** Schedules upstream constraints; drawn last, for the same reason. They begin in the fault phase but don't count as faults. */
  private scheduleConstraints(): void {
    for (let number = 1; number <= (this.options.needs ?? 0); number += 1) {
      const random = this.makeRandom();
      const at = FAULTS_FROM_MILLIS + random.between(0, FAULT_WINDOW_MILLIS / 2);
      this.time.at(at, () => beginConstraint(this, random));
    }
  }

  private get hasRanges(): boolean {
    const { redeclarations = 0, rangeLosses = 0 } = this.options;
    return redeclarations > 0 || rangeLosses > 0;
  }

  /** Time at which the last change of the service with ranges was accepted. */
  get declaredAt(): number {
    return Math.max(0, ...this.declarers.map(({ acceptedAt }) => acceptedAt));
  }

  /** Adds servers that hold ranges, and the operators of their service; created last, for the same reason. */
  private scheduleRedeclarations(): void {
    const { redeclarations = 0 } = this.options;
    for (let number = 1; number <= (this.hasRanges ? RANGE_SERVERS : 0); number += 1) {
      const server = new SimRangeServer(this, number, number % 2 === 0);
      this.rangeServers.push(server);
      const joinsLate = number > FIRST_RANGE_SERVERS;
      const startMillis = FAULTS_FROM_MILLIS + server.drawStartMillis(FAULT_WINDOW_MILLIS);
      this.time.at(joinsLate ? startMillis : 0, () => server.start());
    }
    for (let number = 1; number <= redeclarations; number += 1) {
      const declarer = new DeclaringOperator(this, DECLARER_NUMBERS_FROM + number);
      this.declarers.push(declarer);
      declarer.start();
    }
  }

  /** Schedules losses of servers with ranges; drawn last, for the same reason. Without other operators one declares their service. */
  private scheduleRangeLosses(): void {
    const { rangeLosses = 0 } = this.options;
    if (rangeLosses === 0) {
      return;
    }
    const losses = new RangeLosses(this, this.makeRandom());
    losses.start();
    if (this.declarers.length === 0) {
      const declarer = new DeclaringOperator(this, DECLARER_NUMBERS_FROM + 1);
      this.declarers.push(declarer);
      declarer.declareOnly();
    }
    for (let number = 1; number <= rangeLosses; number += 1) {
      const at = this.faultsEndAt + losses.drawLossMillis(RANGE_LOSS_WINDOW_MILLIS);
      this.time.at(at, () => losses.loseServer());
    }
  }

  /** Schedules callers with work of seconds for the fault phase; created last, for the same reason. */
  private scheduleLateCallers(): void {
    for (let number = 1; number <= (this.options.lateCallers ?? 0); number += 1) {
      const caller = new LateCaller(this, LATE_CALLER_NUMBERS_FROM + number);
      this.time.at(FAULTS_FROM_MILLIS, () => caller.start());
      this.time.at(this.faultsEndAt, () => caller.end());
    }
  }

  private scheduleFaults(): void {
    const plan = planFaults(this.options.faults, FAULT_WINDOW_MILLIS, this.faultRandom);
    for (const { kind, at, durationMillis } of plan) {
      this.time.at(FAULTS_FROM_MILLIS + at, () => this.inject(kind, durationMillis));
    }
  }

  private inject(kind: FaultKind, durationMillis: number): void {
    const injected = kind.inject(this, this.faultRandom);
    if (injected === null) {
      return;
    }
    const networkFaultCount = NETWORK_FAULTS.includes(kind) ? 1 : 0;
    this.activeFaults += 1;
    this.networkFaults += networkFaultCount;
    this.recorder.fault(kind.name, injected.detail);
    this.time.at(Math.min(this.time.now + durationMillis, this.faultsEndAt), () => {
      injected.heal();
      this.activeFaults -= 1;
      this.lastFaultEnd = this.time.now;
      this.networkFaults -= networkFaultCount;
      this.networkFaultEnd = networkFaultCount > 0 ? this.time.now : this.networkFaultEnd;
      this.recorder.note({ healed: kind.name, at: this.time.now });
    });
  }

  private endFaults(): void {
    this.areFaultsOver = true;
    this.network.heal();
    for (const process of this.processes()) {
      process.resume();
      process.start();
    }
    for (const upstream of this.upstreams) {
      upstream.badAnswers = 0;
    }
    for (const operator of this.operators) {
      operator.isQuiet = true;
    }
    for (const evacuator of this.evacuators) {
      evacuator.end();
    }
    for (const declarer of this.declarers) {
      declarer.end();
    }
    this.firstOperator().undrainAll();
  }
}
