/** A proxy without routing decisions, to measure the cost of HTTP libraries alone. It picks upstreams round-robin. */
import type { RequestListener, ServerResponse } from 'node:http';
import Koa from 'koa';
import type { Address } from '../../../model/identifiers.js';
import type { UpstreamClient, WholeAnswer } from './upstream-clients.js';

const BAD_GATEWAY = 502;

export class BareProxy {
  private upstreamIndex = 0;

  constructor(
    private readonly client: UpstreamClient,
    private readonly upstreams: readonly Address[],
  ) {}

  /** Returns a listener on `node:http` alone. */
  nodeListener(): RequestListener {
    return (request, response) => {
      this.forward(request.url ?? '/', (answer) => writeAnswer(response, answer));
    };
  }

  /** Returns a listener on koa that answers through the koa context, as koa applications do. */
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
    this.upstreamIndex = (this.upstreamIndex + 1) % this.upstreams.length;
    this.client.get(this.upstreams[this.upstreamIndex] as Address, path, done);
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
