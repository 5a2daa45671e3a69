/** The fence as koa middleware. */
import type { Middleware } from 'koa';
import type { Fence } from './fence.js';
import type { GuardedRequest } from './guarded-request.js';

/** State that the middleware sets in `ctx.state`. */
export interface GuardedState {
  guarded: GuardedRequest;
}

/** Serves the fence's endpoints and guards all later middleware. Must come first, before any body parser. */
export function createKoaMiddleware(fence: Fence): Middleware<GuardedState> {
  return async (context, next) => {
    if (fence.serveEndpoint(context.req, context.res)) {
      context.respond = false;
      return;
    }
    const exchange = fence.open(context.req, context.res);
    if (exchange === null) {
      context.respond = false;
      return;
    }
    context.state.guarded = exchange;
    try {
      await next();
    } finally {
      exchange.closeHandler();
    }
  };
}
