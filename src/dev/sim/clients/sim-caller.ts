/** A caller: reads keys, places orders that must run at most once, gives up, and resends orders through other routers. */
import type { SendId } from '../../checker/history.js';
import { Connection } from '../connection.js';
import { CLIENT_ZONE } from '../network.js';
import type { RouterAnswer, SimRouter } from '../router/sim-router.js';
import { SimProcess } from '../sim-process.js';
import type { SizedService } from '../sim-sizes.js';
import type { World } from '../world.js';

const THINK_MILLIS = 50;
/** Share of requests whose caller goes away before the answer, and how soon. */
const IMPATIENT_SHARE = 0.06;
const IMPATIENT_MILLIS = 15;
/** Share of orders that are sent again although they were answered. */
const NEEDLESS_RESEND_SHARE = 0.1;
const MOST_SENDS = 4;
const SHORTEST_RESEND_MILLIS = 20;
const LONGEST_RESEND_MILLIS = 2500;
/** Time beyond its deadline by which a request is answered or cut, late messages included. */
const ANSWER_GRACE_MILLIS = 1200;

/** What a caller wants, however often it sends it. */
interface Wish {
  readonly service: SizedService;
  readonly key: string | null;
  readonly content: string;
  readonly idempotency: {
    readonly key: string;
    readonly issuedAt: number;
    readonly fingerprint: string;
  } | null;
  sends: number;
}

export class SimCaller extends SimProcess {
  private next = 1;

  constructor(
    private readonly world: World,
    number: number,
  ) {
    super(`caller-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
  }

  protected onStart(): void {
    this.schedule(this.random.exponential(THINK_MILLIS), () => this.think());
  }

  protected onStop(): void {}

  private think(): void {
    this.send(this.wish());
    this.schedule(this.random.exponential(THINK_MILLIS), () => this.think());
  }

  private wish(): Wish {
    const service = this.random.pick(this.world.sizes.services);
    const { name, repeatable } = service.definition;
    const number = this.next;
    this.next += 1;
    const key = service.keys.length === 0 ? null : this.random.pick(service.keys);
    const order = `${this.name}/${number}`;
    const content = repeatable
      ? `${name}/${key ?? `page-${this.random.integer(1, 3)}`}`
      : `${name}/order ${order}`;
    const idempotency = repeatable ? null : { key: order, issuedAt: this.clock.wall(), fingerprint: order };
    return { service, key, content, idempotency, sends: 0 };
  }

  private send(wish: Wish): void {
    const router = this.pickRouter();
    if (router === undefined) {
      return;
    }
    wish.sends += 1;
    new Sending(this.world, this, router, wish).begin();
  }

  /** One that takes connections. */
  private pickRouter(): SimRouter | undefined {
    const open = this.world.routers.filter((router) => router.state !== 'stopped' && !router.isStopping);
    return open.length === 0 ? undefined : this.random.pick(open);
  }

  /** A sending is over: an order whose fate isn't known, and now and then any other, is sent again. */
  ended(wish: Wish, isSettled: boolean): void {
    if (wish.idempotency === null || wish.sends >= MOST_SENDS) {
      return;
    }
    if (!isSettled || this.random.chance(NEEDLESS_RESEND_SHARE)) {
      const pause = this.random.between(SHORTEST_RESEND_MILLIS, LONGEST_RESEND_MILLIS);
      this.schedule(pause, () => this.send(wish));
    }
  }

  giveUpAfter(): number | null {
    return this.random.chance(IMPATIENT_SHARE) ? this.random.exponential(IMPATIENT_MILLIS) : null;
  }
}

/** One sending of a wish to one router. */
class Sending {
  private readonly id: SendId;
  private readonly connection: Connection;
  private readonly routerRun: number;
  private request: number | null = null;
  private over = false;

  constructor(
    private readonly world: World,
    private readonly caller: SimCaller,
    private readonly router: SimRouter,
    private readonly wish: Wish,
  ) {
    this.id = `send-${world.nextNumber()}`;
    this.routerRun = router.run;
    this.connection = new Connection(
      world.network,
      { process: caller, onBroken: () => this.cut() },
      { process: router, onBroken: () => this.callerLeft() },
    );
  }

  begin(): void {
    const { world, wish, id } = this;
    const { definition } = wish.service;
    const now = world.time.now;
    world.recorder.record({
      type: 'request-sent',
      at: now,
      send: id,
      service: definition.name,
      content: wish.content,
      idempotencyKey: wish.idempotency?.key ?? null,
      repeatable: definition.repeatable,
      mayShareAnswer: definition.coalesce,
      answerDueAt: now + definition.deadlineMillis + ANSWER_GRACE_MILLIS,
    });
    this.connection.sendToServer(() => this.arrive());
    const dueIn = definition.deadlineMillis + ANSWER_GRACE_MILLIS;
    this.caller.schedule(dueIn, () => this.excuse(now));
    const patience = this.caller.giveUpAfter();
    if (patience !== null) {
      this.caller.schedule(patience, () => this.giveUp());
    }
  }

  private arrive(): void {
    const { router, wish, id } = this;
    this.request = router.accept(
      {
        service: wish.service.definition.name,
        key: wish.key,
        method: wish.idempotency === null ? 'GET' : 'POST',
        target: `/${wish.content}`,
        deadlineMillis: null,
        idempotency: wish.idempotency,
      },
      {
        send: id,
        content: wish.content,
        answer: (answer) => this.connection.sendToClient(() => this.take(answer)),
      },
    );
  }

  private take(answer: RouterAnswer): void {
    if (this.over) {
      return;
    }
    this.over = true;
    const { world, id, wish, caller } = this;
    const at = world.time.now;
    const { name } = wish.service.definition;
    if (answer.type === 'answer') {
      const { ranFor, content, whole } = answer;
      world.recorder.count(`answered ${name}`);
      world.recorder.record({ type: 'answer-received', at, send: id, ranFor, content, whole });
      caller.ended(wish, true);
    } else {
      const { outcome, reason } = answer;
      world.recorder.count(`refused ${reason} (${outcome})`);
      world.recorder.record({ type: 'refusal-received', at, send: id, outcome, reason });
      caller.ended(wish, outcome === 'ran');
    }
    this.connection.close(caller);
  }

  private giveUp(): void {
    if (!this.over) {
      this.end(true, 'its caller');
      this.connection.close(this.caller);
    }
  }

  /** No answer came in time: that's excused if the router was paused or its machine was lost meanwhile. */
  private excuse(sentAt: number): void {
    if (!this.over && !this.router.ranSince(sentAt)) {
      this.end(true, 'the loss of its router');
      this.connection.close(this.caller);
    }
  }

  /** The router's end is gone. */
  private cut(): void {
    if (!this.over) {
      const { router } = this;
      this.end(!router.endedByPlan(this.routerRun), router.name);
    }
  }

  private callerLeft(): void {
    if (this.request !== null) {
      this.router.cancel(this.request);
    }
  }

  private end(excused: boolean, by: string): void {
    this.over = true;
    const { world, id, wish, caller } = this;
    world.recorder.count('requests cut');
    world.recorder.record({ type: 'request-cut', at: world.time.now, send: id, excused, by });
    caller.ended(wish, false);
  }
}
