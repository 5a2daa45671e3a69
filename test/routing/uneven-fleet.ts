/**
 * Router cores in two zones, the control core that collects speeds and capacity, and upstreams of unequal speed on one virtual clock.
 * Results count answers to callers and arrivals at upstreams, not the state of routers.
 */
import { FleetCapacity } from '../../src/control/fleet-capacity/fleet-capacity.js';
import type { ControlToRouter, FleetUpdate, RouterToControl } from '../../src/control/messages.js';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { RegistryChange, UpstreamRecord } from '../../src/registry/types.js';
import type { PickerName } from '../../src/routing/picker/picker.js';
import type { RouterEffect } from '../../src/routing/types.js';
import { CONFIG, MEMBERS, RouterHarness, service, upstream } from './router-harness.js';
import {
  type Arrival,
  FleetUpstream,
  type FleetZone,
  oneQueueEnds,
  SLOTS,
  type Slowness,
} from './uneven-upstream.js';

const SERVICE = 'menu';
const SAME_ZONE_DELAY_MILLIS = 1;
const OTHER_ZONE_DELAY_MILLIS = 2;
const CONTROL_DELAY_MILLIS = 2;
const MEAN_WORK_MILLIS = 630;
/** Standard deviation of the logarithm of the work. */
const WORK_SIGMA = 0.25;
const TARGET_MILLIS = 2000;
const TIMEOUT_MILLIS = 8000;
const ZONES = ['a', 'b'] as const;

export type UnevenSabotage =
  | 'none'
  /** Routers get no measured speeds. */
  | 'speeds-ignored'
  /** Spill plans of control never expire. */
  | 'spill-never-lapses';

export interface UnevenOptions {
  readonly seed: number;
  /** Routers per zone; 4 if left out. */
  readonly routersPerZone?: number;
  /** Upstreams per zone; 6 if left out. */
  readonly upstreamsPerZone?: number;
  /** Speeds of a zone's upstreams, repeated cyclically; their mean is 1. */
  readonly speeds?: readonly number[];
  /** Demand of a zone at a time, as a fraction of the capacity of its own upstreams. */
  readonly demand: (zone: FleetZone, millis: number) => number;
  readonly millis: number;
  /** Requests before this time aren't counted; 10 s if left out. */
  readonly countFromMillis?: number;
  readonly picker?: PickerName;
  /** Factor on the time of work that starts now; 1 if left out. */
  readonly slowness?: Slowness;
  /** Whether an upstream is lost. */
  readonly isLost?: (zone: FleetZone, index: number, millis: number) => boolean;
  /** Whether the zones can't reach each other. */
  readonly isZoneCut?: (millis: number) => boolean;
  /** Intervals without a leader; the next leader starts without state. */
  readonly leaderless?: readonly { readonly from: number; readonly to: number }[];
  /** Interval in which this fraction of the routers can't reach control. */
  readonly cut?: { readonly from: number; readonly to: number; readonly share: number };
  /** Times at which a router restarts without state. */
  readonly restarts?: readonly { readonly at: number; readonly router: number }[];
  /** Each report arrives twice, the second time late. */
  readonly doubledReports?: boolean;
  /** Routers neither send reports nor get updates, like older versions. */
  readonly isWithoutControl?: boolean;
  readonly sabotage?: UnevenSabotage;
}

export interface ZoneResult {
  readonly arrived: number;
  /** Fraction of the arrived requests that was answered within the target time. */
  readonly inTime: number;
  readonly refused: number;
  /** Fraction of the attempts that went to the other zone. */
  readonly across: number;
}

export interface UnevenResult {
  readonly zones: Readonly<Record<FleetZone, ZoneResult>>;
  readonly inTime: number;
  /** Fraction of all attempts that went to the other zone. */
  readonly across: number;
  /** Fraction in time with one ideal queue over all slots that uses the fastest free slot first. */
  readonly oneQueue: number;
  /** Number of requests served by each upstream. */
  readonly served: readonly number[];
  /** Number of messages from control about speeds and capacity, and of their entries. */
  readonly controlUpdates: { readonly messages: number; readonly entries: number };
}

interface Call {
  readonly arrival: Arrival;
  readonly counts: boolean;
}

class FleetRouter {
  readonly harness: RouterHarness;
  readonly calls = new Map<number, Call>();
  readonly attempts = new Map<number, FleetUpstream>();
  isCut = false;
  tickAt = Number.POSITIVE_INFINITY;
  readonly run: number;

  constructor(
    readonly index: number,
    readonly zone: FleetZone,
    options: UnevenOptions,
    records: readonly UpstreamRecord[],
    run: { readonly now: number; readonly number: number },
  ) {
    this.run = run.number;
    const seed = options.seed * 1000 + index + run.number * 317;
    const { picker = 'least-work' } = options;
    this.harness = new RouterHarness({
      ...CONFIG,
      router: `r${index}`,
      zone,
      seed,
      picker,
      whenOutOfTouch: 'serve',
    });
    this.harness.now = run.now;
    this.harness.start([service(SERVICE, { queueLimit: 1000, holdLimitMillis: 5000 })], records);
    const definition = {
      name: 'sheets',
      host: 'menu.example',
      prefix: '/',
      repeatable: true,
      timeoutMillis: TIMEOUT_MILLIS,
      targetMillis: TARGET_MILLIS,
      maxAttempts: 3,
      priority: 0,
      split: [{ service: SERVICE, weight: 1 }],
    };
    const change: RegistryChange = { type: 'route', name: 'sheets', record: { definition, revision: 1 } };
    this.harness.change([change]);
  }
}

export class UnevenFleet {
  readonly #options: UnevenOptions;
  readonly #time = new EventQueue();
  readonly #upstreams: FleetUpstream[] = [];
  readonly #records: UpstreamRecord[] = [];
  readonly #routers: FleetRouter[] = [];
  readonly #arrivals: Arrival[] = [];
  #leader: FleetCapacity | null = null;
  #term = 0;
  readonly #counts = {
    a: { arrived: 0, inTime: 0, refused: 0, sent: 0, across: 0 },
    b: { arrived: 0, inTime: 0, refused: 0, sent: 0, across: 0 },
  };
  #messages = 0;
  #entries = 0;

  constructor(options: UnevenOptions) {
    this.#options = options;
    const { routersPerZone = 4, upstreamsPerZone = 6, speeds = [1], slowness = () => 1 } = options;
    for (const zone of ZONES) {
      for (let number = 0; number < upstreamsPerZone; number += 1) {
        const index = this.#upstreams.length;
        const id = `i-${((index + 1) * 7919).toString(16)}x${index + 1}`;
        const speed = speeds[number % speeds.length] as number;
        this.#upstreams.push(new FleetUpstream(index, id, zone, speed, this.#time, slowness));
        const record = upstream(id, SERVICE, { zone, announced: { slots: SLOTS, warmupMillis: 0 } });
        this.#records.push({ ...record, incarnation: id });
      }
    }
    for (let index = 0; index < 2 * routersPerZone; index += 1) {
      this.#startRouter(index, 0);
    }
    this.#elect();
  }

  run(): UnevenResult {
    const { millis, leaderless = [], cut, restarts = [] } = this.#options;
    for (const { from, to } of leaderless) {
      this.#time.at(from, () => {
        this.#leader = null;
      });
      this.#time.at(to, () => this.#elect());
    }
    if (cut !== undefined) {
      this.#time.at(cut.from, () => this.#setCut(cut.share));
      this.#time.at(cut.to, () => this.#setCut(0));
    }
    for (const { at, router } of restarts) {
      this.#time.at(at, () => this.#startRouter(router, 1));
    }
    ZONES.forEach((zone, place) => {
      const random = new RandomSource(this.#options.seed * 2 + place + 1);
      this.#arriveNext(zone, random);
    });
    this.#time.runUntil(millis + TIMEOUT_MILLIS, () => false);
    return this.#result();
  }

  #startRouter(index: number, number: number): void {
    const zone = ZONES[index % 2] as FleetZone;
    const run = { now: this.#time.now + (number === 0 ? index * 37 : 0), number };
    const router = new FleetRouter(index, zone, this.#options, this.#records, run);
    this.#routers[index] = router;
    this.#schedule(router);
  }

  #elect(): void {
    this.#term += 1;
    this.#leader = new FleetCapacity(
      {
        term: this.#term,
        upstreams: () =>
          this.#records.map(({ definition }) => ({ ...definition, slots: SLOTS, isUsable: true })),
        log: () => {},
      },
      this.#time.now,
    );
  }

  #setCut(share: number): void {
    for (const router of this.#routers) {
      router.isCut = router.index < this.#routers.length * share;
    }
  }

  #arriveNext(zone: FleetZone, random: RandomSource): void {
    const { upstreamsPerZone = 6, millis, demand } = this.#options;
    const perMilli = (demand(zone, this.#time.now) * upstreamsPerZone * SLOTS) / MEAN_WORK_MILLIS;
    this.#time.after(random.exponential(1 / Math.max(1e-6, perMilli)), () => {
      if (this.#time.now >= millis) {
        return;
      }
      const arrival = { at: this.#time.now, zone, work: random.logNormal(MEAN_WORK_MILLIS, WORK_SIGMA) };
      this.#arrivals.push(arrival);
      const peers = this.#routers.filter((router) => router.zone === zone);
      this.#call(random.pick(peers), arrival);
      this.#arriveNext(zone, random);
    });
  }

  #call(router: FleetRouter, arrival: Arrival): void {
    const counts = this.#isCounted(arrival);
    this.#counts[arrival.zone].arrived += counts ? 1 : 0;
    router.calls.set(router.harness.nextRequest, { arrival, counts });
    const place = { host: 'menu.example', path: '/' };
    router.harness.now = this.#time.now;
    this.#applyEffects(router, router.harness.request('', { place, deadlineMillis: TIMEOUT_MILLIS }));
  }

  #isCounted({ at }: Arrival): boolean {
    return at >= (this.#options.countFromMillis ?? 10_000);
  }

  #schedule(router: FleetRouter): void {
    const at = Math.max(router.harness.core.nextDeadline(), this.#time.now);
    if (at >= router.tickAt && router.tickAt > this.#time.now) {
      return;
    }
    router.tickAt = at;
    this.#time.at(at, () => {
      if (router.tickAt === this.#time.now && this.#routers[router.index] === router) {
        router.tickAt = Number.POSITIVE_INFINITY;
        router.harness.now = Math.max(router.harness.now, this.#time.now);
        this.#applyEffects(router, router.harness.step({ type: 'tick' }));
      }
    });
  }

  #applyEffects(router: FleetRouter, effects: readonly RouterEffect[]): void {
    router.harness.effects.length = 0;
    for (const effect of effects) {
      switch (effect.type) {
        case 'dispatch':
          this.#dispatch(router, effect);
          break;
        case 'deliver':
        case 'refuse':
          this.#finish(router, effect.request, effect.type === 'deliver');
          break;
        case 'send-control':
          this.#toControl(router, effect.message);
          break;
        default:
      }
    }
    this.#schedule(router);
  }

  #finish(router: FleetRouter, request: number, isDelivered: boolean): void {
    const call = router.calls.get(request);
    router.calls.delete(request);
    if (call?.counts) {
      const tally = this.#counts[call.arrival.zone];
      const tookMillis = this.#time.now - call.arrival.at;
      tally.inTime += isDelivered && tookMillis <= TARGET_MILLIS ? 1 : 0;
      tally.refused += isDelivered ? 0 : 1;
    }
  }

  #dispatch(router: FleetRouter, effect: Extract<RouterEffect, { type: 'dispatch' }>): void {
    const target = this.#upstreams.find(({ id }) => id === effect.upstream) as FleetUpstream;
    const call = router.calls.get(effect.request);
    const isFar = target.zone !== router.zone;
    if (call?.counts) {
      this.#counts[router.zone].sent += 1;
      this.#counts[router.zone].across += isFar ? 1 : 0;
    }
    const delayMillis = isFar ? OTHER_ZONE_DELAY_MILLIS : SAME_ZONE_DELAY_MILLIS;
    const end = (result: Parameters<RouterHarness['ended']>[1]): void => {
      this.#time.after(delayMillis, () => {
        if (this.#routers[router.index] === router) {
          router.harness.now = this.#time.now;
          this.#applyEffects(router, router.harness.ended(effect.attempt, result));
        }
      });
    };
    this.#time.after(delayMillis, () => {
      if (isFar && this.#options.isZoneCut?.(this.#time.now)) {
        end({ type: 'connect-failed' });
        return;
      }
      if (this.#options.isLost?.(target.zone, target.index % (this.#upstreams.length / 2), this.#time.now)) {
        end({ type: 'connect-failed', refused: true });
        return;
      }
      const work = call?.arrival.work ?? MEAN_WORK_MILLIS;
      const isAccepted = target.enqueue({
        work,
        answer: (load) => end({ type: 'answered', status: 200, load, stored: null }),
      });
      if (!isAccepted) {
        end({ type: 'refused', refusal: 'overloaded', retryAfterMillis: null, load: target.load });
      }
    });
  }

  #toControl(router: FleetRouter, message: RouterToControl): void {
    if (router.isCut) {
      return;
    }
    if (message.type === 'sync-request') {
      this.#toRouter(router, {
        type: 'sync-response',
        stamp: message.stamp,
        confirmed: true,
        revision: router.harness.revision,
        snapshot: null,
        delta: null,
        leader: MEMBERS[0] as string,
        members: [],
        turn: null,
      });
    }
    if (message.type === 'load-report' && message.fleet !== undefined && !this.#options.isWithoutControl) {
      this.#report(router, message);
      if (this.#options.doubledReports) {
        this.#time.after(700, () => this.#report(router, message));
      }
    }
  }

  #report(router: FleetRouter, report: Extract<RouterToControl, { type: 'load-report' }>): void {
    this.#time.after(CONTROL_DELAY_MILLIS, () => {
      const answer = this.#answerTo(router, report);
      if (answer !== null) {
        this.#messages += 1;
        this.#entries += answer.speeds.length + answer.zones.length;
        this.#toRouter(router, this.#sabotaged(answer));
      }
    });
  }

  #answerTo(
    router: FleetRouter,
    report: Extract<RouterToControl, { type: 'load-report' }>,
  ): FleetUpdate | null {
    const { fleet } = report;
    if (this.#leader === null && this.#options.sabotage === 'spill-never-lapses' && fleet !== undefined) {
      return { type: 'fleet-news', version: fleet.have, isWhole: false, speeds: [], zones: [] };
    }
    return this.#leader?.recordReport(report, `c${router.index}.${router.run}`, this.#time.now) ?? null;
  }

  #sabotaged(answer: FleetUpdate): ControlToRouter {
    if (this.#options.sabotage !== 'speeds-ignored') {
      return answer;
    }
    return { ...answer, speeds: [], zones: answer.zones.map((room) => ({ ...room, isUneven: false })) };
  }

  #toRouter(router: FleetRouter, message: ControlToRouter): void {
    this.#time.after(CONTROL_DELAY_MILLIS, () => {
      if (!router.isCut && this.#routers[router.index] === router) {
        router.harness.now = Math.max(router.harness.now, this.#time.now);
        this.#applyEffects(router, router.harness.fromControl(message));
      }
    });
  }

  #result(): UnevenResult {
    const zoneOf = (zone: FleetZone): ZoneResult => {
      const { arrived, inTime, refused, sent, across } = this.#counts[zone];
      return {
        arrived,
        inTime: inTime / Math.max(1, arrived),
        refused,
        across: across / Math.max(1, sent),
      };
    };
    const { a, b } = this.#counts;
    return {
      zones: { a: zoneOf('a'), b: zoneOf('b') },
      inTime: (a.inTime + b.inTime) / Math.max(1, a.arrived + b.arrived),
      across: (a.across + b.across) / Math.max(1, a.sent + b.sent),
      oneQueue: this.#oneQueue(),
      served: this.#upstreams.map(({ served }) => served),
      controlUpdates: { messages: this.#messages, entries: this.#entries },
    };
  }

  #oneQueue(): number {
    const { slowness = () => 1 } = this.#options;
    const ends = oneQueueEnds(this.#arrivals, this.#upstreams, slowness);
    const counted = this.#arrivals.flatMap((arrival, index) =>
      this.#isCounted(arrival) ? [(ends[index] as number) + 2 * SAME_ZONE_DELAY_MILLIS - arrival.at] : [],
    );
    return counted.filter((millis) => millis <= TARGET_MILLIS).length / Math.max(1, counted.length);
  }
}
