import net from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, LIMITS, PORTS, Upstream, getDeclaration, putDeclaration, runCase, send, sleep } from '../lib/rig.mjs';

const HOST = 'seats.example';
const SEATS = { name: 'mapa', healthPath: '/health', connections: 130, keyed: true, warmSeconds: 3, grantedBy: 'request' };
const ROUTE = {
  name: 'r-seats', host: HOST, prefix: '/seats/', type: 'safe', timeoutMillis: 800, targetMillis: 300, priority: 2, attempts: 2,
  service: 'mapa',
};
/** applied_late: an order is carried out 2 to 12 s later. */
const LATE_MILLIS = 7000;
/** One router in three is cut off with the upstream (srv_cut, how fronts). */
const ROUTERS = [1, 2, 3];
const CUT_ROUTER = 3;
/** So long the leader has been one before the trouble begins. */
const CALM_MILLIS = 24_000;
/** srv_cut: 10 s in the site files. */
const CUT_MILLIS = 10_000;

/** A proxy in front of a member's internal port. While a router is cut off, nothing passes between it and the member. */
class MemberProxy {
  constructor(rig, listenHost, targetHost) {
    this.pairs = new Set();
    this.cutHosts = new Set();
    const port = PORTS.internal[0];
    this.server = net.createServer((inbound) => this.#accept(inbound, targetHost, port));
    this.server.listen(port, listenHost);
    rig.closers.push(() => {
      this.server.close();
      for (const { inbound, outbound } of this.pairs) {
        inbound.destroy();
        outbound?.destroy();
      }
    });
  }
  #accept(inbound, targetHost, port) {
    const from = inbound.remoteAddress;
    const outbound = this.cutHosts.has(from) ? null : net.connect(port, targetHost);
    const pair = { from, inbound, outbound };
    this.pairs.add(pair);
    const close = () => {
      this.pairs.delete(pair);
      inbound.destroy();
      outbound?.destroy();
    };
    inbound.on('error', close).on('close', close);
    outbound?.on('error', close).on('close', close);
    inbound.on('data', (chunk) => {
      if (!this.cutHosts.has(from)) outbound?.write(chunk);
    });
    outbound?.on('data', (chunk) => {
      if (!this.cutHosts.has(from)) inbound.write(chunk);
    });
  }
  cut(host) {
    this.cutHosts.add(host);
  }
  /** What was held up meanwhile is lost: connections of the time of the cut are reset. */
  heal(host) {
    this.cutHosts.delete(host);
    for (const { from, inbound } of [...this.pairs]) {
      if (from === host) inbound.resetAndDestroy();
    }
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (rig, hasTrouble) => {
  await rig.reserve();
  const hidden = (index) => `127.${rig.block}.4.${index}`;
  const proxies = [1, 2, 3].map((index) => new MemberProxy(rig, rig.controlHost(index), hidden(index)));
  for (const index of [1, 2, 3]) {
    rig.startControl(index, {
      change: (text) =>
        text
          .replace(/^listen: .*$/m, `listen: ${hidden(index)}:${PORTS.internal[0]}\nadvertise: ${rig.controlHost(index)}:${PORTS.internal[0]}`),
    });
  }
  // The router's own address on its outgoing connections, so that the proxies can tell the routers apart.
  for (const index of ROUTERS) {
    rig.startRouter(index, { change: (text) => `${text}\noutgoing: ${rig.routerHost(index)}\n` });
  }
  const upstreams = [1, 2, 3, 4, 5].map(
    (index) => new Upstream(rig, { id: `i-mapa-${index}`, index, service: 'mapa', keyed: true }),
  );
  const [first, ...others] = upstreams;
  await rig.until('a leader', async () => (await getDeclaration(rig, { totalMillis: 500 })).status !== 0);
  const put = await putDeclaration(rig, { version: 5, routes: [ROUTE], services: [SEATS], limits: LIMITS }, 0);
  if (put.status !== 200) throw new Error(`first configuration: ${put.status} ${put.text}`);
  for (const upstream of upstreams) await upstream.start();
  await rig.until('all keys have holders', () => upstreams.every((upstream) => upstream.rows().length > 0));
  for (const index of ROUTERS) await rig.until(`router ${index}`, () => rig.isReady(index));
  const [[from, to]] = first.rows();
  const key = Math.round((from + to) / 2);

  let isOver = false;
  const load = Promise.all(
    ROUTERS.map(async (router) => {
      while (!isOver) {
        void send(rig, { router, host: HOST, path: '/seats/1', key, deadlineMillis: 800 });
        await sleep(100);
      }
    }),
  );
  const overlaps = [];
  /** When the cut ended. A grant that comes within thaw_ms after that doesn't count. */
  let healedAt = Number.POSITIVE_INFINITY;
  const isExcused = (t) => t >= healedAt && t <= healedAt + BOUNDS.thaw_ms;
  const watch = setInterval(() => {
    const t = rig.recorder.now();
    for (const other of others) {
      const isOverlap = first.holds(key, t) && other.holds(key, t);
      const last = overlaps.findLast((span) => span.other === other);
      if (isOverlap && last?.isOpen) last.to = t;
      else if (isOverlap) overlaps.push({ other, from: t, to: t, isOpen: true, isExcused: isExcused(t) });
      else if (last !== undefined) last.isOpen = false;
    }
  }, 5);
  rig.closers.push(() => clearInterval(watch));
  await sleep(CALM_MILLIS);

  const setCut = (isCut) => {
    first.isCut = isCut;
    for (const proxy of proxies) {
      if (isCut) proxy.cut(rig.routerHost(CUT_ROUTER));
      else proxy.heal(rig.routerHost(CUT_ROUTER));
    }
    rig.recorder.add(isCut ? 'cut-begins' : 'cut-ends', { upstream: first.id, router: CUT_ROUTER, from: 'all control members' });
  };
  if (hasTrouble) {
    await new Promise((resolve) => {
      first.onGrant = (grant) => {
        // While the upstream is cut off, calls of control to it get nowhere; requests still reach it.
        if (first.isCut) return { lost: true };
        const sinceBeat = rig.recorder.now() - first.lastHeartbeatAt;
        const isOfKey = grant.from <= key && key <= grant.to;
        if (!isOfKey || sinceBeat < 100 || sinceBeat > 1000) return null;
        setCut(true);
        resolve();
        return { lateMillis: LATE_MILLIS };
      };
    });
    await sleep(CUT_MILLIS);
    setCut(false);
    healedAt = rig.recorder.now();
    first.onGrant = () => null;
  } else {
    await sleep(CUT_MILLIS);
  }
  await sleep(3000);
  isOver = true;
  await load;
  const began = (upstream, span) =>
    rig.runs.filter((run) => run.upstream === upstream.id && run.key === key && run.t >= span.from && run.t <= span.to).length;
  const spans = overlaps.filter((span) => !span.isExcused).map((span) => ({
    holders: [first.id, span.other.id],
    from: span.from,
    millis: Math.round(span.to - span.from),
    began: [began(first, span), began(span.other, span)],
  }));
  rig.recorder.add('both-hold-key', { key, spans, thawMillis: BOUNDS.thaw_ms });
  const broken = spans.find((span) => span.began.every((count) => count > 0));
  const verdict =
    broken === undefined
      ? 'OWNER held'
      : `OWNER broken: ${broken.holders.join(' and ')} held key ${key} together for ${broken.millis} ms and began ` +
        `${broken.began.join(' and ')} requests on it in that time`;
  return { isBroken: broken !== undefined, verdict };
});
