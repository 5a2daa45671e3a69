/** One sending of a wish of a caller to one router, from its connection to the answer, or to giving up. */
import type { SendId } from '../../checker/history.js';
import { Connection } from '../connection.js';
import type { RouterAnswer } from '../router/router-answer.js';
import type { SimRouter } from '../router/sim-router.js';
import type { SizedService } from '../sim-sizes.js';
import type { World } from '../world.js';
import type { SimCaller } from './sim-caller.js';

/** Time beyond its deadline by which a request is answered or cut, late messages included. */
const ANSWER_GRACE_MILLIS = 1200;

/** What a caller wants, however often it sends it. */
export interface Wish {
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

export class Sending {
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
        fingerprint: wish.content,
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
