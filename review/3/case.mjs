import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, LIMITS, Upstream, getDeclaration, patchDeclaration, putDeclaration, runCase, send, sleep } from '../lib/rig.mjs';

const HOST = 'tickets.example';
const CHECKOUT = { name: 'caixa', healthPath: '/health', connections: 130 };
const route = (name, prefix, type) => ({
  name, host: HOST, prefix, type, timeoutMillis: 1000, targetMillis: 400, priority: 1, attempts: 2, service: 'caixa',
});
/** Words that are no type of the protocol page. */
const ODD_TYPES = ['hourly', 'constructor', '__proto__'];
/** A type that is no word at all: lists in lists. The body has some 7 KB. */
const NESTED_LISTS = 3500;
/** answer_lost: the upstream runs a request and its answer is lost; this share of the requests (0.06 in the site files). */
const LOST_SHARE = 0.06;
const REQUESTS = 300;
/** The platform starts a process that ended again after a short delay. */
const RESTART_MILLIS = 1000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (rig, hasTrouble) => {
  await rig.reserve();
  const ownEnds = new Map();
  const startMember = (index, bootstrap) => {
    const entry = rig.startControl(index, { bootstrap });
    entry.child.on('exit', () => {
      if (!entry.isWanted || rig.stopped) return;
      ownEnds.set(index, (ownEnds.get(index) ?? 0) + 1);
      setTimeout(() => rig.stopped || startMember(index, false), RESTART_MILLIS);
    });
  };
  for (const index of [1, 2, 3]) startMember(index, true);
  for (const index of [1, 2]) rig.startRouter(index);
  let arrivals = 0;
  let losesAnswers = false;
  const onRequest = (_run, incoming) => {
    arrivals += 1;
    if (!losesAnswers || arrivals % Math.round(1 / LOST_SHARE) !== 0) return false;
    rig.recorder.add('answer-lost', { id: incoming.headers['request-id'] });
    setTimeout(() => incoming.socket.resetAndDestroy(), 20);
    return true;
  };
  const upstreams = [1, 2, 3].map((index) => new Upstream(rig, { id: `i-caixa-${index}`, index, service: 'caixa', onRequest }));
  await rig.until('a leader', async () => (await getDeclaration(rig, { totalMillis: 500 })).status !== 0);
  let version = 5;
  const first = { version, routes: [route('r-checkout', '/checkout/', 'unsafe')], services: [CHECKOUT], limits: LIMITS };
  const put = await putDeclaration(rig, first, 0);
  if (put.status !== 200) throw new Error(`first configuration: ${put.status} ${put.text}`);
  for (const upstream of upstreams) await upstream.start();
  await rig.until('upstreams', () => upstreams.every(({ isAcknowledged }) => isAcknowledged));
  await rig.until('routers', async () => (await rig.isReady(1)) && (await rig.isReady(2)));

  const broken = [];
  const prefixes = ['/checkout/'];
  if (hasTrouble) {
    for (const [index, type] of ODD_TYPES.entries()) {
      const prefix = `/odd-${index}/`;
      const next = version + 2;
      const change = { version: next, set: { routes: [route(`r-odd-${index}`, prefix, type)] } };
      const { status } = await patchDeclaration(rig, change, version, { note: { type } });
      rig.recorder.add('invalid-configuration', { version: next, type, status });
      if (status >= 200 && status < 300) {
        version = next;
        prefixes.push(prefix);
        broken.push(`CONFIG: version ${next}, a route of type ${JSON.stringify(type)}, was acknowledged`);
      }
    }
  }
  await sleep(BOUNDS.config_apply_ms);

  // Orders on the route of type unsafe, and on those that were acknowledged though they have no type.
  losesAnswers = hasTrouble;
  const answers = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    const path = `${prefixes[count % prefixes.length]}order`;
    answers.push(send(rig, { router: 1 + (count % 2), method: 'POST', host: HOST, path, body: 'seat 7' }));
    await sleep(15);
  }
  await Promise.all(answers);
  losesAnswers = false;
  const runsOf = new Map();
  for (const { id, url } of rig.runs) runsOf.set(id, [...(runsOf.get(id) ?? []), url]);
  const twice = [...runsOf].filter(([, urls]) => urls.length > 1);
  rig.recorder.add('ran-more-than-once', { requests: REQUESTS, twice: twice.map(([id, urls]) => ({ id, url: urls[0], runs: urls.length })) });
  if (twice.length > 0) {
    broken.push(`TWICE: ${twice.length} of ${REQUESTS} orders ran more than once, all on ${[...new Set(twice.map(([, urls]) => urls[0]))]}`);
  }

  if (hasTrouble) {
    const change = { version: version + 2, set: { routes: [route('r-nested', '/nested/', '@@')] } };
    const rawBody = JSON.stringify(change).replace('"@@"', '['.repeat(NESTED_LISTS) + ']'.repeat(NESTED_LISTS));
    const { status } = await patchDeclaration(rig, { version: change.version }, version, { rawBody, note: { type: `${NESTED_LISTS} lists in lists` } });
    rig.recorder.add('invalid-configuration', { version: change.version, type: `${NESTED_LISTS} lists in lists`, status });
    await sleep(10_000);
  }
  // A day's end: a proper change, and the operator reads back what was acknowledged, again and again for longer than contact_ms.
  const proper = { version: version + 20, set: { routes: [route('r-later', '/later/', 'unsafe')] } };
  const added = await patchDeclaration(rig, proper, version, { totalMillis: BOUNDS.ack_ms + BOUNDS.contact_ms });
  if (added.status === 200) version = proper.version;
  const read = await getDeclaration(rig, { totalMillis: 15_000 });
  const shown = read.status === 200 ? JSON.parse(read.text).version : null;
  rig.recorder.add('read-back', { status: read.status, acknowledged: version, shown });
  if (shown === null || shown < version) {
    broken.push(`CONFIG: read back for 15 s, the acknowledged version ${version} didn't come (${read.status || read.error})`);
  }
  const ends = [...ownEnds].map(([index, count]) => `control-${index} ${count} times`).join(', ');
  rig.recorder.add('own-ends', { ends });
  // The rule: three times in the day, on half of the core.
  const endCount = [...ownEnds.values()].reduce((sum, count) => sum + count, 0);
  if (endCount >= 3 && ownEnds.size >= 2) broken.push(`Fault: processes ended by themselves: ${ends}`);
  return { isBroken: broken.length > 0, verdict: broken.length > 0 ? broken.join('\n') : 'CONFIG held' };
});
