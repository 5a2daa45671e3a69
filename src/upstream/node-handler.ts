/** The fence as a request listener of `node:http`. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Fence } from './fence.js';
import type { GuardedRequest } from './guarded-request.js';

/** Handles an admitted request. The promise must not settle before the work is done. */
export type GuardedHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  guarded: GuardedRequest,
) => void | Promise<void>;

const INTERNAL_SERVER_ERROR = 500;

/** Creates a request listener that serves the fence's endpoints and passes admitted requests to `handler`. */
export function createNodeHandler(fence: Fence, handler: GuardedHandler): RequestListener {
  return (request, response) => {
    if (!fence.serveEndpoint(request, response)) {
      void serveGuarded(fence, handler, request, response);
    }
  };
}

async function serveGuarded(
  fence: Fence,
  handler: GuardedHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const exchange = fence.open(request, response);
  if (exchange === null) {
    return;
  }
  try {
    await handler(request, response, exchange);
  } catch {
    failResponse(response);
  } finally {
    exchange.closeHandler();
  }
}

/** A handler that threw may have run in part, so the response must not look like a refusal to the router. */
function failResponse(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy();
  } else {
    response.writeHead(INTERNAL_SERVER_ERROR, { 'content-length': 0 });
    response.end();
  }
}
