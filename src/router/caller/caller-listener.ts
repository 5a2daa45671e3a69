/** The request path towards callers, on koa or straight on `node:http`. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import Koa from 'koa';

export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Which server library carries callers' requests; docs/design/upstream-client.md has the measurement. */
export type CallerFrontEnd = 'koa' | 'node';

export function createCallerListener(frontEnd: CallerFrontEnd, handler: CallerHandler): RequestListener {
  if (frontEnd === 'node') {
    return handler;
  }
  const app = new Koa();
  app.use((context) => {
    context.respond = false;
    handler(context.req, context.res);
  });
  return app.callback();
}
