/** What the parts of a router share: its state, the present instant and the effects of the step under way. */
import type { Epoch, Incarnation, ShardId, UpstreamId, WallMillis } from '../model/identifiers.js';
import { type RouterTurn, UNTOLD_TURN } from '../model/router-turn.js';
import { ConfigurationLease } from './configuration-lease.js';
import { ConfigurationView } from './configuration-view.js';
import { CrashWatch } from './crash-watch.js';
import { LeaderGuess } from './leader-guess.js';
import { LoadReporter } from './load-reporter.js';
import { NoticeTable } from './notices/notice-table.js';
import { NumberedTable } from './numbered-table.js';
import { RouteTallies } from './queue/route-tallies.js';
import { Random } from './random.js';
import type { RouterTimer, TimerSubject } from './router-timer.js';
import type { ServiceState } from './service-state.js';
import { TimerHeap } from './timer-heap.js';
import type { AttemptNumber, RouterConfig, RouterEffect } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import type { Attempt, Member } from './work.js';

/** Where a shard's requests go. */
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
  readonly crashes: CrashWatch;
  /** What upstreams said of themselves. */
  readonly notices: NoticeTable;
  /** This router's places among those that share what cold upstreams bear, as control told it last. */
  turn: RouterTurn = UNTOLD_TURN;
  /** What became of the requests of each route. */
  readonly tallies = new RouteTallies();
  readonly timers = new TimerHeap<TimerSubject>();
  readonly services = new Map<string, ServiceState>();
  readonly upstreams = new Map<UpstreamId, UpstreamState>();
  readonly attempts = new NumberedTable<Attempt>();
  readonly members = new NumberedTable<Member>();
  /** The attempt that began last; 0: none. */
  latestAttempt: AttemptNumber = 0;
  /** Whether what policies see is told. */
  tracing = false;
  /** A request was refused for want of room at the owner of its key; loads are reported early then. */
  hasRefusedAtOwner = false;
  now = 0;
  wall: WallMillis = 0;
  private effects: RouterEffect[] = [];

  constructor(readonly config: RouterConfig) {
    this.random = new Random(config.seed);
    const { control, configLease, whenOutOfTouch } = config;
    const firstMember = this.random.below(control.length);
    this.lease = new ConfigurationLease(control, configLease, firstMember, whenOutOfTouch, config.zone);
    this.leader = new LeaderGuess(control, this.random.below(control.length));
    this.reporter = new LoadReporter();
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

  /** Requests of all services that wait. */
  waitingLength(): number {
    let sum = 0;
    for (const service of this.services.values()) {
      sum += service.waitingLength;
    }
    return sum;
  }

  /** Who owns a shard now, if a request may go there. */
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
