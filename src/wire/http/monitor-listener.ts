/** `/metrics` for Prometheus and `/healthz` for supervisors; everything else goes on to the listener behind. */
import type { RequestListener, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

const OK = 200;
const SERVICE_UNAVAILABLE = 503;
const INTERNAL_SERVER_ERROR = 500;

export function createMonitorListener(
  metrics: Registry,
  health: () => { readonly healthy: boolean },
  rest: RequestListener,
): RequestListener {
  return (request, response) => {
    const path = request.url?.split('?', 1)[0];
    if (request.method === 'GET' && path === '/metrics') {
      void writeMetrics(metrics, response);
    } else if (request.method === 'GET' && path === '/healthz') {
      const facts = health();
      const status = facts.healthy ? OK : SERVICE_UNAVAILABLE;
      writeBody(response, status, 'application/json', JSON.stringify(facts));
    } else {
      rest(request, response);
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
