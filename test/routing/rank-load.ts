/**
 * Simulates callers of several ranks that compete for the slots of one service, in virtual time: real router cores, modelled upstreams
 * that report their load, and callers that come back after the retry delay. The results are counted from the callers' point of view.
 */
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { RouteDefinition } from '../../src/model/declaration.js';
import type { ReturnTimesMode, RouterEffect } from '../../src/routing/types.js';
import { LoadedUpstream, type SimulatedRequest } from './loaded-upstream.js';
import { CONFIG, controlMessages, onlyShard, RouterHarness, service, upstream } from './router-harness.js';

const NETWORK_MILLIS = 1;
const SERVICE = 'menu';
const HOST = 'menu.example';
const QUEUE_LIMIT = 12;
const IDLE_SAMPLE_MILLIS = 10;
/** Callers that arrive during this start-up time aren't counted. */
const WARMUP_MILLIS = 10_000;
const COUNTED_MILLIS = 30_000;

export interface CallerKind {
  readonly name: string;
  readonly rank: number;
  readonly targetMillis: number;
  readonly deadlineMillis: number;
  /** Demand as a share of the capacity of all slots. */
  readonly demand: number;
  /** How often a refused caller comes back. */
  readonly returns: number;
  /** Number of distinct keys in its requests, all owned by one upstream; 0 (the default) for requests without a key. */
  readonly keys?: number;
}

export interface RankLoad {
  readonly seed: number;
  readonly kinds: readonly CallerKind[];
  readonly routers: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly workMillis: number;
  /** Speed of each upstream, assigned in rotation; 1 by default. */
  readonly speeds?: readonly number[];
  /** Share of the upstreams that are three times slower at any time, in rotation. */
  readonly slowShare?: number;
  /** Zones of routers and upstreams, assigned in rotation. */
  readonly zones?: readonly string[];
  /** Age of the loads that answers report; `null` if they report none. */
  readonly reportAgeMillis?: number | null;
  /** When a router restarts without memory. */
  readonly restarts?: readonly { readonly at: number; readonly router: number }[];
  /** How long callers are counted; 30 s by default. */
  readonly countedMillis?: number;
  /** When the routes of all kinds get the same rank. */
  readonly ranksEndAt?: number;
  /** How retry delays of refused callers are chosen; `spread` by default. */
  readonly returnTimes?: ReturnTimesMode;
}

export interface KindResult {
  sent: number;
  inTime: number;
  late: number;
  never: number;
  refusals: number;
  /** Refusals of a request that had been sent. */
  refusedAfterSent: number;
  sentAttempts: number;
  /** Refusals of callers that returned after their retry delay. */
  refusedOnReturn: number;
  /** Refusals without a retry delay. */
  withoutRetryDelay: number;
}

export interface RankLoadResult {
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Share of all slots that were free while a request was waiting in a router. */
  readonly idleShare: number;
}

interface Call {
  readonly kind: CallerKind;
  readonly sentAt: number;
  readonly isCounted: boolean;
  returnsLeft: number;
  wasDispatched: boolean;
  hasReturned?: boolean;
}

class LoadRouter {
  readonly calls = new Map<number, Call>();
  #tickAt = Number.POSITIVE_INFINITY;

  constructor(
    readonly harness: RouterHarness,
    private readonly queue: EventQueue,
    private readonly execute: (router: LoadRouter, effect: RouterEffect) => void,
  ) {}

  handle(step: (harness: RouterHarness) => readonly RouterEffect[]): void {
    this.harness.now = this.queue.now;
    for (const effect of step(this.harness)) {
      this.execute(this, effect);
    }
    this.#schedule();
  }

  #schedule(): void {
    const at = Math.max(this.queue.now, this.harness.core.nextDeadline());
    if (at < this.#tickAt) {
      this.#tickAt = at;
      this.queue.at(at, () => {
        if (this.#tickAt === at) {
          this.#tickAt = Number.POSITIVE_INFINITY;
          this.handle((harness) => harness.step({ type: 'tick' }));
        }
      });
    }
  }
}

export class RankLoadWorld {
  readonly #queue = new EventQueue();
  readonly #random: RandomSource;
  readonly #upstreams: LoadedUpstream[];
  readonly #routers: LoadRouter[];
  readonly #results: Record<string, KindResult> = {};
  #idleSlots = 0;
  #samples = 0;

  constructor(private readonly load: RankLoad) {
    this.#random = new RandomSource(load.seed);
    for (const { name } of load.kinds) {
      this.#results[name] = {
        sent: 0,
        inTime: 0,
        late: 0,
        never: 0,
        refusals: 0,
        refusedAfterSent: 0,
        sentAttempts: 0,
        refusedOnReturn: 0,
        withoutRetryDelay: 0,
      };
    }
    const { speeds = [1], slowShare = 0, reportAgeMillis = 0 } = load;
    this.#upstreams = Array.from(
      { length: load.upstreams },
      (_, index) =>
        new LoadedUpstream(this.#queue, new RandomSource(load.seed * 100 + index), {
          slots: load.slots,
          queueLimit: QUEUE_LIMIT,
          workMillis: load.workMillis / (speeds[index % speeds.length] as number),
          slowPeriod: slowShare === 0 ? null : { number: index, of: load.upstreams, share: slowShare },
          reportAgeMillis,
        }),
    );
    this.#routers = Array.from({ length: load.routers }, (_, index) => this.#startRouter(index));
  }

  run(): RankLoadResult {
    const { kinds, restarts = [], ranksEndAt } = this.load;
    for (const kind of kinds.filter(({ demand }) => demand > 0)) {
      this.#callNext(kind);
    }
    for (const { at, router } of restarts) {
      this.#queue.at(at, () => {
        this.#routers[router] = this.#startRouter(router);
      });
    }
    if (ranksEndAt !== undefined) {
      this.#queue.at(ranksEndAt, () => this.#endRanks());
    }
    for (let at = WARMUP_MILLIS; at < this.#countedUntil; at += IDLE_SAMPLE_MILLIS) {
      this.#queue.at(at, () => this.#sampleIdleSlots());
    }
    this.#queue.runUntil(this.#countedUntil + 30_000);
    const slots = this.load.upstreams * this.load.slots;
    return { kinds: this.#results, idleShare: this.#idleSlots / (this.#samples * slots) };
  }

  #startRouter(index: number): LoadRouter {
    const { zones = ['a'], upstreams, slots, seed } = this.load;
    const zone = zones[index % zones.length] as string;
    const harness = new RouterHarness({
      ...CONFIG,
      router: `r${index}`,
      zone,
      seed: seed * 1000 + index,
      returnTimes: this.load.returnTimes ?? 'spread',
      roomByRank: true,
    });
    const router = new LoadRouter(harness, this.#queue, (from, effect) => this.#execute(from, effect));
    const announced = { slots, warmupMillis: 0 };
    const records = Array.from({ length: upstreams }, (_, number) =>
      upstream(`u${number}`, SERVICE, { announced, zone: zones[number % zones.length] as string }),
    );
    const keyed = this.load.kinds.some(({ keys = 0 }) => keys > 0);
    const terms = { keyed, queueLimit: 1000, holdLimitMillis: 10_000, slotsPerUpstream: slots };
    harness.now = this.#queue.now;
    harness.start([service(SERVICE, terms)], records, keyed ? [onlyShard(SERVICE, 'u0', 3)] : []);
    router.handle(() => harness.change(this.load.kinds.map((kind) => routeChange(kind, kind.rank))));
    return router;
  }

  #endRanks(): void {
    for (const router of this.#routers) {
      router.handle((harness) => harness.change(this.load.kinds.map((kind) => routeChange(kind, 1))));
    }
  }

  #callNext(kind: CallerKind): void {
    const { upstreams, slots, workMillis } = this.load;
    const perMilli = (kind.demand * upstreams * slots) / workMillis;
    this.#queue.after(this.#random.exponential(1 / perMilli), () => {
      const { now } = this.#queue;
      if (now >= this.#countedUntil + 2000) {
        return;
      }
      const isCounted = now >= WARMUP_MILLIS && now < this.#countedUntil;
      this.#resultOf(kind).sent += isCounted ? 1 : 0;
      this.#send({ kind, sentAt: now, isCounted, returnsLeft: kind.returns, wasDispatched: false });
      this.#callNext(kind);
    });
  }

  #send(call: Call): void {
    const router = this.#random.pick(this.#routers);
    const { name } = call.kind;
    const deadlineMillis = Math.max(1, call.kind.deadlineMillis - (this.#queue.now - call.sentAt));
    const place = { host: HOST, path: `/${name}/` };
    const { keys = 0 } = call.kind;
    const key = keys === 0 ? null : `${name}-${Math.floor(this.#random.fraction() * keys)}`;
    call.wasDispatched = false;
    router.calls.set(router.harness.nextRequest, call);
    router.handle((harness) => harness.request('', { place, key, deadlineMillis }));
  }

  #execute(router: LoadRouter, effect: RouterEffect): void {
    switch (effect.type) {
      case 'dispatch':
        this.#dispatch(router, effect);
        return;
      case 'deliver':
        this.#end(router, effect.request, 'delivered');
        return;
      case 'refuse':
        this.#refused(router, effect);
        return;
      case 'send-control':
        for (const { stamp } of controlMessages([effect], 'sync-request')) {
          this.#queue.after(NETWORK_MILLIS, () => router.handle((harness) => harness.respond(stamp)));
        }
        return;
      default:
    }
  }

  #dispatch(router: LoadRouter, effect: Extract<RouterEffect, { type: 'dispatch' }>): void {
    const call = router.calls.get(effect.request);
    if (call !== undefined) {
      call.wasDispatched = true;
      this.#resultOf(call.kind).sentAttempts += call.isCounted ? 1 : 0;
    }
    const target = this.#upstreams[Number(effect.upstream.slice(1))] as LoadedUpstream;
    const request: SimulatedRequest = {
      done: (result) => {
        this.#queue.after(NETWORK_MILLIS, () => {
          if (this.#routers.includes(router)) {
            router.handle((harness) => harness.ended(effect.attempt, result));
          }
        });
      },
    };
    this.#queue.after(NETWORK_MILLIS, () => target.submit(request));
  }

  #refused(router: LoadRouter, effect: Extract<RouterEffect, { type: 'refuse' }>): void {
    const call = router.calls.get(effect.request);
    if (call === undefined) {
      return;
    }
    const result = this.#resultOf(call.kind);
    result.refusals += call.isCounted ? 1 : 0;
    result.refusedAfterSent += call.isCounted && call.wasDispatched && effect.reason === 'gave-way' ? 1 : 0;
    const { retryAfterMillis, outcome, request } = effect;
    result.refusedOnReturn += call.isCounted && call.hasReturned === true ? 1 : 0;
    result.withoutRetryDelay += call.isCounted && retryAfterMillis === null ? 1 : 0;
    if (call.returnsLeft > 0 && outcome === 'not-run' && retryAfterMillis !== null) {
      call.returnsLeft -= 1;
      call.hasReturned = true;
      router.calls.delete(request);
      this.#queue.after(retryAfterMillis, () => this.#send(call));
      return;
    }
    this.#end(router, request, 'refused');
  }

  #end(router: LoadRouter, request: number, how: 'delivered' | 'refused'): void {
    const call = router.calls.get(request);
    router.calls.delete(request);
    if (call === undefined || !call.isCounted) {
      return;
    }
    const result = this.#resultOf(call.kind);
    if (how === 'refused') {
      result.never += 1;
    } else if (this.#queue.now - call.sentAt <= call.kind.targetMillis) {
      result.inTime += 1;
    } else {
      result.late += 1;
    }
  }

  get #countedUntil(): number {
    return WARMUP_MILLIS + (this.load.countedMillis ?? COUNTED_MILLIS);
  }

  #resultOf({ name }: CallerKind): KindResult {
    return this.#results[name] as KindResult;
  }

  #sampleIdleSlots(): void {
    const waiting = this.#routers.reduce((sum, { harness }) => sum + harness.core.status().queued, 0);
    const free = this.#upstreams.reduce((sum, { freeSlots }) => sum + freeSlots, 0);
    this.#samples += 1;
    this.#idleSlots += Math.min(waiting, free);
  }
}

export function inTimeShare({ inTime, sent: all }: KindResult): number {
  return inTime / Math.max(1, all);
}

function routeChange(kind: CallerKind, priority: number) {
  const definition: RouteDefinition = {
    name: kind.name,
    host: HOST,
    prefix: `/${kind.name}/`,
    repeatable: true,
    timeoutMillis: kind.deadlineMillis,
    targetMillis: kind.targetMillis,
    maxAttempts: 2,
    priority,
    split: [{ service: SERVICE, weight: 1 }],
  };
  return { type: 'route' as const, name: kind.name, record: { definition, revision: 1 } };
}
