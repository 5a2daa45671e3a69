/** A server behind the fence: it answers the control leader itself, and lets in what it may serve. */
import { createServer } from 'node:http';
import { createFence, createNodeHandler, createServerStop, HEALTH_PATH } from 'ternmount/upstream';

const fence = createFence({ cluster: 'north', upstream: 'menu-1', service: 'menu' });
const sheets = new Map();

const listener = createNodeHandler(fence, async (request, response, guarded) => {
  // Everything that may wait comes before the check, and nothing between the check and the effect.
  const text = await new Response(request).text();
  if (!guarded.confirmEffect()) {
    response.writeHead(503).end();
    return;
  }
  sheets.set(guarded.key, text);
  response.writeHead(200).end('stored\n');
});
const server = createServer(listener);
const stop = createServerStop(server);
await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
const origin = `http://127.0.0.1:${server.address().port}`;

const health = await (await fetch(`${origin}${HEALTH_PATH}`)).json();
console.log('state', health.state, 'leased', health.leased);
const refused = await fetch(`${origin}/menu/home-12`, { method: 'PUT', body: 'porridge' });
console.log('without a grant', refused.status, refused.headers.get('ternmount-outcome'));

await fence.drain();
await stop({ graceMillis: 1000 });
