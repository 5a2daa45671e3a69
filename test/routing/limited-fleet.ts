/**
 * Simulates router cores, a permit issuer and one upstream with a rate limit that owns all keys, on a virtual clock. Results are counted from
 * arrivals at the upstream and answers to callers, not from the state of the routers.
 */

import { PermitIssuer } from '../../src/control/constraints/permit-issuer.js';
import type { ControlToRouter, UpstreamPermits } from '../../src/control/messages.js';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { EMPTY_NOTICE, type UpstreamNotice } from '../../src/model/upstream-notice.js';
import { Random } from '../../src/routing/random.js';
import type { AttemptResult, RouterEffect } from '../../src/routing/types.js';
import { CONFIG, MEMBERS, onlyShard, RouterHarness, service, upstream } from './router-harness.js';

const NETWORK_MILLIS = 1;
const WORK_MILLIS = 60;
const STEP_MILLIS = 5;
const WINDOW_MILLIS = 4000;
const DEPOSED_MILLIS = 600;
const MEMBER_COUNT = 3;
/** A limit is checked from this long after an answer first reported one. */
const SPREAD_MILLIS = 3000;
/** A router's requests are checked from this long after it first received a limit. */
const ROUTER_GRACE_MILLIS = 500;
const DEADLINE_MILLIS = 800;

export type FleetSabotage =
  | 'none'
  /** Each router uses the whole limit. */
  | 'whole-limit-each'
  /** Permits never expire. */
  | 'permits-never-expire'
  /** A new leader issues permits at once, while the previous one still does. */
  | 'two-issuers'
  /** Routers don't receive the notices in answers. */
  | 'notices-unread';

export interface FleetOptions {
  readonly routers: number;
  readonly seed: number;
  /** Requests per second over all routers. */
  readonly demand: number;
  /** Replaces `demand` from this time on. */
  readonly laterDemand?: { readonly from: number; readonly demand: number };
  /** Share of the demand at the first router; the others have equal parts of the rest. */
  readonly hotShare?: number;
  /** Returns the limit at a time; `null` for none. */
  readonly limitAt: (millis: number) => number | null;
  readonly millis: number;
  readonly sabotage?: FleetSabotage;
  /** Factor on the rate of the time slots; 1 if left out. */
  readonly turnFactor?: number;
  /** Whether control has no leader. */
  readonly isLeaderless?: boolean;
  /** Cuts a share of the routers off from control during this span. */
  readonly cut?: { readonly from: number; readonly to: number; readonly share: number };
  /** Times at which a new leader takes over; if `isSplit`, the previous one continues for a while. */
  readonly elections?: readonly { readonly at: number; readonly isSplit: boolean }[];
  /** Times at which a router restarts and loses its state. */
  readonly restarts?: readonly { readonly at: number; readonly router: number }[];
  /** One-way delay between routers and control; the usual network delay if left out. */
  readonly controlMillis?: number;
  /** During this span, callers cancel their requests after `millis`. */
  readonly impatience?: { readonly from: number; readonly to: number; readonly millis: number };
  /** Share of answers that take ten times as long. */
  readonly slowShare?: number;
}

interface Arrival {
  readonly at: number;
  readonly router: number;
}

export interface FleetResult {
  readonly arrivals: readonly Arrival[];
  /** Largest number of arrivals in a window above what the limit allows; 0 or less if the limit is always kept. */
  readonly worstExcess: number;
  /** Used share of the limit, once routers have received it. */
  readonly usedShare: number;
  readonly served: number;
  readonly refused: number;
  /** Messages between routers and the leader, including those with permits. */
  readonly messages: number;
}

class FleetRouter {
  readonly harness: RouterHarness;
  /** Time of the first answer with a limit. */
  limitReceivedAt = Number.POSITIVE_INFINITY;
  isCut = false;

  constructor(
    readonly index: number,
    options: FleetOptions,
    now: number,
  ) {
    const { routers, sabotage, turnFactor = 1 } = options;
    this.harness = new RouterHarness({ ...CONFIG, router: `r${index}`, seed: index + 1 });
    this.harness.now = now;
    const record = upstream('u1', 'menu', { announced: { slots: 4, warmupMillis: 0 } });
    this.harness.start(
      [service('menu', { keyed: true, queueLimit: 1000, holdLimitMillis: 105 })],
      [record],
      [onlyShard('menu', 'u1', 3)],
    );
    // Each of the three members numbers a third of the routers.
    const routersPerMember = Math.ceil(routers / MEMBER_COUNT);
    const place =
      sabotage === 'whole-limit-each'
        ? { phaseShare: 0, routers: 1 }
        : {
            phaseShare: Math.floor(index / MEMBER_COUNT) / routersPerMember,
            routers: (routersPerMember * MEMBER_COUNT) / turnFactor,
          };
    this.harness.respond(this.harness.now, { turn: { inZone: place, inAll: place } });
  }
}

export class LimitedFleet {
  readonly #options: FleetOptions;
  readonly #time = new EventQueue();
  readonly #random: Random;
  readonly #routers: FleetRouter[];
  readonly #arrivals: Arrival[] = [];
  #issuers: { readonly issuer: PermitIssuer; endsAt: number }[] = [];
  #firstLimitAt: number | null = null;
  #served = 0;
  #refused = 0;
  #messages = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#routers = Array.from({ length: options.routers }, (_, index) => new FleetRouter(index, options, 0));
    this.#elect(0);
  }

  run(): FleetResult {
    const { millis, elections = [], restarts = [], cut } = this.#options;
    for (const { at, isSplit } of elections) {
      this.#time.at(at, () => this.#electAgain(isSplit));
    }
    for (const { at, router } of restarts) {
      this.#time.at(at, () => this.#restart(router));
    }
    if (cut !== undefined) {
      this.#time.at(cut.from, () => this.#setCut(cut.share, true));
      this.#time.at(cut.to, () => this.#setCut(cut.share, false));
    }
    for (let at = 0; at < millis; at += STEP_MILLIS) {
      this.#time.at(at, () => this.#step());
    }
    this.#time.runUntil(millis + 2 * DEADLINE_MILLIS, () => false);
    return this.#result();
  }

  #step(): void {
    for (const { issuer, endsAt } of this.#issuers) {
      if (this.#time.now < endsAt) {
        issuer.run(this.#time.now);
      }
    }
    for (const router of this.#routers) {
      router.harness.now = this.#time.now;
      if (router.harness.core.nextDeadline() <= this.#time.now) {
        this.#carryOut(router, router.harness.step({ type: 'tick' }));
      }
      if (this.#arrivesAt(router.index)) {
        this.#arriveCaller(router);
      }
    }
  }

  #arriveCaller(router: FleetRouter): void {
    const { impatience } = this.#options;
    const { harness } = router;
    const request = harness.nextRequest;
    this.#carryOut(router, harness.request('menu', { key: 'k', deadlineMillis: DEADLINE_MILLIS }));
    if (impatience !== undefined && this.#time.now >= impatience.from && this.#time.now < impatience.to) {
      this.#time.after(impatience.millis, () => {
        harness.now = this.#time.now;
        this.#carryOut(router, harness.step({ type: 'request-cancelled', request }));
      });
    }
  }

  #arrivesAt(index: number): boolean {
    const { routers, hotShare = 1 / routers, laterDemand } = this.#options;
    const isLater = laterDemand !== undefined && this.#time.now >= laterDemand.from;
    const { demand } = isLater ? laterDemand : this.#options;
    const share = index === 0 ? hotShare : (1 - hotShare) / Math.max(1, routers - 1);
    return this.#random.share() < (demand * share * STEP_MILLIS) / 1000;
  }

  #carryOut(router: FleetRouter, effects: readonly RouterEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'dispatch':
          this.#time.after(NETWORK_MILLIS, () => this.#arrive(router, effect.attempt));
          break;
        case 'deliver':
          this.#served += 1;
          break;
        case 'refuse':
          this.#refused += 1;
          break;
        case 'send-control':
          this.#toControl(router, effect.message);
          break;
        default:
      }
    }
  }

  #arrive(router: FleetRouter, attempt: number): void {
    const { slowShare = 0 } = this.#options;
    const { harness } = router;
    this.#arrivals.push({ at: this.#time.now, router: router.index });
    const factor = this.#random.share() < slowShare ? 10 : 1;
    // The response head has the limit from the start of the request, so a slow answer carries an old limit.
    const perSecond = this.#options.limitAt(this.#time.now);
    this.#time.after(WORK_MILLIS * factor, () => {
      if (this.#routers[router.index]?.harness === harness) {
        this.#answer(router, attempt, perSecond);
      }
    });
  }

  #answer(router: FleetRouter, attempt: number, perSecond: number | null): void {
    const { harness } = router;
    harness.now = this.#time.now;
    if (perSecond !== null && this.#firstLimitAt === null) {
      this.#firstLimitAt = this.#time.now;
    }
    if (perSecond !== null && router.limitReceivedAt === Number.POSITIVE_INFINITY) {
      router.limitReceivedAt = this.#time.now;
    }
    if (this.#options.sabotage !== 'notices-unread') {
      const notice: UpstreamNotice = {
        ...EMPTY_NOTICE,
        limit: perSecond === null ? { type: 'none' } : { type: 'named', perSecond },
      };
      this.#carryOut(router, harness.step({ type: 'upstream-notice', attempt, notice }));
    }
    const result: AttemptResult = { type: 'answered', status: 200, load: null, stored: null };
    this.#carryOut(router, harness.ended(attempt, result));
  }

  #toControl(router: FleetRouter, message: { readonly type: string }): void {
    if (router.isCut) {
      return;
    }
    if (message.type === 'sync-request') {
      const { stamp } = message as { readonly type: string; readonly stamp: number };
      this.#toRouter(router, {
        type: 'sync-response',
        stamp,
        confirmed: true,
        revision: 1,
        snapshot: null,
        delta: null,
        leader: MEMBERS[0] as string,
        members: [],
        turn: null,
      });
    }
    if (message.type === 'upstream-report') {
      this.#messages += 1;
      const connection = { connection: `c${router.index}`, router: `r${router.index}` };
      const acting = this.#issuers.filter(({ endsAt }) => this.#time.now < endsAt);
      // If two members act as the leader, the routers are divided between them.
      const target = acting[router.index % Math.max(1, acting.length)];
      this.#time.after(this.#controlMillis, () => {
        target?.issuer.recordReport(message as never, connection, this.#time.now);
        target?.issuer.run(this.#time.now);
      });
    }
  }

  #toRouter(router: FleetRouter, message: ControlToRouter): void {
    const { harness } = router;
    this.#time.after(this.#controlMillis, () => {
      if (!router.isCut && this.#routers[router.index]?.harness === harness) {
        harness.now = this.#time.now;
        this.#carryOut(router, harness.fromControl(message));
      }
    });
  }

  get #controlMillis(): number {
    return this.#options.controlMillis ?? NETWORK_MILLIS;
  }

  #elect(deposedMillis: number): void {
    const send = (connection: string, message: UpstreamPermits): void => {
      this.#messages += 1;
      const router = this.#routers[Number(connection.slice(1))] as FleetRouter;
      const isEndless = this.#options.sabotage === 'permits-never-expire';
      this.#toRouter(router, isEndless ? { ...message, waitedMillis: 1_000_000 } : message);
    };
    const issuer = new PermitIssuer({ send, log: () => {}, deposedMillis }, this.#time.now);
    this.#issuers.push({ issuer, endsAt: this.#options.isLeaderless ? 0 : Number.POSITIVE_INFINITY });
  }

  #electAgain(isSplit: boolean): void {
    const { sabotage } = this.#options;
    const isSabotaged = sabotage === 'two-issuers';
    for (const issuer of this.#issuers) {
      const overlapMillis = isSabotaged ? Number.POSITIVE_INFINITY : DEPOSED_MILLIS / 2;
      issuer.endsAt = Math.min(issuer.endsAt, this.#time.now + (isSplit ? overlapMillis : 0));
    }
    this.#elect(isSabotaged ? -1000 : DEPOSED_MILLIS);
  }

  #restart(index: number): void {
    this.#routers[index] = new FleetRouter(index, this.#options, this.#time.now);
  }

  #setCut(share: number, isCut: boolean): void {
    for (const router of this.#routers) {
      router.isCut = isCut && router.index < this.#options.routers * share;
    }
  }

  #result(): FleetResult {
    const firstLimitAt = this.#firstLimitAt ?? Number.POSITIVE_INFINITY;
    const counted = this.#arrivals.filter(
      ({ at, router }) => at >= firstLimitAt + SPREAD_MILLIS && this.#hadReceivedLimit(router, at),
    );
    const times = counted.map(({ at }) => at);
    const { millis, limitAt } = this.#options;
    let allowedSum = 0;
    const from = firstLimitAt + SPREAD_MILLIS;
    for (let at = from; at < millis; at += 1) {
      allowedSum += (limitAt(at) ?? 0) / 1000;
    }
    const used = times.filter((at) => at < millis && limitAt(at) !== null).length;
    return {
      arrivals: this.#arrivals,
      worstExcess: this.#worstExcess(times),
      usedShare: allowedSum === 0 ? 0 : used / allowedSum,
      served: this.#served,
      refused: this.#refused,
      messages: this.#messages,
    };
  }

  #hadReceivedLimit(router: number, at: number): boolean {
    return at >= (this.#routers[router]?.limitReceivedAt ?? Number.POSITIVE_INFINITY) + ROUTER_GRACE_MILLIS;
  }

  /** Checks each window against the largest limit in force during it or shortly before. */
  #worstExcess(times: readonly number[]): number {
    let worst = Number.NEGATIVE_INFINITY;
    let first = 0;
    times.forEach((at, last) => {
      while ((times[first] as number) <= at - WINDOW_MILLIS) {
        first += 1;
      }
      const limit = this.#largestLimit(at - WINDOW_MILLIS - 1000, at);
      if (limit !== null) {
        const most = 1.5 * limit * (WINDOW_MILLIS / 1000) + 5;
        worst = Math.max(worst, last - first + 1 - most);
      }
    });
    return worst;
  }

  /** Returns `null` if there was no limit for some of the time; such windows aren't checked. */
  #largestLimit(from: number, to: number): number | null {
    let largest = 0;
    for (let at = Math.max(0, from); at <= to; at += 50) {
      const limit = this.#options.limitAt(at);
      if (limit === null) {
        return null;
      }
      largest = Math.max(largest, limit);
    }
    return largest;
  }
}
