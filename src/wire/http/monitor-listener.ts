/** Serves `/metrics` for Prometheus and `/healthz` for supervisors; passes other requests to the next listener. */
import type { RequestListener, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

const OK = 200;
const SERVICE_UNAVAILABLE = 503;
const INTERNAL_SERVER_ERROR = 500;

export function createMonitorListener(
  metrics: Registry,
  health: () => { readonly healthy: boolean },
  next: RequestListener,
): RequestListener {
  return (request, response) => {
    const path = request.url?.split('?', 1)[0];
    if (request.method === 'GET' && path === '/metrics') {
      void writeMetrics(metrics, response);
    } else if (request.method === 'GET' && path === '/healthz') {
      const report = health();
      const status = report.healthy ? OK : SERVICE_UNAVAILABLE;
      writeBody(response, status, 'application/json', JSON.stringify(report));
    } else {
      next(request, response);
    }
  };
}

async function writeMetrics(metrics: Registry, response: ServerResponse): Promise<void> {
  try {
    writeBody(response, OK, metrics.contentType, await metrics.metrics());
  } catch {
    writeBody(response, INTERNAL_SERVER_ERROR, 'text/plain', 'metrics failed\n');
  }
}

function writeBody(response: ServerResponse, status: number, contentType: string, text: string): void {
  const body = Buffer.from(text);
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length });
  response.end(body);
}
