/** A caller with work of seconds, who uses the connections to a router until it takes no more while it stops. */
import type { SimRouter } from '../router/sim-router.js';
import type { CallerRequest } from './request-send.js';
import { SimCaller } from './sim-caller.js';

/** Mean time between two requests. */
const PAUSE_MILLIS = 300;

export class LateCaller extends SimCaller {
  #hasEnded = false;

  /** Sends nothing more. */
  end(): void {
    this.#hasEnded = true;
  }

  protected override think(): void {
    if (!this.#hasEnded) {
      super.think();
    }
  }

  protected override createRequest(): CallerRequest {
    const request = super.createRequest();
    const content = `${request.content} of ${this.name}`;
    this.world.longContents.add(content);
    return { ...request, content };
  }

  protected override drawPauseMillis(): number {
    return this.random.exponential(PAUSE_MILLIS);
  }

  /** Prefers a router that stops. */
  protected override pickRouter(): SimRouter | undefined {
    return this.world.routers.find((router) => router.takesLateRequests) ?? super.pickRouter();
  }

  override drawPatienceMillis(): number | null {
    return null;
  }
}
