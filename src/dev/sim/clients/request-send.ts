/** One send of a caller's request to one router, from connecting to the answer or giving up. */
import type { SendId } from '../../checker/history.js';
import { Connection } from '../connection.js';
import type { RouterAnswer } from '../router/router-answer.js';
import type { SimRouter } from '../router/sim-router.js';
import type { SizedService } from '../sim-sizes.js';
import type { World } from '../world.js';
import type { SimCaller } from './sim-caller.js';

/** Time after its deadline by which a request is answered or cut, allowing for late messages. */
const ANSWER_GRACE_MILLIS = 1200;

/** A caller's request, independent of how often it is sent. */
export interface CallerRequest {
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

export class RequestSend {
  private readonly id: SendId;
  private readonly connection: Connection;
  private readonly routerRun: number;
  private request: number | null = null;
  private over = false;

  constructor(
    private readonly world: World,
    private readonly caller: SimCaller,
    private readonly router: SimRouter,
    private readonly callerRequest: CallerRequest,
  ) {
    this.id = `send-${world.nextNumber()}`;
    this.routerRun = router.run;
    this.connection = new Connection(
      world.network,
      { process: caller, onBroken: () => this.onRouterClosed() },
      { process: router, onBroken: () => this.onCallerClosed() },
    );
  }

  begin(): void {
    const { world, callerRequest, id } = this;
    const { definition } = callerRequest.service;
    const now = world.time.now;
    world.recorder.record({
      type: 'request-sent',
      at: now,
      send: id,
      service: definition.name,
      content: callerRequest.content,
      idempotencyKey: callerRequest.idempotency?.key ?? null,
      repeatable: definition.repeatable,
      mayShareAnswer: definition.coalesce,
      answerDueAt: now + definition.deadlineMillis + ANSWER_GRACE_MILLIS,
    });
    this.connection.sendToServer(() => this.onArrival());
    const dueIn = definition.deadlineMillis + ANSWER_GRACE_MILLIS;
    this.caller.schedule(dueIn, () => this.excuseMissingAnswer(now));
    const patienceMillis = this.caller.drawPatienceMillis();
    if (patienceMillis !== null) {
      this.caller.schedule(patienceMillis, () => this.giveUp());
    }
  }

  private onArrival(): void {
    const { router, callerRequest, id } = this;
    this.request = router.accept(
      {
        service: callerRequest.service.definition.name,
        key: callerRequest.key,
        method: callerRequest.idempotency === null ? 'GET' : 'POST',
        target: `/${callerRequest.content}`,
        fingerprint: callerRequest.content,
        deadlineMillis: null,
        idempotency: callerRequest.idempotency,
      },
      {
        send: id,
        content: callerRequest.content,
        answer: (answer) => this.connection.sendToClient(() => this.receive(answer)),
      },
    );
  }

  private receive(answer: RouterAnswer): void {
    if (this.over) {
      return;
    }
    this.over = true;
    const { world, id, callerRequest, caller } = this;
    const at = world.time.now;
    const { name } = callerRequest.service.definition;
    if (answer.type === 'answer') {
      const { ranFor, content, whole } = answer;
      world.recorder.count(`answered ${name}`);
      world.recorder.record({ type: 'answer-received', at, send: id, ranFor, content, whole });
      caller.onSendEnded(callerRequest, true);
    } else {
      const { outcome, reason } = answer;
      world.recorder.count(`refused ${reason} (${outcome})`);
      world.recorder.record({ type: 'refusal-received', at, send: id, outcome, reason });
      caller.onSendEnded(callerRequest, outcome === 'ran');
    }
    this.connection.close(caller);
  }

  private giveUp(): void {
    if (!this.over) {
      this.end(true, 'its caller');
      this.connection.close(this.caller);
    }
  }

  /** Excuses a missing answer if the router was paused or its machine was lost since the send. */
  private excuseMissingAnswer(sentAt: number): void {
    if (!this.over && !this.router.hasRunSince(sentAt)) {
      this.end(true, 'the loss of its router');
      this.connection.close(this.caller);
    }
  }

  /** Records the request as cut when the router closes the connection. */
  private onRouterClosed(): void {
    if (!this.over) {
      const { router } = this;
      this.end(!router.wasStoppedByPlan(this.routerRun), router.name);
    }
  }

  private onCallerClosed(): void {
    if (this.request !== null) {
      this.router.cancel(this.request);
    }
  }

  private end(excused: boolean, by: string): void {
    this.over = true;
    const { world, id, callerRequest, caller } = this;
    world.recorder.count('requests cut');
    world.recorder.record({ type: 'request-cut', at: world.time.now, send: id, excused, by });
    caller.onSendEnded(callerRequest, false);
  }
}
