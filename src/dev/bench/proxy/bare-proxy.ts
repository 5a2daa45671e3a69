/** A proxy without any decisions: what HTTP libraries alone cost on both sides. Requests go to upstreams in turn. */
import type { RequestListener, ServerResponse } from 'node:http';
import Koa from 'koa';
import type { Address } from '../../../model/identifiers.js';
import type { UpstreamClient, WholeAnswer } from './upstream-clients.js';

const BAD_GATEWAY = 502;

export class BareProxy {
  private turn = 0;

  constructor(
    private readonly client: UpstreamClient,
    private readonly upstreams: readonly Address[],
  ) {}

  /** On `node:http` alone. */
  nodeListener(): RequestListener {
    return (request, response) => {
      this.forward(request.url ?? '/', (answer) => writeAnswer(response, answer));
    };
  }

  /** On koa, answered through its context as its applications do. */
  koaListener(): RequestListener {
    const app = new Koa();
    app.use(async (context) => {
      const answer = await new Promise<WholeAnswer | null>((resolve) => this.forward(context.url, resolve));
      context.status = answer?.status ?? BAD_GATEWAY;
      if (answer !== null) {
        context.set('content-type', answer.contentType);
        context.body = answer.body;
      }
    });
    return app.callback();
  }

  private forward(path: string, done: (answer: WholeAnswer | null) => void): void {
    this.turn = (this.turn + 1) % this.upstreams.length;
    this.client.get(this.upstreams[this.turn] as Address, path, done);
  }
}

function writeAnswer(response: ServerResponse, answer: WholeAnswer | null): void {
  if (answer === null) {
    response.writeHead(BAD_GATEWAY, { 'content-length': 0 }).end();
    return;
  }
  const { status, contentType, body } = answer;
  response.writeHead(status, ['content-type', contentType, 'content-length', String(body.length)]);
  response.end(body);
}
