/** The fence as a request listener of `node:http`. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Fence } from './fence.js';
import type { GuardedRequest } from './guarded-request.js';

/** Serves one request that was let in. The promise must last as long as the work does. */
export type GuardedHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  guarded: GuardedRequest,
) => void | Promise<void>;

const INTERNAL_SERVER_ERROR = 500;

/** Makes a request listener which serves the fence's endpoints and lets guarded requests through to `handler`. */
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
    breakAnswer(response);
  } finally {
    exchange.closeHandler();
  }
}

/** A handler that threw may have run in part: the router must not take the answer for a refusal. */
function breakAnswer(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy();
  } else {
    response.writeHead(INTERNAL_SERVER_ERROR, { 'content-length': 0 });
    response.end();
  }
}
