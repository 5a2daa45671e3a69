/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, started with the commands of
 * deploy/system.toml and with settings filled from the templates of platform/, and stand-ins for operator, clients and upstreams.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (millis) => new Promise((resolve) => setTimeout(resolve, millis));

export const PORTS = { control: 8544, frontend: 8548, readiness: 8542, internal: [7540, 7555], upstream: 8080 };
export const ZONES = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-1' };
const ZONE_NAMES = Object.keys(ZONES);
/** The bounds of the small sites. */
export const BOUNDS = {
  contact_ms: 3000,
  ack_ms: 4000,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  max_hold_ms: 10000,
  thaw_ms: 300,
};
export const HEARTBEAT_MILLIS = 1500;

/** The case can't run here: exit status 2. */
export class CannotRun extends Error {}

/** Writes what was sent, answered and run, one JSON line each, with milliseconds since the start. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }
  now() {
    return Math.round((performance.now() - this.startedAt) * 10) / 10;
  }
  add(event, fields = {}) {
    appendFileSync(this.file, `${JSON.stringify({ t: this.now(), event, ...fields })}\n`);
  }
}

/** Fills a template as the deploy pages tell: gaps, `|json`, sections and inverted sections. */
export function fill(template, fields) {
  const look = (path, scopes) => {
    if (path === '.') return scopes[0];
    const [first, ...rest] = path.split('.');
    const scope = scopes.find((one) => one !== null && typeof one === 'object' && first in one);
    return rest.reduce((value, name) => value?.[name], scope?.[first]);
  };
  const plain = (value) => {
    if (value === undefined || value === null) return '';
    if (Array.isArray(value)) return value.join(',');
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  };
  const render = (text, scopes, key, isLast) => {
    const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
    const withoutSections = text.replace(section, (_all, mark, path, inner) => {
      const value = look(path, scopes);
      const isGiven = value !== undefined && value !== null && value !== false;
      if (mark === '^') return isGiven ? '' : render(inner, scopes, key, isLast);
      if (!isGiven) return '';
      if (typeof value !== 'object') return render(inner, scopes, key, isLast);
      const entries = Object.entries(value);
      return entries
        .map(([name, entry], index) => render(inner, [entry, ...scopes], name, index === entries.length - 1))
        .join('');
    });
    return withoutSections.replace(/\{\{([^}]+)\}\}/g, (_all, gap) => {
      if (gap === '@') return key ?? '';
      if (gap === ',') return isLast ? '' : ',';
      const [path, form] = gap.split('|');
      const value = look(path, scopes);
      return form === 'json' ? JSON.stringify(value ?? null) : plain(value);
    });
  };
  return render(template, [fields], null, true);
}

/** The command line and the template of a role, from the deploy file. */
function roleOf(name) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${name}]`));
  const value = (key) => new RegExp(`^${key} = "([^"]*)"`, 'm').exec(section ?? '')?.[1];
  const [run, template] = [value('run'), value('template')];
  if (run === undefined || template === undefined) {
    throw new CannotRun(`no role ${name} in deploy/system.toml`);
  }
  return { run, template: readFileSync(join(ROOT, template), 'utf8') };
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export class Rig {
  constructor(recorder) {
    this.recorder = recorder;
    this.folder = mkdtempSync(join(tmpdir(), 'ternmount-review-'));
    this.processes = new Map();
    this.closers = [];
    this.controlSettings = new Map();
    this.seedCount = 0;
    this.stopped = false;
  }

  /** Chooses a free block of loopback addresses, 127.N.x.y. */
  async reserve(controls = 3) {
    this.seedCount = controls;
    for (let attempt = 0; attempt < 30; attempt += 1) {
      const block = 20 + Math.floor(Math.random() * 200);
      this.block = block;
      if ((await isFree(this.controlHost(1), PORTS.control)) && (await isFree(this.controlHost(1), PORTS.internal[0]))) {
        return;
      }
    }
    throw new CannotRun('no free block of loopback addresses');
  }

  controlHost(index) {
    return `127.${this.block}.1.${index}`;
  }
  routerHost(index) {
    return `127.${this.block}.2.${index}`;
  }
  upstreamHost(index) {
    return `127.${this.block}.3.${index}`;
  }
  get controlAddresses() {
    return Array.from({ length: this.seedCount }, (_, index) => `${this.controlHost(index + 1)}:${PORTS.control}`);
  }

  #fields(name, ip, index, own) {
    return {
      node_name: name,
      ip,
      zone: ZONE_NAMES[(index - 1) % ZONE_NAMES.length],
      region: 'region-1',
      zones: ZONES,
      internal_port_range: PORTS.internal,
      seed_nodes: this.controlAddresses,
      heartbeat_ms: HEARTBEAT_MILLIS,
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      limits: { link_mbps: 1000 },
      bounds: BOUNDS,
      ...own,
    };
  }

  /** `change` may alter the filled settings, for example to put a proxy in front of a port. */
  startControl(index, { bootstrap = true, change = (text) => text } = {}) {
    const name = `control-${index}`;
    const ip = this.controlHost(index);
    const dataFolder = join(this.folder, name);
    mkdirSync(dataFolder, { recursive: true });
    const fields = this.#fields(name, ip, index, {
      listen: { control_plane: `${ip}:${PORTS.control}` },
      bootstrap,
      data_dir: dataFolder,
    });
    this.controlSettings.set(index, { change });
    return this.#start(name, 'control', fields, change);
  }

  startRouter(index, { change = (text) => text } = {}) {
    const ip = this.routerHost(index);
    const fields = this.#fields(`router-${index}`, ip, index, {
      listen: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}` },
    });
    return this.#start(`router-${index}`, 'router', fields, change);
  }

  #start(name, role, fields, change) {
    const { run, template } = roleOf(role);
    const settings = join(this.folder, `${name}.yaml`);
    writeFileSync(settings, change(fill(template, fields)));
    const [program, ...words] = run.split(' ').map((word) => (word === '/etc/ternmount/local.json' ? settings : word));
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH, HOME, LANG, TERNMOUNT_NODE_FILE: settings },
    });
    const entry = { child, isWanted: true, exits: [] };
    this.processes.set(name, entry);
    this.recorder.add('process-started', { name, pid: child.pid });
    child.on('exit', (code, signal) => {
      entry.exited = { code, signal };
      this.recorder.add('process-ended', { name, pid: child.pid, code, signal, byTheScript: !entry.isWanted });
    });
    return entry;
  }

  kill(name, signal = 'SIGKILL') {
    const entry = this.processes.get(name);
    if (entry !== undefined && entry.exited === undefined) {
      entry.isWanted = false;
      entry.child.kill(signal);
    }
  }

  logOf(name) {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8');
  }

  /** Ends every process that was started, closes the stand-ins and removes the temporary folder. */
  async stop({ keep = process.env.KEEP === '1' } = {}) {
    if (this.stopped) return;
    this.stopped = true;
    for (const name of this.processes.keys()) this.kill(name);
    for (const close of this.closers) close();
    const deadline = performance.now() + 3000;
    while ([...this.processes.values()].some(({ exited }) => exited === undefined) && performance.now() < deadline) {
      await sleep(20);
    }
    if (keep) console.error(`kept ${this.folder}`);
    else rmSync(this.folder, { recursive: true, force: true });
  }

  /** Waits until `check` holds. Throws `CannotRun` if it doesn't in time. */
  async until(what, check, millis = 30_000) {
    const deadline = performance.now() + millis;
    while (performance.now() < deadline) {
      if (await check()) return;
      await sleep(50);
    }
    throw new CannotRun(`${what}: not within ${millis} ms`);
  }

  async isReady(routerIndex) {
    const answer = await request({
      host: this.routerHost(routerIndex),
      port: PORTS.readiness,
      method: 'GET',
      path: '/healthz',
      timeoutMillis: 1000,
    });
    return answer.status === 200;
  }
}

/** One HTTP request on a new connection. Never rejects: `status` is 0 if there was no whole answer. */
export function request({ host, port, method, path, headers = {}, body = null, timeoutMillis, localAddress }) {
  return new Promise((resolve) => {
    let isOver = false;
    const end = (answer) => {
      if (!isOver) {
        isOver = true;
        clearTimeout(timer);
        outgoing.destroy();
        resolve(answer);
      }
    };
    const outgoing = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      ...(localAddress && { localAddress }),
      headers: { ...headers, ...(body !== null && { 'content-length': Buffer.byteLength(body) }) },
    });
    const timer = setTimeout(() => end({ status: 0, error: 'timeout', headers: {}, text: '' }), timeoutMillis);
    outgoing.on('error', ({ code, message }) => end({ status: 0, error: code ?? message, headers: {}, text: '' }));
    outgoing.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', ({ code }) => end({ status: 0, error: code, headers: {}, text: '' }));
      response.on('end', () =>
        end({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          text: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    outgoing.end(body ?? undefined);
  });
}

/** Calls the daemons that serve control: follows 307 twice, goes on to another one after a failure, waits a growing time. */
export async function callControl(rig, call, { first = 0, totalMillis = 4000, label = 'call' } = {}) {
  const deadline = performance.now() + totalMillis;
  const addresses = rig.controlAddresses;
  let otherRefusals = 0;
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    let [host, port] = addresses[(first + attempt) % addresses.length].split(':');
    let { path } = call;
    let answer;
    for (let hop = 0; hop < 3; hop += 1) {
      answer = await request({ timeoutMillis: 1000, ...call, host, port: Number(port), path });
      rig.recorder.add(`${label}-answered`, { to: `${host}:${port}`, status: answer.status, error: answer.error });
      if (answer.status !== 307) break;
      const location = new URL(answer.headers.location, `http://${host}:${port}`);
      [host, port, path] = [location.hostname, location.port, location.pathname + location.search];
    }
    const { status } = answer;
    if (status >= 200 && status < 300) return answer;
    if ([400, 409, 412, 413, 422].includes(status)) return answer;
    if (status >= 400 && status < 500 && ![408, 429].includes(status)) {
      otherRefusals += 1;
      if (otherRefusals === 3) return answer;
    }
    await sleep(Math.min(1000, 100 * 2 ** attempt));
  }
  return { status: 0, error: 'no clear answer', headers: {}, text: '' };
}

export function putDeclaration(rig, document, ifMatch, options = {}) {
  const body = JSON.stringify(document);
  rig.recorder.add('operator-put', { version: document.version, ifMatch, bytes: body.length, ...options.note });
  return callControl(
    rig,
    {
      method: 'PUT',
      path: '/v1/declaration',
      headers: { 'content-type': 'application/json', 'if-match': String(ifMatch) },
      body,
    },
    { label: 'operator-put', totalMillis: 8000, ...options },
  );
}

export function patchDeclaration(rig, change, ifMatch, options = {}) {
  const body = options.rawBody ?? JSON.stringify(change);
  rig.recorder.add('operator-patch', { version: change.version, ifMatch, bytes: body.length, ...options.note });
  return callControl(
    rig,
    {
      method: 'PATCH',
      path: '/v1/declaration',
      headers: { 'content-type': 'application/json', 'if-match': String(ifMatch) },
      body,
    },
    { label: 'operator-patch', totalMillis: 8000, ...options },
  );
}

export const getDeclaration = (rig, options = {}) =>
  callControl(rig, { method: 'GET', path: '/v1/declaration' }, { label: 'operator-get', ...options });

export const LIMITS = { headerBytes: 16384, bodyBytes: 67108864, headerMillis: 3000, idleMillis: 15000 };

const KEYS = 65536;

/** An upstream as the protocol page tells: heartbeats, grants, releases, requests. One process of the service is one object here. */
export class Upstream {
  /** `work`: milliseconds that a request takes. `onGrant` may return `{ lateMillis }` to leave a grant unanswered and take it later. */
  constructor(rig, { id, index, service, slots = 3, work = 20, keyed = false, zone, onGrant = () => null, onRequest = null }) {
    Object.assign(this, { rig, id, index, service, slots, work, keyed, onGrant, onRequest });
    this.zone = zone ?? ZONE_NAMES[(index - 1) % ZONE_NAMES.length];
    this.host = rig.upstreamHost(index);
    this.sequence = 0;
    this.state = 'ready';
    this.heartbeatUrl = null;
    this.running = 0;
    this.isCut = false;
    this.seen = new Float64Array(KEYS);
    this.fence = new Float64Array(KEYS);
    this.until = new Float64Array(KEYS);
    this.onKey = new Map();
    this.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
    this.isAcknowledged = false;
  }

  async start() {
    this.server = http.createServer((incoming, response) => this.#serve(incoming, response));
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(PORTS.upstream, this.host, resolve);
    });
    this.rig.closers.push(() => this.stop());
    this.#beat();
  }

  stop() {
    this.ended = true;
    clearTimeout(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  holds(key, now = this.rig.recorder.now()) {
    return this.until[key] > now;
  }

  /** What is held now, as rows of first key, last key and fence. */
  rows(now = this.rig.recorder.now()) {
    const rows = [];
    for (let key = 0; key < KEYS; key += 1) {
      if (this.until[key] <= now) continue;
      const last = rows.at(-1);
      if (last !== undefined && last[1] === key - 1 && last[2] === this.fence[key]) last[1] = key;
      else rows.push([key, key, this.fence[key]]);
    }
    return rows;
  }

  async #beat() {
    if (this.ended) return;
    const startedAt = performance.now();
    if (!this.isCut) await this.#sendBeat();
    if (this.ended) return;
    this.timer = setTimeout(() => this.#beat(), Math.max(50, HEARTBEAT_MILLIS - (performance.now() - startedAt)));
  }

  async #sendBeat() {
    this.sequence += 1;
    this.lastHeartbeatAt = this.rig.recorder.now();
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${PORTS.upstream}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      warmupMillis: 0,
      sequence: this.sequence,
    });
    const own = this.heartbeatUrl === null ? [] : [this.heartbeatUrl];
    const addresses = [...own, ...this.rig.controlAddresses];
    for (const address of addresses) {
      let [host, port] = address.split(':');
      let path = `/v1/upstreams/${this.id}/heartbeat`;
      for (let hop = 0; hop < 3; hop += 1) {
        const answer = await request({
          host,
          port: Number(port),
          method: 'POST',
          path,
          headers: { 'content-type': 'application/json' },
          body,
          timeoutMillis: 1000,
        });
        if (answer.status === 307) {
          const location = new URL(answer.headers.location, `http://${host}:${port}`);
          [host, port, path] = [location.hostname, location.port, location.pathname];
          continue;
        }
        if (answer.status >= 200 && answer.status < 300) {
          if (!this.isAcknowledged) this.rig.recorder.add('upstream-acknowledged', { upstream: this.id });
          this.isAcknowledged = true;
          this.heartbeatUrl = JSON.parse(answer.text || '{}').heartbeatAddress ?? this.heartbeatUrl;
          return;
        }
        break;
      }
      if (this.isCut) return;
      this.heartbeatUrl = null;
    }
  }

  #serve(incoming, response) {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => this.#handle(incoming, response, Buffer.concat(chunks).toString('utf8')));
  }

  #handle(incoming, response, body) {
    const { url, headers } = incoming;
    const named = headers['target-instance'];
    if (named !== undefined && named !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'content-length': 0 }).end();
    } else if (url === '/health') {
      response.writeHead(200, { 'instance-id': this.id, 'content-length': 0 }).end();
    } else if (url === '/ternmount/grant') {
      this.#grant(JSON.parse(body), response);
    } else if (url === '/ternmount/release') {
      this.#release(JSON.parse(body), response);
    } else {
      this.#run(incoming, response, body);
    }
  }

  /** Takes a grant now. Returns whether no higher fence was seen on one of its keys. */
  take({ from, to, fence, holdMillis }, isLate = false) {
    const now = this.rig.recorder.now();
    for (let key = from; key <= to; key += 1) {
      if (this.seen[key] > fence) {
        this.rig.recorder.add('grant-refused', { upstream: this.id, from, to, fence, isLate });
        return false;
      }
    }
    for (let key = from; key <= to; key += 1) {
      this.seen[key] = fence;
      this.fence[key] = fence;
      this.until[key] = now + holdMillis;
    }
    this.rig.recorder.add('grant-taken', { upstream: this.id, from, to, fence, holdMillis, isLate });
    return true;
  }

  #grant(grant, response) {
    const trouble = this.onGrant(grant, this);
    if (trouble?.lost === true) {
      // It didn't get through: the sender resets its connection, so the bytes are lost.
      this.rig.recorder.add('grant-cut-off', { upstream: this.id, ...grant });
      return;
    }
    if (trouble !== null) {
      this.rig.recorder.add('grant-unanswered', { upstream: this.id, ...grant, takenAfterMillis: trouble.lateMillis });
      setTimeout(() => {
        if (!this.ended) this.take(grant, true);
      }, trouble.lateMillis);
      return;
    }
    const isTaken = this.take(grant);
    response.writeHead(isTaken ? 200 : 409, { 'content-length': 0 }).end();
  }

  #release({ from, to, fence }, response) {
    if (this.isCut) {
      this.rig.recorder.add('release-cut-off', { upstream: this.id, from, to, fence });
      return;
    }
    for (let key = from; key <= to; key += 1) {
      this.seen[key] = Math.max(this.seen[key], fence);
      this.until[key] = 0;
    }
    this.rig.recorder.add('release-taken', { upstream: this.id, from, to, fence });
    const isBusy = () => [...this.onKey].some(([key, count]) => key >= from && key <= to && count > 0);
    const answer = () => {
      if (isBusy()) setTimeout(answer, 5);
      else response.writeHead(200, { handover: `${this.id}-${from}-${fence}`, 'content-length': 0 }).end();
    };
    answer();
  }

  #run(incoming, response, body) {
    const id = incoming.headers['request-id'];
    const key = this.keyed ? Number(incoming.headers['shard-key']) : null;
    if (key !== null && !this.holds(key)) {
      this.rig.recorder.add('request-rejected', { upstream: this.id, id, key, status: 421 });
      response.writeHead(421, { 'request-id': id, 'not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    const run = { upstream: this.id, id, key, method: incoming.method, url: incoming.url, t: this.rig.recorder.now() };
    this.rig.runs.push(run);
    this.rig.recorder.add('request-run', { upstream: this.id, id, key, method: incoming.method, url: incoming.url });
    if (this.onRequest?.(run, incoming, response) === true) return;
    if (key !== null) this.onKey.set(key, (this.onKey.get(key) ?? 0) + 1);
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      if (key !== null) this.onKey.set(key, this.onKey.get(key) - 1);
      const text = `${this.id} ${id} ${body.length}\n`;
      response
        .writeHead(200, {
          'request-id': id,
          'response-seal': `${this.id}.${id}`,
          'server-load': `${this.running},0,${this.slots}`,
          'content-length': text.length,
        })
        .end(text);
    }, this.work);
  }
}

let requestCount = 0;
/** One request of a client to a router. */
export async function send(rig, { router, method = 'GET', host, path, key = null, deadlineMillis = 1000, body = null }) {
  requestCount += 1;
  const id = `r${process.pid.toString(16)}-${requestCount}`;
  rig.recorder.add('client-sent', { id, router, method, path, key });
  const answer = await request({
    host: rig.routerHost(router),
    port: PORTS.frontend,
    method,
    path,
    body,
    headers: {
      host,
      'request-id': id,
      'request-deadline-ms': String(deadlineMillis),
      ...(key !== null && { 'shard-key': String(key) }),
    },
    timeoutMillis: deadlineMillis + 500,
  });
  rig.recorder.add('client-answered', { id, status: answer.status, error: answer.error, seal: answer.headers['response-seal'] });
  return { id, ...answer };
}

/**
 * Looks every 10 ms whether two upstreams that are up hold the same keys, whether requests come or not. Returns the longest such
 * time of each pair, with one of the keys.
 */
export class HolderWatch {
  constructor(rig, upstreams) {
    Object.assign(this, { rig, upstreams });
    this.open = new Map();
    this.longest = new Map();
    this.timer = setInterval(() => this.#look(), 10);
    rig.closers.push(() => clearInterval(this.timer));
  }
  #look() {
    const now = this.rig.recorder.now();
    for (let left = 0; left < this.upstreams.length; left += 1) {
      for (let right = left + 1; right < this.upstreams.length; right += 1) {
        const [one, other] = [this.upstreams[left], this.upstreams[right]];
        if (!one.ended && !other.ended) this.#compare(one, other, now);
      }
    }
  }
  #compare(one, other, now) {
    const pair = `${one.id} and ${other.id}`;
    let key = -1;
    for (let candidate = 0; candidate < KEYS && key === -1; candidate += 8) {
      if (one.until[candidate] > now && other.until[candidate] > now) key = candidate;
    }
    if (key === -1) {
      const since = this.open.get(pair);
      if (since !== undefined) this.rig.recorder.add('two-holders-end', { pair, millis: Math.round(now - since.t) });
      this.open.delete(pair);
      return;
    }
    const since = this.open.get(pair) ?? { t: now, key };
    if (!this.open.has(pair)) {
      this.open.set(pair, since);
      const fences = { [one.id]: one.fence[key], [other.id]: other.fence[key] };
      this.rig.recorder.add('two-holders', { pair, key, fences });
    }
    const millis = now - since.t;
    if (millis > (this.longest.get(pair)?.millis ?? 0)) this.longest.set(pair, { millis, key: since.key, from: since.t });
  }
}

/** Runs a case and exits with its status: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
export async function runCase(folder, play) {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const rig = new Rig(recorder);
  rig.runs = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  recorder.add('begin', { trouble: hasTrouble });
  const watchdog = setTimeout(() => finish(2, 'the case took too long'), 110_000);
  let isFinishing = false;
  async function finish(status, verdict) {
    if (isFinishing) return;
    isFinishing = true;
    clearTimeout(watchdog);
    recorder.add('verdict', { status, verdict });
    console.log(verdict);
    await rig.stop();
    process.exit(status);
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => finish(2, `ended by ${signal}`));
  try {
    const { isBroken, verdict } = await play(rig, hasTrouble);
    await finish(isBroken ? 1 : 0, verdict);
  } catch (thrown) {
    await finish(2, `could not run: ${thrown.stack ?? thrown}`);
  }
}
