/** A caller: reads keys, places orders that must run at most once, gives up early at times, and resends orders through other routers. */
import { CLIENT_ZONE } from '../network.js';
import type { SimRouter } from '../router/sim-router.js';
import { SimProcess } from '../sim-process.js';
import type { World } from '../world.js';
import { type CallerRequest, RequestSend } from './request-send.js';

const THINK_MILLIS = 50;
/** Share of requests whose caller gives up before the answer, and the mean time until then. */
const IMPATIENT_SHARE = 0.06;
const IMPATIENT_MILLIS = 15;
/** Share of orders that are resent although they were answered. */
const NEEDLESS_RESEND_SHARE = 0.1;
const MAX_SENDS = 4;
const MIN_RESEND_MILLIS = 20;
const MAX_RESEND_MILLIS = 2500;

export class SimCaller extends SimProcess {
  private next = 1;

  constructor(
    protected readonly world: World,
    number: number,
  ) {
    super(`caller-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
  }

  protected onStart(): void {
    this.schedule(this.random.exponential(THINK_MILLIS), () => this.think());
  }

  protected onStop(): void {}

  protected think(): void {
    this.send(this.createRequest());
    this.schedule(this.drawPauseMillis(), () => this.think());
  }

  /** Draws the time until the next request. */
  protected drawPauseMillis(): number {
    return this.random.exponential(THINK_MILLIS);
  }

  protected createRequest(): CallerRequest {
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

  protected send(request: CallerRequest): void {
    const router = this.pickRouter();
    if (router === undefined) {
      return;
    }
    request.sends += 1;
    new RequestSend(this.world, this, router, request).begin();
  }

  /** Returns a random router that accepts connections. */
  protected pickRouter(): SimRouter | undefined {
    const open = this.world.routers.filter((router) => router.state !== 'stopped' && !router.isStopping);
    return open.length === 0 ? undefined : this.random.pick(open);
  }

  /** Handles the end of a send: resends an order whose outcome is unknown, and occasionally any other order. */
  onSendEnded(request: CallerRequest, isSettled: boolean): void {
    if (request.idempotency === null || request.sends >= MAX_SENDS) {
      return;
    }
    if (!isSettled || this.random.chance(NEEDLESS_RESEND_SHARE)) {
      const pause = this.random.between(MIN_RESEND_MILLIS, MAX_RESEND_MILLIS);
      this.schedule(pause, () => this.send(request));
    }
  }

  drawPatienceMillis(): number | null {
    return this.random.chance(IMPATIENT_SHARE) ? this.random.exponential(IMPATIENT_MILLIS) : null;
  }
}
