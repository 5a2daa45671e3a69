/**
 * A server that owns keys: it keeps the sheet of each key in memory, and hands its keys on when it stops.
 * Reads the cluster's secret from `cluster.secret` where it is started. Arguments: id, service, and the address to listen
 * on, e.g. `menu-1 menu 127.61.1.3:8080`.
 */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { createFence, createNodeHandler, createServerStop } from 'ternmount/upstream';

const [upstream = '', service = '', address = ''] = process.argv.slice(2);
const [host, port] = address.split(':');
// With the cluster's secret, only control members are obeyed.
const secret = readFileSync('cluster.secret', 'utf8').trim();
const fence = createFence({ cluster: 'north', upstream, service, secret });
const sheets = new Map();

const listener = createNodeHandler(fence, async (request, response, guarded) => {
  const body = await new Response(request).text();
  if (request.method === 'PUT') {
    // Nothing may wait between this check and the effect.
    if (!guarded.confirmEffect()) {
      response.writeHead(503, { 'content-length': 0 }).end();
      return;
    }
    sheets.set(guarded.key, body);
  }
  const sheet = sheets.get(guarded.key) ?? 'no sheet yet';
  const text = `${upstream}: ${sheet}\n`;
  response.writeHead(200, { 'content-length': Buffer.byteLength(text) }).end(text);
});
const server = createServer(listener);
const stop = createServerStop(server);
server.listen(Number(port), host, () => console.log(`${upstream} listens on ${address}`));

process.once('SIGTERM', async () => {
  await fence.drain();
  // Answers that routers haven't taken yet still go out.
  await stop({ graceMillis: 5000 });
});
