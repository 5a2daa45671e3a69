/** Shared by the parts of a router: its state, the current time and the effects of the current step. */
import type { Epoch, Incarnation, ShardId, UpstreamId, WallMillis } from '../model/identifiers.js';
import { DEFAULT_TIME_SLOTS, type RouterTimeSlots } from '../model/router-time-slots.js';
import { ConfigurationLease } from './configuration-lease.js';
import { ConfigurationView } from './configuration-view.js';
import { CrashWatch } from './crash-watch.js';
import { LeaderGuess } from './leader-guess.js';
import type { LinkGate } from './link-gate.js';
import { LoadReporter } from './load-reporter.js';
import { NoticeTable } from './notices/notice-table.js';
import { NumberedTable } from './numbered-table.js';
import { PathWatch } from './paths/path-watch.js';
import type { PlannedStop } from './planned-stop.js';
import { RouteTallies } from './queue/route-tallies.js';
import { Random } from './random.js';
import type { Attempt, Member } from './request-group.js';
import type { RouterTimer, TimerSubject } from './router-timer.js';
import type { ServiceState } from './service-state.js';
import { TimerHeap } from './timer-heap.js';
import type { AttemptNumber, RouterConfig, RouterEffect } from './types.js';
import { FleetSums } from './upstream/fleet-sums.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import { FleetViewCache } from './zones/fleet-view-cache.js';

/** The upstream to which a shard's requests are sent, with the epoch and incarnation of its ownership. */
export interface ShardOwner {
  readonly upstream: UpstreamState;
  readonly epoch: Epoch;
  readonly incarnation: Incarnation;
}

export class RouterContext {
  readonly view = new ConfigurationView();
  readonly lease: ConfigurationLease;
  readonly leader: LeaderGuess;
  readonly random: Random;
  readonly reporter: LoadReporter;
  /** Shared measurements of upstreams without keys, received from and reported to control. */
  readonly fleet = new FleetViewCache();
  readonly fleetSums = new FleetSums();
  readonly crashes: CrashWatch;
  readonly paths: PathWatch;
  /** Notices that upstreams report in response headers. */
  readonly notices: NoticeTable;
  /** `null`: the settings contain no link width. */
  link: LinkGate | null = null;
  /** This router's positions among the routers that share cold upstreams in time slots, as last received from control. */
  turn: RouterTimeSlots = DEFAULT_TIME_SLOTS;
  /** Outcome counts of each route. */
  readonly tallies = new RouteTallies();
  readonly timers = new TimerHeap<TimerSubject>();
  readonly services = new Map<string, ServiceState>();
  readonly upstreams = new Map<UpstreamId, UpstreamState>();
  readonly attempts = new NumberedTable<Attempt>();
  readonly members = new NumberedTable<Member>();
  /** Number of the attempt that started last; 0: none. */
  latestAttempt: AttemptNumber = 0;
  /** The planned stop in progress; `null`: there is none. */
  plannedStop: PlannedStop | null = null;
  /** Whether `policy-trace` effects are emitted. */
  tracing = false;
  /** Whether a request was refused because the owner of its key has no capacity left; loads are then reported early. */
  hasRefusedAtOwner = false;
  now = 0;
  wall: WallMillis = 0;
  private effects: RouterEffect[] = [];

  constructor(readonly config: RouterConfig) {
    this.random = new Random(config.seed);
    const { control, configLease, whenOutOfTouch } = config;
    const firstMemberIndex = this.random.below(control.length);
    this.lease = new ConfigurationLease(control, configLease, firstMemberIndex, whenOutOfTouch, config.zone);
    this.leader = new LeaderGuess(control, this.random.below(control.length));
    this.reporter = new LoadReporter();
    this.paths = new PathWatch({
      ownZone: config.zone,
      regions: config.regions ?? {},
      random: this.random,
      now: () => this.now,
      emit: (effect) => this.emit(effect),
      scheduleReturn: (at) => this.schedule(at, { type: 'path-return' }),
      upstreams: this.upstreams,
    });
    this.crashes = new CrashWatch(this);
    this.notices = new NoticeTable({
      place: () => this.turn.inAll,
      log: (event, fields) => this.emit({ type: 'log', level: 'info', event, fields }),
    });
  }

  emit(effect: RouterEffect): void {
    this.effects.push(effect);
  }

  takeEffects(): RouterEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /** Number of waiting requests of all services. */
  waitingLength(): number {
    let sum = 0;
    for (const service of this.services.values()) {
      sum += service.waitingLength;
    }
    return sum;
  }

  /** Returns the current owner of a shard; `undefined` if there is none to which requests may be sent. */
  ownerOf(shard: ShardId): ShardOwner | undefined {
    const record = this.view.shard(shard);
    if (record === undefined || record.owner === null || record.incarnation === null) {
      return undefined;
    }
    const upstream = this.upstreams.get(record.owner);
    if (upstream === undefined) {
      return undefined;
    }
    return { upstream, epoch: record.epoch, incarnation: record.incarnation };
  }

  schedule(at: number, subject: TimerSubject): RouterTimer {
    return this.timers.schedule(at, subject);
  }

  cancelTimer(timer: RouterTimer | null): void {
    if (timer !== null) {
      this.timers.cancel(timer);
    }
  }
}
