/**
 * Simulates one router core behind a narrow link that carries answers in order, with callers of short urgent answers and of large ones,
 * on a virtual clock. The upstreams have capacity for all requests; the results show when callers have received their whole answers.
 */
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import type { RouteDefinition } from '../../src/model/declaration.js';
import { Random } from '../../src/routing/random.js';
import type { RouterEffect } from '../../src/routing/types.js';
import { CONFIG, RouterHarness, service, upstream } from './router-harness.js';

const BYTES_PER_MILLI_OF_MEGABIT = 125;
const SERVICE_MILLIS = 200;
const TICK_MILLIS = 5;
/** Answers up to this size are read completely before they are passed on. */
const MAX_BUFFERED_BYTES = 65_536;

export interface LinkLoad {
  readonly seed: number;
  readonly millis: number;
  /** Width in the router's settings; `null` if it isn't set. */
  readonly configuredMegabits: number | null;
  /** Actual width of the link at a time. */
  readonly megabitsAt: (millis: number) => number;
  /** Requests per second. */
  readonly shortPerSecond: number;
  readonly largePerSecond: number;
  readonly largeBytes?: number;
}

interface Outcome {
  readonly sentAt: number;
  readonly isLarge: boolean;
  /** When the whole answer was received; `null` if the request was refused. */
  readonly doneAt: number | null;
  readonly endedAt: number;
  readonly retryAfterMillis: number | null;
}

const SHORT: RouteDefinition = {
  name: 'short',
  host: 'site.example',
  prefix: '/short/',
  repeatable: true,
  timeoutMillis: 5000,
  targetMillis: 800,
  maxAttempts: 2,
  priority: 0,
  split: [{ service: 'desk', weight: 1 }],
};
const LARGE: RouteDefinition = {
  ...SHORT,
  name: 'large',
  prefix: '/large/',
  targetMillis: 2500,
  timeoutMillis: 8000,
  priority: 2,
  split: [{ service: 'files', weight: 1 }],
};
const SHORT_BYTES = 400;
const LARGE_BYTES = 90_000;

/** Carries answers in the order in which they are sent. */
class FifoLink {
  #freeAt = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly megabitsAt: (millis: number) => number,
  ) {}

  /** Returns when the first and the last byte arrive. */
  carry(bytes: number): { readonly from: number; readonly to: number } {
    const from = Math.max(this.queue.now, this.#freeAt);
    this.#freeAt = from + bytes / (this.megabitsAt(from) * BYTES_PER_MILLI_OF_MEGABIT);
    return { from, to: this.#freeAt };
  }
}

export class LinkWorld {
  readonly outcomes: Outcome[] = [];
  readonly #queue = new EventQueue();
  readonly #random: Random;
  readonly #harness: RouterHarness;
  readonly #inbound: FifoLink;
  readonly #outbound: FifoLink;
  readonly #sent = new Map<number, { readonly at: number; readonly isLarge: boolean }>();
  readonly #cancelled = new Set<number>();

  constructor(private readonly load: LinkLoad) {
    this.#random = new Random(load.seed);
    this.#inbound = new FifoLink(this.#queue, load.megabitsAt);
    this.#outbound = new FifoLink(this.#queue, load.megabitsAt);
    const { configuredMegabits } = load;
    const linkSettings =
      configuredMegabits === null
        ? {}
        : { linkBytesPerMilli: configuredMegabits * BYTES_PER_MILLI_OF_MEGABIT };
    this.#harness = new RouterHarness({ ...CONFIG, seed: load.seed, ...linkSettings });
    this.#harness.now = 0;
    this.#start();
  }

  run(): this {
    const { millis, shortPerSecond, largePerSecond } = this.load;
    this.#scheduleArrivals(shortPerSecond, false);
    this.#scheduleArrivals(largePerSecond, true);
    for (let at = TICK_MILLIS; at < millis + LARGE.timeoutMillis; at += TICK_MILLIS) {
      this.#queue.at(at, () => this.#execute(this.#harness.step({ type: 'tick' })));
    }
    this.#queue.runUntil(millis + LARGE.timeoutMillis);
    return this;
  }

  /** Returns the share of the requests sent in a span whose whole answer arrived within their route's target. */
  inTime(isLarge: boolean, from = 0, to = this.load.millis): number {
    const outcomes = this.#sentIn(isLarge, from, to);
    const target = (isLarge ? LARGE : SHORT).targetMillis;
    const inTarget = outcomes.filter(({ doneAt, sentAt }) => doneAt !== null && doneAt - sentAt <= target);
    return inTarget.length / outcomes.length;
  }

  /** Returns the number of large answers that callers received completely in a span. */
  largeServed(from = 0, to = this.load.millis): number {
    return this.outcomes.filter(
      ({ isLarge, doneAt }) => isLarge && doneAt !== null && doneAt >= from && doneAt < to,
    ).length;
  }

  refused(): readonly Outcome[] {
    return this.outcomes.filter(({ doneAt }) => doneAt === null);
  }

  #sentIn(isLarge: boolean, from: number, to: number): Outcome[] {
    return this.outcomes.filter((one) => one.isLarge === isLarge && one.sentAt >= from && one.sentAt < to);
  }

  #start(): void {
    const services = [service('desk', SERVICE_TERMS), service('files', SERVICE_TERMS)];
    const upstreams = ['desk', 'files'].map((name, index) =>
      upstream(`u${index}`, name, { announced: { slots: 1000, warmupMillis: 0 } }),
    );
    this.#harness.start(services, upstreams);
    this.#harness.change([
      { type: 'route', name: SHORT.name, record: { definition: SHORT, revision: 2 } },
      { type: 'route', name: LARGE.name, record: { definition: LARGE, revision: 2 } },
    ]);
  }

  #scheduleArrivals(perSecond: number, isLarge: boolean): void {
    for (let at = this.#gap(perSecond); at < this.load.millis; at += this.#gap(perSecond)) {
      this.#queue.at(at, () => this.#arrive(isLarge));
    }
  }

  #gap(perSecond: number): number {
    return (-Math.log(1 - this.#random.share()) * 1000) / perSecond;
  }

  #arrive(isLarge: boolean): void {
    const { prefix } = isLarge ? LARGE : SHORT;
    this.#sent.set(this.#harness.nextRequest, { at: this.#queue.now, isLarge });
    this.#harness.now = this.#queue.now;
    this.#execute(this.#harness.request('', { place: { host: SHORT.host, path: `${prefix}x` } }));
  }

  #execute(effects: readonly RouterEffect[]): void {
    this.#harness.now = this.#queue.now;
    for (const effect of [...effects, ...this.#harness.answerSyncs(effects)]) {
      if (effect.type === 'dispatch') {
        this.#queue.after(SERVICE_MILLIS, () => this.#answer(effect.request, effect.attempt));
      } else if (effect.type === 'cancel-attempt') {
        this.#cancelled.add(effect.attempt);
      } else if (effect.type === 'refuse') {
        this.#end(effect.request, null, effect.retryAfterMillis);
      }
    }
  }

  /** The upstream writes its answer. */
  #answer(request: number, attempt: number): void {
    const isLarge = this.#sent.get(request)?.isLarge ?? false;
    const bytes = isLarge ? (this.load.largeBytes ?? LARGE_BYTES) : SHORT_BYTES;
    if (this.#cancelled.has(attempt)) {
      return;
    }
    const { from, to } = this.#inbound.carry(bytes);
    const isStreamed = bytes > MAX_BUFFERED_BYTES;
    this.#queue.at(isStreamed ? from : to, () => {
      this.#harness.now = this.#queue.now;
      const result = { type: 'answered', status: 200, load: null, stored: null, bytes } as const;
      this.#execute(this.#harness.ended(attempt, result));
      const end = Math.max(to, this.#outbound.carry(bytes).to);
      this.#queue.at(end, () => this.#end(request, end, null));
    });
    this.#queue.at(to, () => {
      this.#harness.now = this.#queue.now;
      this.#execute(this.#harness.step({ type: 'answer-carried', bytes, millis: to - from }));
    });
  }

  #end(request: number, doneAt: number | null, retryAfterMillis: number | null): void {
    const sent = this.#sent.get(request);
    if (sent === undefined) {
      return;
    }
    this.#sent.delete(request);
    const { at, isLarge } = sent;
    this.outcomes.push({ sentAt: at, isLarge, doneAt, endedAt: this.#queue.now, retryAfterMillis });
  }
}

const SERVICE_TERMS = { queueLimit: 1000, holdLimitMillis: 5000, deadlineMillis: 8000 };
