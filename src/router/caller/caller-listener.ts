/** The HTTP listener for callers' requests, on koa or directly on `node:http`. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import Koa from 'koa';

export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Server library for callers' requests; docs/design/upstream-client.md compares the two. */
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
