import { HolderWatch, LIMITS, Upstream, getDeclaration, patchDeclaration, putDeclaration, runCase, send, sleep } from '../lib/rig.mjs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

const HOST = 'seats.example';
const SEATS = { name: 'mapa', healthPath: '/health', connections: 130, keyed: true, warmSeconds: 3, grantedBy: 'request' };
const CHECKOUT = { name: 'caixa', healthPath: '/health', connections: 130 };
const route = (name, prefix, type, service) => ({
  name, host: HOST, prefix, type, timeoutMillis: 1000, targetMillis: 400, priority: 1, attempts: 2, service,
});
const ROUTES = [route('r-seats', '/seats/', 'safe', 'mapa'), route('r-checkout', '/checkout/', 'unsafe', 'caixa')];

/** In the rule: "For over half a second, two upstreams that are up hold the same keys". */
const ALLOWED_MILLIS = 500;

await runCase(dirname(fileURLToPath(import.meta.url)), async (rig, hasTrouble) => {
  await rig.reserve();
  for (const index of [1, 2, 3]) rig.startControl(index);
  for (const index of [1, 2]) rig.startRouter(index);
  const upstreams = [1, 2, 3].map((index) => new Upstream(rig, { id: `i-mapa-${index}`, index, service: 'mapa', keyed: true }));
  const checkout = new Upstream(rig, { id: 'i-caixa-1', index: 9, service: 'caixa' });
  await rig.until('a leader', async () => (await getDeclaration(rig, { totalMillis: 500 })).status !== 0);

  const first = { version: 5, routes: ROUTES, services: [SEATS, CHECKOUT], limits: LIMITS };
  const put = await putDeclaration(rig, first, 0);
  if (put.status !== 200) throw new Error(`first configuration: ${put.status} ${put.text}`);
  await checkout.start();
  await upstreams[0].start();
  await upstreams[1].start();
  const watch = new HolderWatch(rig, upstreams);
  await rig.until('all keys have holders', () => upstreams[0].rows().length + upstreams[1].rows().length >= 2);
  await rig.until('routers', async () => (await rig.isReady(1)) && (await rig.isReady(2)));

  // A third upstream is added (scale_out), so that the keys would be divided otherwise if they were divided anew.
  await upstreams[2].start();
  let isOver = false;
  const load = (async () => {
    for (let count = 0; !isOver; count += 1) {
      void send(rig, { router: 1 + (count % 2), host: HOST, path: '/seats/1', key: (count * 7919) % 65536 });
      await sleep(25);
    }
  })();
  await sleep(6000);
  rig.recorder.add('holders-before', { holders: upstreams.map((one) => [one.id, one.rows()]) });

  if (hasTrouble) {
    // A change that removes the service and its route by name, and one second later the change that adds them again.
    const remove = { version: 7, remove: { routes: [ROUTES[0].name], services: [SEATS.name] } };
    const removed = await patchDeclaration(rig, remove, 5);
    if (removed.status !== 200) throw new Error(`change that removes the service: ${removed.status} ${removed.text}`);
    await sleep(1000);
    const add = { version: 9, set: { routes: [ROUTES[0]], services: [SEATS] } };
    const added = await patchDeclaration(rig, add, 7);
    if (added.status !== 200) throw new Error(`change that adds the service: ${added.status} ${added.text}`);
  }
  await sleep(14_000);
  isOver = true;
  await load;
  rig.recorder.add('holders-after', { holders: upstreams.map((one) => [one.id, one.rows()]) });
  const longest = [...watch.longest].map(([pair, { millis, key }]) => ({ pair, millis: Math.round(millis), key }));
  rig.recorder.add('two-holders-longest', { longest });
  const broken = longest.filter(({ millis }) => millis > ALLOWED_MILLIS);
  const text = broken.map(({ pair, millis, key }) => `${pair} held key ${key} together for ${millis} ms`).join('; ');
  return { isBroken: broken.length > 0, verdict: broken.length > 0 ? `OWNER broken: ${text}` : 'OWNER held' };
});
