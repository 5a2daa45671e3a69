/** Routers whose last connection ended, so that operators see how long a router has been disconnected. */
import type { MonotonicMillis, Revision, RouterId } from '../model/identifiers.js';

/** How long a disconnected router is listed. */
export const DEPARTED_ROUTER_MILLIS = 10 * 60_000;

/** The last reported state of a router. */
export interface DepartedRouter {
  readonly router: RouterId;
  readonly revision: Revision;
  readonly heardAt: MonotonicMillis;
}

export class DepartedRouters {
  readonly #routers = new Map<RouterId, DepartedRouter>();

  onDisconnect(router: DepartedRouter): void {
    this.#routers.set(router.router, router);
  }

  onReconnect(router: RouterId): void {
    this.#routers.delete(router);
  }

  list(now: MonotonicMillis): readonly DepartedRouter[] {
    for (const { router, heardAt } of this.#routers.values()) {
      if (now - heardAt > DEPARTED_ROUTER_MILLIS) {
        this.#routers.delete(router);
      }
    }
    return [...this.#routers.values()];
  }
}
