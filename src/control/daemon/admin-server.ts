/** Task that owns the admin port: metrics, health, and the operators' API if there is one. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type Koa from 'koa';
import type { Registry as MetricsRegistry } from 'prom-client';
import type { Address } from '../../model/identifiers.js';
import { DEFAULT_HTTP_LIMITS, HttpListener } from '../../wire/http/http-listener.js';
import { createMonitorListener } from '../../wire/http/monitor-listener.js';

export interface AdminServerOptions {
  readonly listen: Address;
  readonly metrics: MetricsRegistry;
  /** Content of `/healthz`; with `healthy: false` its status is 503. */
  readonly health: () => { readonly healthy: boolean };
  readonly app: Koa | null;
}

export async function startAdminServer(options: AdminServerOptions): Promise<HttpListener> {
  const fallback: RequestListener = options.app?.callback() ?? notFound;
  const monitor = createMonitorListener(options.metrics, options.health, fallback);
  return HttpListener.listen(options.listen, DEFAULT_HTTP_LIMITS, monitor);
}

function notFound(_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(404, { 'content-length': 0 });
  response.end();
}
